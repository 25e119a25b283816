"""Checkpoints: serialized snapshots of a ledger or claims stream at an offset.

msgpack encodes maps and arrays in insertion order (see its specification), so a
reader that restores a checkpoint computes the same digests as one that replayed
the stream from the beginning.
"""

from typing import Any, cast

from msgpack import packb, unpackb

from clementinebend_ledger.claims import ClaimsState, RecordedAnswer
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import digest_of
from clementinebend_records.records import Checkpoint


def ledger_digest(state: LedgerState) -> str:
    """Return the digest of the state; all readers agree on it at each offset."""
    return digest_of(_encode(state))


def ledger_checkpoint(state: LedgerState, stream: str) -> Checkpoint:
    """Return a checkpoint record, from which a new reader of ``stream`` can start."""
    data = _encode(state)
    return Checkpoint(stream, state.offset, digest_of(data), data)


def restore_ledger(checkpoint: Checkpoint) -> LedgerState:
    """Decode the ledger state of a checkpoint.

    Raises ``ValueError`` if the digest does not match the bytes: a writer computes
    both from the same state, so a mismatch is a violated invariant.
    """
    return LedgerState(*_decode(checkpoint))


def claims_digest(state: ClaimsState) -> str:
    """Return the digest of the state; all readers agree on it at each offset."""
    return digest_of(_encode(state))


def claims_checkpoint(state: ClaimsState, stream: str) -> Checkpoint:
    """Return a checkpoint record, from which a new reader of ``stream`` can start."""
    data = _encode(state)
    return Checkpoint(stream, state.offset, digest_of(data), data)


def restore_claims(checkpoint: Checkpoint) -> ClaimsState:
    """Decode the claims state of a checkpoint; raises as ``restore_ledger`` does."""
    state = ClaimsState(*_decode(checkpoint))
    for entry in state.claims.values():
        if entry["answer"] is not None:
            entry["answer"] = RecordedAnswer(*entry["answer"])
    return state


def _encode(state: LedgerState | ClaimsState) -> bytes:
    return cast(bytes, packb(state))


def _decode(checkpoint: Checkpoint) -> list[Any]:
    if digest_of(checkpoint.state) != checkpoint.digest:
        raise ValueError(
            f"checkpoint of stream {checkpoint.stream} does not match its digest"
        )
    return cast(list[Any], unpackb(checkpoint.state))
