"""Which sidecar incarnation may order an engine, by replay of fencing claims.

The newest claimant of an endpoint may order its engine. The log offset of the claim is
its fencing number (fencing token). An engine that checks fencing numbers refuses an
older claimant.
"""

from operator import itemgetter
from typing import NamedTuple

from msgspec.json import decode, encode

from clementinebend_records.identifiers import Incarnation, digest_of
from clementinebend_records.records import Batch, Checkpoint, FencingClaim

MAX_WRITERS = 16_384
"""Maximum number of writers whose last batch is kept, the most recent ones."""


class CurrentClaim(NamedTuple):
    """The newest claim to an endpoint and its fencing number."""

    number: int
    sidecar: Incarnation


class LastBatch(NamedTuple):
    """The last batch of a writer that was applied, and its offset."""

    sequence: int
    offset: int


class FencingState(NamedTuple):
    """The current claim to each endpoint, as of ``offset``."""

    current_claim: dict[str, CurrentClaim]
    writers: dict[str, LastBatch]
    offset: int


class Claimed(NamedTuple):
    """Event: a sidecar acquired the right to order an endpoint's engine."""

    endpoint: str
    sidecar: Incarnation
    number: int


class FencingContent(NamedTuple):
    """The state as stored in a checkpoint, in sorted order."""

    current_claim: tuple[tuple[str, CurrentClaim], ...]
    writers: tuple[tuple[str, LastBatch], ...]
    offset: int


def empty_fencing() -> FencingState:
    """Return the state before any record."""
    return FencingState({}, {}, -1)


def replay_fencing(
    state: FencingState, offset: int, batch: Batch
) -> tuple[FencingState, tuple[Claimed, ...]]:
    """Apply a batch; a batch that was applied before is ignored."""
    state = state._replace(offset=offset)
    last = state.writers.get(batch.writer)
    if last is not None and batch.sequence <= last.sequence:
        return state, ()
    state.writers[batch.writer] = LastBatch(batch.sequence, offset)
    _evict_oldest(state.writers)
    claims = tuple(
        Claimed(record.endpoint, record.sidecar, offset)
        for record in batch.records
        if isinstance(record, FencingClaim)
    )
    for claim in claims:
        state.current_claim[claim.endpoint] = CurrentClaim(offset, claim.sidecar)
    return state, claims


def fencing_number(state: FencingState, endpoint: str) -> int | None:
    """Return the current fencing number of an endpoint, None without a claim."""
    current_claim = state.current_claim.get(endpoint)
    return None if current_claim is None else current_claim.number


def may_order(state: FencingState, endpoint: str, sidecar: Incarnation) -> bool:
    """Return whether ``sidecar`` is the newest claimant of ``endpoint``.

    This alone does not stop an older claimant that has not read the newer claim. An
    engine that checks fencing numbers refuses the orders of such a claimant. An engine
    that ignores them is protected by a port that each sidecar binds on the endpoint's
    host for its lifetime. The kernel refuses a second bind, so a replacement in the
    same slot cannot act until its predecessor, paused or not, has exited.
    """
    current_claim = state.current_claim.get(endpoint)
    return current_claim is not None and current_claim.sidecar == sidecar


def fencing_checkpoint(state: FencingState, stream: str) -> Checkpoint:
    """Return a checkpoint of the state."""
    content = FencingContent(
        tuple(sorted(state.current_claim.items())),
        tuple(sorted(state.writers.items())),
        state.offset,
    )
    encoded = encode(content)
    return Checkpoint(stream, state.offset, digest_of(encoded), encoded)


def restore_fencing(checkpoint: Checkpoint) -> FencingState:
    """Return the state stored in a checkpoint."""
    content = decode(checkpoint.state, type=FencingContent)
    return FencingState(
        dict(content.current_claim), dict(content.writers), content.offset
    )


def _evict_oldest(writers: dict[str, LastBatch]) -> None:
    if len(writers) <= MAX_WRITERS:
        return
    offsets = ((last.offset, writer) for writer, last in writers.items())
    _, oldest = min(offsets, key=itemgetter(0))
    del writers[oldest]
