"""The reader's place on the log, without a clock or a log."""

import pytest

from clementinebend_platform_client.checkpoint_policy import CheckpointPolicy
from clementinebend_platform_client.exceptions import (
    BrokenInvariantError,
    CoverageLost,
)
from clementinebend_platform_client.log_client import ReadPage
from clementinebend_platform_client.tail_core import (
    Phase,
    TailState,
    advance_tail,
    is_ready,
    new_tail,
)
from clementinebend_platform_client.tail_events import (
    Apply,
    CheckpointTaken,
    PageRead,
    PostCheckpoint,
    Report,
    Restore,
    TailEffect,
    TailEvent,
    TakeCheckpoint,
    TrimmedSeen,
)
from clementinebend_records.codec import encode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Checkpoint, Record
from tests.lib.replica import top_up

RARELY = CheckpointPolicy(every=10**9, age=10**9, retention_margin=0.0, stagger=0.0)


class Reader:
    """Feeds a tail core and lists its effects in short."""

    def __init__(self, policy: CheckpointPolicy = RARELY) -> None:
        self.state: TailState = new_tail("s", "n", policy, 0.0)

    def tell(self, event: TailEvent, now: float = 0.0) -> list[TailEffect]:
        self.state, effects = advance_tail(self.state, event, now)
        return list(effects)

    def page(
        self, start: int, *records: Record, oldest: int = 0, at_end: bool = False
    ) -> list[TailEffect]:
        rows = tuple(
            (offset, encode_batch(Batch(Incarnation("w"), offset + 1, (record,))))
            for offset, record in enumerate(records, start)
        )
        page = ReadPage(rows, start + len(rows), oldest)
        return self.tell(PageRead(page, at_end))


def applied(effects: list[TailEffect]) -> list[int]:
    return [effect.offset for effect in effects if isinstance(effect, Apply)]


def checkpoint(offset: int, digest: str = "d") -> Checkpoint:
    return Checkpoint("s", offset, digest, b"")


def test_batches_on_the_way_to_a_checkpoint_are_replayed_after_it() -> None:
    reader = Reader()
    assert reader.tell(TrimmedSeen(5)) == []
    for offset in (5, 6, 7, 8):
        assert reader.page(offset, top_up("r"), oldest=5) == []
    (restore, *rest) = reader.page(9, checkpoint(6), top_up("r"), oldest=5)
    assert restore == Restore(checkpoint(6))
    assert applied(rest) == [7, 8, 9, 10]


def test_a_reader_is_ready_only_once_it_has_caught_up_again() -> None:
    reader = Reader()
    reader.page(0, top_up("r"), at_end=True)
    assert is_ready(reader.state)
    reader.tell(TrimmedSeen(5))
    assert not is_ready(reader.state)
    reader.page(5, top_up("r"), checkpoint(4), oldest=5)
    assert reader.state.phase is Phase.REPLAYING
    assert not is_ready(reader.state)
    reader.page(7, oldest=5, at_end=True)
    assert is_ready(reader.state)


def test_coverage_lost_is_reported_once_and_can_come_back() -> None:
    reader = Reader()
    reader.tell(TrimmedSeen(5))
    lost = [Report(CoverageLost("s", 5, 6))]
    assert reader.page(5, top_up("r"), oldest=5, at_end=True) == lost
    assert reader.page(6, checkpoint(3), oldest=5, at_end=True) == []
    assert not is_ready(reader.state)
    effects = reader.page(7, checkpoint(4), oldest=5, at_end=True)
    assert applied(effects) == [5, 6, 7]
    assert is_ready(reader.state)


def test_a_page_that_skips_offsets_counts_as_trimmed() -> None:
    reader = Reader()
    reader.page(0, top_up("r"), at_end=True)
    assert reader.page(4, top_up("r"), oldest=4) == []
    assert reader.state.phase is Phase.SCANNING
    assert reader.state.position == 4


def test_digests_are_taken_at_boundaries_and_compared_later() -> None:
    reader = Reader(RARELY._replace(every=2))
    effects = reader.page(0, *map(top_up, "abcd"))
    boundary = TakeCheckpoint(at_boundary=True)
    assert effects[2] == effects[5] == boundary
    reader.tell(CheckpointTaken(checkpoint(1, "right"), at_boundary=True))
    reader.page(4, checkpoint(1, "right"))
    with pytest.raises(BrokenInvariantError, match="offset 1"):
        reader.page(5, checkpoint(1, "wrong"))


def test_a_checkpoint_of_another_stream_or_of_the_future_is_none() -> None:
    reader = Reader()
    reader.tell(TrimmedSeen(5))
    other = checkpoint(4)._replace(stream="other")
    assert reader.page(5, other, checkpoint(9), oldest=5) == []
    assert reader.state.phase is Phase.SCANNING


def test_a_boundary_that_covers_nothing_new_is_not_posted_again() -> None:
    reader = Reader(RARELY._replace(every=4, urgent_stagger=0.0))
    reader.page(0, *map(top_up, "abcd"))
    reader.tell(CheckpointTaken(checkpoint(3), at_boundary=True))
    reader.page(4, checkpoint(3), at_end=True)
    take = [TakeCheckpoint(at_boundary=False)]
    assert reader.page(5, top_up("e"), oldest=5, at_end=True)[1:] == take
    post = [PostCheckpoint(checkpoint(5))]
    assert reader.tell(CheckpointTaken(checkpoint(5), False)) == post
