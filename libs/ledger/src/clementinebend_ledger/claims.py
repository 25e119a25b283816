"""Replay of a claims stream, which decides who executes a non-idempotent call.

The first claim of a key in offset order wins, and the key is never reassigned
while that claim stands. The outcome of the call is recorded once, so that every
retry gets the same answer. Claims without an outcome are kept without limit;
finished claims are evicted oldest first.
"""

from functools import singledispatch
from itertools import chain
from typing import Any, NamedTuple, TypedDict

from clementinebend_ledger.state import WRITER_WINDOW, trim_oldest
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.records import Batch, Claim, ClaimOutcome, ClaimVoid

FINISHED_CLAIMS = 16_384
"""Maximum number of finished claims kept; a retry of an evicted one runs again."""

FINISHED_BODY_BYTES = 16 * 1024 * 1024
"""Maximum total size of the recorded answer bodies."""

VOID_WINDOW = 16_384
"""Number of voided runs remembered, so that a late claim of one cannot win."""


class RecordedAnswer(NamedTuple):
    """The HTTP response returned to every retry of a finished call."""

    status: int
    content_type: str
    body: bytes


class ClaimEntry(TypedDict):
    """The claim of a key; ``offset`` is that of the winning record."""

    body_digest: str
    claimant: Incarnation
    run: RunId
    offset: int
    answer: RecordedAnswer | None


class ClaimView(NamedTuple):
    """Read-only copy of a claim, for callers."""

    body_digest: str
    claimant: Incarnation
    run: RunId
    offset: int
    answer: RecordedAnswer | None


class ClaimsState(NamedTuple):
    """State of a claims stream after the batch at ``offset``.

    ``finished`` has the body size of each finished claim, ``voided`` the runs that
    must not execute, ``sequences`` the last sequence number of each writer.
    """

    offset: int
    claims: dict[RequestKey, ClaimEntry]
    finished: dict[RequestKey, int]
    voided: dict[RunId, None]
    sequences: dict[Incarnation, int]


class ClaimWon(NamedTuple):
    """Only ``run`` may execute the call with ``key``."""

    key: RequestKey
    run: RunId
    claimant: Incarnation


class ClaimLost(NamedTuple):
    """``run`` must not execute: ``winner`` claimed the key first."""

    key: RequestKey
    run: RunId
    winner: RunId


class ClaimConflict(NamedTuple):
    """``run`` must not execute: ``winner`` claimed the key for another body."""

    key: RequestKey
    run: RunId
    winner: RunId


class ClaimRefused(NamedTuple):
    """``run`` must not execute: it was voided before. The key stays as it was."""

    key: RequestKey
    run: RunId


class ClaimRecorded(NamedTuple):
    """The answer of ``run`` was recorded for retries."""

    key: RequestKey
    run: RunId


class ClaimFreed(NamedTuple):
    """The key has no claim any more, so the next claim wins."""

    key: RequestKey
    run: RunId


class ClaimIgnored(NamedTuple):
    """A record or batch had no effect."""

    reason: str


ClaimsOutcome = (
    ClaimWon
    | ClaimLost
    | ClaimConflict
    | ClaimRefused
    | ClaimRecorded
    | ClaimFreed
    | ClaimIgnored
)


def empty_claims() -> ClaimsState:
    """Return the state of an empty stream."""
    return ClaimsState(-1, {}, {}, {}, {})


def replay_claims(
    state: ClaimsState, offset: int, batch: Batch
) -> tuple[ClaimsState, tuple[ClaimsOutcome, ...]]:
    """Apply the batch at ``offset``; a batch that was already applied is ignored."""
    if offset <= state.offset:
        return state, (ClaimIgnored("offset already replayed"),)
    next_state = state._replace(offset=offset)
    if batch.sequence <= state.sequences.get(batch.writer, 0):
        return next_state, (ClaimIgnored("batch repeated"),)
    next_state.sequences.pop(batch.writer, None)
    next_state.sequences[batch.writer] = batch.sequence
    trim_oldest(next_state.sequences, WRITER_WINDOW)
    outcomes = [_apply(record, next_state) for record in batch.records]
    return next_state, tuple(chain.from_iterable(outcomes))


def claim_of(state: ClaimsState, key: RequestKey) -> ClaimView | None:
    """Return the current claim of ``key``, or ``None``."""
    entry = state.claims.get(key)
    return None if entry is None else ClaimView(**entry)


@singledispatch
def _apply(record: Any, state: ClaimsState) -> tuple[ClaimsOutcome, ...]:
    return (ClaimIgnored(f"{type(record).__name__} changes no claim"),)


@_apply.register
def _(record: Claim, state: ClaimsState) -> tuple[ClaimsOutcome, ...]:
    key, body_digest, claimant, run = record
    if run in state.voided:
        return (ClaimRefused(key, run),)
    entry = state.claims.get(key)
    if entry is None:
        state.claims[key] = ClaimEntry(
            body_digest=body_digest,
            claimant=claimant,
            run=run,
            offset=state.offset,
            answer=None,
        )
        return (ClaimWon(key, run, claimant),)
    if entry["run"] == run:
        return (ClaimIgnored("claim repeated"),)
    same_body = entry["body_digest"] == body_digest
    kind = ClaimLost if same_body else ClaimConflict
    return (kind(key, run, entry["run"]),)


@_apply.register
def _(record: ClaimOutcome, state: ClaimsState) -> tuple[ClaimsOutcome, ...]:
    entry = state.claims.get(record.key)
    if entry is None or entry["run"] != record.run:
        return (ClaimIgnored("outcome of a run that has no claim"),)
    if entry["answer"] is not None:
        return (ClaimIgnored("outcome already recorded"),)
    answer = RecordedAnswer(record.status, record.content_type, record.body)
    entry["answer"] = answer
    state.finished[record.key] = len(record.body)
    _trim_finished(state)
    return (ClaimRecorded(record.key, record.run),)


@_apply.register
def _(record: ClaimVoid, state: ClaimsState) -> tuple[ClaimsOutcome, ...]:
    entry = state.claims.get(record.key)
    if entry is None:
        _record_void(state, record.run)
        return (ClaimFreed(record.key, record.run),)
    if entry["run"] != record.run or entry["claimant"] != record.author:
        return (ClaimIgnored("void of another's claim"),)
    if entry["answer"] is not None:
        return (ClaimIgnored("void of a finished call"),)
    del state.claims[record.key]
    _record_void(state, record.run)
    return (ClaimFreed(record.key, record.run),)


def _record_void(state: ClaimsState, run: RunId) -> None:
    state.voided[run] = None
    trim_oldest(state.voided, VOID_WINDOW)


def _trim_finished(state: ClaimsState) -> None:
    """Evict the oldest finished claims until both limits are met."""
    total = sum(state.finished.values())
    while len(state.finished) > FINISHED_CLAIMS or total > FINISHED_BODY_BYTES:
        oldest = next(iter(state.finished))
        total -= state.finished.pop(oldest)
        del state.claims[oldest]
