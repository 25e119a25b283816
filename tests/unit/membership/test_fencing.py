"""Replay of fencing claims."""

from hypothesis import given, settings
from hypothesis.strategies import integers, lists, sampled_from, tuples

from clementinebend_membership.fencing import (
    Claimed,
    FencingState,
    empty_fencing,
    fencing_checkpoint,
    fencing_number,
    may_order,
    replay_fencing,
    restore_fencing,
)
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, FencingClaim
from clementinebend_records.streams import FENCING_STREAM

OLD, NEW = Incarnation("s#1"), Incarnation("s#2")


def claim(sidecar: Incarnation, sequence: int = 1, endpoint: str = "e") -> Batch:
    return Batch(sidecar, sequence, (FencingClaim(endpoint, sidecar),))


def test_the_newest_claimant_may_order_with_its_offset_as_number() -> None:
    state = empty_fencing()
    assert not may_order(state, "e", OLD)
    assert fencing_number(state, "e") is None
    state, claimed = replay_fencing(state, 0, claim(OLD))
    assert claimed == (Claimed("e", OLD, 0),)
    assert may_order(state, "e", OLD)
    assert fencing_number(state, "e") == 0
    state, _ = replay_fencing(state, 7, claim(NEW))
    assert may_order(state, "e", NEW)
    assert not may_order(state, "e", OLD)
    assert not may_order(state, "other", NEW)
    assert fencing_number(state, "e") == 7


def test_a_repeated_append_does_not_restore_an_old_claim() -> None:
    state, _ = replay_fencing(empty_fencing(), 0, claim(OLD))
    state, _ = replay_fencing(state, 1, claim(NEW))
    state, claimed = replay_fencing(state, 2, claim(OLD))
    assert claimed == ()
    assert may_order(state, "e", NEW)
    assert fencing_number(state, "e") == 1


BATCHES = lists(
    tuples(sampled_from(["a", "b", "c"]), integers(1, 3), sampled_from(["x", "y"])),
    max_size=20,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(BATCHES, integers(0, 20))
def test_replay_from_a_checkpoint_gives_the_same_state(
    rows: list[tuple[str, int, str]], cut: int
) -> None:
    batches = [
        claim(Incarnation(writer), sequence, endpoint)
        for writer, sequence, endpoint in rows
    ]
    whole = replay_all(empty_fencing(), batches, 0)
    first = replay_all(empty_fencing(), batches[:cut], 0)
    restored = restore_fencing(fencing_checkpoint(first, FENCING_STREAM))
    resumed = replay_all(restored, batches[cut:], cut)
    assert resumed == whole
    assert fencing_checkpoint(resumed, "f") == fencing_checkpoint(whole, "f")


def replay_all(state: FencingState, batches: list[Batch], start: int) -> FencingState:
    for offset, batch in enumerate(batches, start):
        state, _ = replay_fencing(state, offset, batch)
    return state
