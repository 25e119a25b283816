"""When checkpoints are due, and which reader appends one."""

import pytest

from clementinebend_platform_client.checkpoint_policy import (
    CheckpointPolicy,
    Coverage,
    Urgency,
    checkpoint_urgency,
    stagger_of,
)
from clementinebend_platform_client.log_client import ReadPage
from clementinebend_platform_client.supervision import (
    BROKEN_EXIT_STATUS,
    stop_process,
)
from clementinebend_platform_client.tail_core import (
    TailState,
    advance_tail,
    candidate_due_at,
    new_tail,
)
from clementinebend_platform_client.tail_events import (
    CheckpointSettled,
    CheckpointTaken,
    PageRead,
    PostCheckpoint,
    TailEffect,
    TakeCheckpoint,
)
from clementinebend_records.codec import encode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Checkpoint, Record
from tests.lib.replica import top_up

POLICY = CheckpointPolicy(every=100, age=900.0)
COVERED = Coverage(position=50, oldest=0, covered=0, changed=True, covered_at=0.0)


@pytest.mark.parametrize(
    ("coverage", "now", "urgency"),
    [
        (COVERED._replace(position=0), 10_000.0, Urgency.NOT_DUE),
        (COVERED, 0.0, Urgency.NOT_DUE),
        (COVERED, 900.0, Urgency.DUE),
        (COVERED._replace(position=100), 0.0, Urgency.DUE),
        (COVERED._replace(oldest=1), 0.0, Urgency.URGENT),
        (COVERED._replace(oldest=20, covered=20), 0.0, Urgency.DUE),
        (COVERED._replace(oldest=20, covered=34), 0.0, Urgency.DUE),
        (COVERED._replace(oldest=20, covered=35), 0.0, Urgency.NOT_DUE),
        (COVERED._replace(oldest=49, covered=49, changed=False), 0.0, Urgency.NOT_DUE),
        (COVERED._replace(oldest=50, covered=49, changed=False), 0.0, Urgency.URGENT),
    ],
)
def test_a_checkpoint_is_due_before_retention_passes_the_last(
    coverage: Coverage, now: float, urgency: Urgency
) -> None:
    assert checkpoint_urgency(coverage, POLICY, now) is urgency


def test_readers_wait_differently_and_less_when_urgent() -> None:
    readers = [f"n{i}" for i in range(100)]
    waits = [stagger_of(Urgency.DUE, POLICY, name, 0) for name in readers]
    assert len(set(waits)) == len(readers)
    assert 0.0 <= min(waits) < 1.0
    assert 9.0 < max(waits) < POLICY.stagger
    urgent = [stagger_of(Urgency.URGENT, POLICY, name, 0) for name in readers]
    assert max(urgent) < POLICY.urgent_stagger
    later = [stagger_of(Urgency.DUE, POLICY, name, 100) for name in readers]
    assert waits.index(min(waits)) != later.index(min(later))


class Reader:
    """A tail core whose state is the number of batches it applied."""

    def __init__(self, name: str) -> None:
        policy = CheckpointPolicy(every=4, age=10**9)
        self.state: TailState = new_tail("s", name, policy, 0.0)
        self.posted: list[Checkpoint] = []

    def read(self, page: ReadPage, now: float) -> None:
        self.state, effects = advance_tail(self.state, PageRead(page, True), now)
        self.carry_out(effects, now)

    def carry_out(self, effects: tuple[TailEffect, ...], now: float) -> None:
        for effect in effects:
            match effect:
                case TakeCheckpoint(at_boundary=at_boundary):
                    checkpoint = Checkpoint("s", self.state.position - 1, "d", b"")
                    event = CheckpointTaken(checkpoint, at_boundary)
                    self.state, more = advance_tail(self.state, event, now)
                    self.carry_out(more, now)
                case PostCheckpoint(checkpoint=checkpoint):
                    self.posted.append(checkpoint)


def page_of(start: int, *records: Record) -> ReadPage:
    rows = tuple(
        (offset, encode_batch(Batch(Incarnation("w"), offset + 1, (record,))))
        for offset, record in enumerate(records, start)
    )
    return ReadPage(rows, start + len(rows), 0)


def test_only_the_first_reader_in_turn_appends_and_the_others_see_it() -> None:
    readers = [Reader(f"n{i}") for i in range(20)]
    for reader in readers:
        reader.read(page_of(0, *map(top_up, "abcd")), 0.0)
    due = [candidate_due_at(reader.state, 0.0) for reader in readers]
    first = min(wait for wait in due if wait is not None)
    empty = ReadPage((), 4, 0)
    for reader in readers:
        reader.read(empty, first)
    (posted,) = [checkpoint for reader in readers for checkpoint in reader.posted]
    assert posted.offset == 3
    for reader in readers:
        reader.read(page_of(4, posted), first)
        reader.read(ReadPage((), 5, 0), 1000.0)
    assert sum(len(reader.posted) for reader in readers) == 1


def test_one_checkpoint_at_a_time_however_long_the_log_takes() -> None:
    reader = Reader("n")
    reader.read(page_of(0, *map(top_up, "abcd")), 0.0)
    for now in (100.0, 200.0, 300.0):
        reader.read(ReadPage((), 4, 0), now)
    assert len(reader.posted) == 1
    reader.state, _ = advance_tail(reader.state, CheckpointSettled(), 400.0)
    for now in (500.0, 600.0):
        reader.read(ReadPage((), 4, 0), now)
    assert len(reader.posted) == 2


def test_a_broken_invariant_stops_the_process() -> None:
    with pytest.raises(SystemExit) as stopped:
        stop_process(RuntimeError("different digests"))
    assert stopped.value.code == BROKEN_EXIT_STATUS
