"""Decisions of a reader of one stream: ``(state, event, now) -> (state, effects)``.

A reader that starts at offset 0 replays all there is. Once the log has trimmed
the reader's next offset, the reader scans from the oldest offset kept for the
first checkpoint that covers all that was trimmed, keeps the batches on the
way, restores that checkpoint and replays what follows it. Until then it is
not ready; it never guesses. Times are monotonic seconds and serve policy only.
"""

from enum import StrEnum
from functools import singledispatch
from typing import NamedTuple

from clementinebend_platform_client.batch_reading import Newer, read_batch
from clementinebend_platform_client.checkpoint_policy import (
    CheckpointPolicy,
    Coverage,
    Urgency,
    checkpoint_urgency,
    stagger_of,
)
from clementinebend_platform_client.digests import note_digest
from clementinebend_platform_client.exceptions import CoverageLost, NewerSchema
from clementinebend_platform_client.log_client import ReadPage
from clementinebend_platform_client.tail_events import (
    Apply,
    CheckpointSettled,
    CheckpointTaken,
    PageRead,
    PostCheckpoint,
    Report,
    Restore,
    Skip,
    TailEffect,
    TailEvent,
    TakeCheckpoint,
    TrimmedSeen,
)
from clementinebend_records.codec import DecodeFailure
from clementinebend_records.records import Batch, Checkpoint


class Phase(StrEnum):
    """What a reader does with the batches it reads."""

    REPLAYING = "replaying"
    SCANNING = "scanning"
    UNCOVERED = "uncovered"
    HALTED = "halted"


class Candidate(NamedTuple):
    """A checkpoint to append unless another reader does so first."""

    checkpoint: Checkpoint
    since: float


class TailState(NamedTuple):
    """All that a reader knows of its place; ``position`` is read next.

    ``boundary`` is the checkpoint taken at the last multiple of the policy's
    ``every``; ``digests`` are the recent ones by offset.
    """

    stream: str
    reader: str
    policy: CheckpointPolicy
    buffered: list[tuple[int, Batch]]
    digests: dict[int, str]
    phase: Phase = Phase.REPLAYING
    position: int = 0
    oldest: int = 0
    scan_start: int = 0
    caught_up: bool = False
    covered: int = 0
    covered_at: float = 0.0
    last_change: int = -1
    boundary: Checkpoint | None = None
    candidate: Candidate | None = None
    posting: bool = False


Effects = tuple[TailEffect, ...]
Step = tuple[TailState, Effects]


def new_tail(
    stream: str, reader: str, policy: CheckpointPolicy, now: float
) -> TailState:
    """Return a reader that has read nothing; ``reader`` names it."""
    return TailState(stream, reader, policy, [], {}, covered_at=now)


def advance_tail(state: TailState, event: TailEvent, now: float) -> Step:
    """Take in one event."""
    if state.phase is Phase.HALTED:
        return state, ()
    return _on(event, state, now)


def is_ready(state: TailState) -> bool:
    """Tell whether the state replayed is that of the log's end, lately."""
    return state.phase is Phase.REPLAYING and state.caught_up


def candidate_due_at(state: TailState, now: float) -> float | None:
    """Return when this reader's checkpoint is due, None if none waits."""
    if state.candidate is None or state.posting:
        return None
    urgency = checkpoint_urgency(_coverage(state), state.policy, now)
    wait = stagger_of(urgency, state.policy, state.reader, state.covered)
    return state.candidate.since + wait


@singledispatch
def _on(event: TailEvent, state: TailState, now: float) -> Step:
    raise TypeError(f"no tail event: {event!r}")


@_on.register
def _(event: PageRead, state: TailState, now: float) -> Step:
    page = event.page
    if _has_gap(state, page):
        return _on(TrimmedSeen(page.oldest_offset), state, now)
    state = state._replace(oldest=max(state.oldest, page.oldest_offset))
    effects: list[TailEffect] = []
    for offset, data in page.records:
        state, more = _read(state, offset, data, now)
        effects.extend(more)
        if state.phase is Phase.HALTED:
            return state, tuple(effects)
    position = max(state.position, page.next_offset)
    state = state._replace(position=position)
    state, more = _after_page(state, event.at_end, now)
    return state, (*effects, *more)


@_on.register
def _(event: TrimmedSeen, state: TailState, now: float) -> Step:
    state.buffered.clear()
    lost = state._replace(
        phase=Phase.SCANNING,
        position=event.oldest,
        oldest=event.oldest,
        scan_start=event.oldest,
        caught_up=False,
        boundary=None,
        candidate=None,
    )
    return lost, ()


