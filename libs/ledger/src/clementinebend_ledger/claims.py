"""Replay of one claims stream: who may execute a non-idempotent call.

The first claim of a key in offset order wins and is never taken over. Its
outcome is recorded once, so that a retry gets the same answer. Claims without
an outcome are kept for ever, finished ones within a bound.
"""

from functools import singledispatch
from itertools import chain
from typing import Any, NamedTuple, TypedDict

from clementinebend_ledger.state import WRITER_WINDOW, trim_oldest
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.records import Batch, Claim, ClaimOutcome, ClaimVoid

FINISHED_CLAIMS = 16_384
"""Finished claims kept, counted in claims: how far back a retry is answered."""

FINISHED_BODY_BYTES = 16 * 1024 * 1024
"""Bytes of recorded answers kept in all."""

VOID_WINDOW = 16_384
"""Runs known never to execute, so that a late claim of theirs cannot win."""


class RecordedAnswer(NamedTuple):
    """The answer that every retry of a finished call gets."""

    status: int
    content_type: str
    body: bytes


class ClaimEntry(TypedDict):
    """A key that is claimed; ``offset`` is that of the winning claim."""

    body_digest: str
    claimant: Incarnation
    run: RunId
    offset: int
    answer: RecordedAnswer | None


class ClaimView(NamedTuple):
    """What a reader may know of a claimed key."""

    body_digest: str
    claimant: Incarnation
    run: RunId
    offset: int
    answer: RecordedAnswer | None


class ClaimsState(NamedTuple):
    """Pure replay of one claims stream up to and including ``offset``."""

    offset: int
    claims: dict[RequestKey, ClaimEntry]
    finished: dict[RequestKey, int]
    voided: dict[RunId, None]
    sequences: dict[Incarnation, int]


class ClaimWon(NamedTuple):
    """``run`` alone may execute the call of ``key``."""

    key: RequestKey
    run: RunId
    claimant: Incarnation


class ClaimLost(NamedTuple):
    """``run`` may not execute: the key belongs to ``winner``."""

    key: RequestKey
    run: RunId
    winner: RunId


class ClaimConflict(NamedTuple):
    """``run`` may not execute: the key was claimed for another body."""

    key: RequestKey
    run: RunId
    winner: RunId


class ClaimRefused(NamedTuple):
    """``run`` may not execute: it was said never to run. The key is free."""

    key: RequestKey
    run: RunId


class ClaimRecorded(NamedTuple):
    """The answer of ``run`` is kept for retries."""

    key: RequestKey
    run: RunId


class ClaimFreed(NamedTuple):
    """The key has no claim: a new one may win."""

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
    """Return the state before the first record."""
    return ClaimsState(-1, {}, {}, {}, {})


def replay_claims(
    state: ClaimsState, offset: int, batch: Batch
) -> tuple[ClaimsState, tuple[ClaimsOutcome, ...]]:
    """Apply the batch at ``offset``; one that was applied already is dropped."""
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
    """Return the claim that stands for ``key``."""
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
    """Forget the oldest finished claims above either bound."""
    total = sum(state.finished.values())
    while len(state.finished) > FINISHED_CLAIMS or total > FINISHED_BODY_BYTES:
        oldest = next(iter(state.finished))
        total -= state.finished.pop(oldest)
        del state.claims[oldest]