@_on.register
def _(event: CheckpointTaken, state: TailState, now: float) -> Step:
    checkpoint = event.checkpoint
    note_digest(state.digests, checkpoint)
    if event.at_boundary:
        return state._replace(boundary=checkpoint), ()
    state = state._replace(candidate=Candidate(checkpoint, now))
    return _post_when_due(state, now)


@_on.register
def _(event: CheckpointSettled, state: TailState, now: float) -> Step:
    return state._replace(posting=False), ()


def _has_gap(state: TailState, page: ReadPage) -> bool:
    if page.oldest_offset <= state.position:
        return False
    return not page.records or page.records[0][0] > state.position


def _read(state: TailState, offset: int, data: bytes, now: float) -> Step:
    match read_batch(data):
        case Batch() as batch:
            state = state._replace(position=offset + 1)
            return _take_batch(state, offset, batch, now)
        case Newer(schema_version=version):
            outcome = NewerSchema(state.stream, offset, version)
            halted = state._replace(phase=Phase.HALTED, position=offset)
            return halted, (Report(outcome),)
        case DecodeFailure(reason=reason):
            return state._replace(position=offset + 1), (Skip(offset, reason),)


def _take_batch(state: TailState, offset: int, batch: Batch, now: float) -> Step:
    checkpoints = _checkpoints(state, offset, batch)
    for checkpoint in checkpoints:
        state = _see_checkpoint(state, checkpoint, now)
    if len(checkpoints) < len(batch.records):
        state = state._replace(last_change=offset)
    if state.phase is Phase.REPLAYING:
        return state, _apply(state, offset, batch)
    state.buffered.append((offset, batch))
    start = state.scan_start
    covering = (found for found in checkpoints if found.offset + 1 >= start)
    restored = next(covering, None)
    return (state, ()) if restored is None else _restore(state, restored)


def _checkpoints(state: TailState, offset: int, batch: Batch) -> tuple[Checkpoint, ...]:
    return tuple(
        record
        for record in batch.records
        if isinstance(record, Checkpoint)
        and record.stream == state.stream
        and record.offset < offset
    )


def _see_checkpoint(state: TailState, checkpoint: Checkpoint, now: float) -> TailState:
    note_digest(state.digests, checkpoint)
    covered = max(state.covered, checkpoint.offset + 1)
    return state._replace(covered=covered, covered_at=now)


def _restore(state: TailState, checkpoint: Checkpoint) -> Step:
    rest = [item for item in state.buffered if item[0] > checkpoint.offset]
    state.buffered.clear()
    state = state._replace(phase=Phase.REPLAYING)
    applied = (effect for item in rest for effect in _apply(state, *item))
    return state, (Restore(checkpoint), *applied)


def _apply(state: TailState, offset: int, batch: Batch) -> Effects:
    if (offset + 1) % state.policy.every:
        return (Apply(offset, batch),)
    return Apply(offset, batch), TakeCheckpoint(at_boundary=True)


def _after_page(state: TailState, at_end: bool, now: float) -> Step:
    if not at_end:
        return state, ()
    if state.phase is Phase.SCANNING:
        outcome = CoverageLost(state.stream, state.scan_start, state.position)
        return state._replace(phase=Phase.UNCOVERED), (Report(outcome),)
    if state.phase is Phase.UNCOVERED:
        return state, ()
    return _consider_checkpoint(state._replace(caught_up=True), now)


def _consider_checkpoint(state: TailState, now: float) -> Step:
    urgency = checkpoint_urgency(_coverage(state), state.policy, now)
    if urgency is Urgency.NOT_DUE or state.posting:
        return state._replace(candidate=None), ()
    if state.candidate and _is_useful(state, state.candidate.checkpoint):
        return _post_when_due(state, now)
    if state.boundary and _is_useful(state, state.boundary):
        return _post_when_due(
            state._replace(candidate=Candidate(state.boundary, now)), now
        )
    return state._replace(candidate=None), (TakeCheckpoint(at_boundary=False),)


def _is_useful(state: TailState, checkpoint: Checkpoint) -> bool:
    return state.covered < checkpoint.offset + 1 >= state.oldest


def _post_when_due(state: TailState, now: float) -> Step:
    due = candidate_due_at(state, now)
    if due is None or now < due or state.candidate is None:
        return state, ()
    checkpoint = state.candidate.checkpoint
    posted = state._replace(candidate=None, posting=True)
    return posted, (PostCheckpoint(checkpoint),)


def _coverage(state: TailState) -> Coverage:
    return Coverage(
        position=state.position,
        oldest=state.oldest,
        covered=state.covered,
        changed=state.last_change >= state.covered,
        covered_at=state.covered_at,
    )
