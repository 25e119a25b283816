"""Checkpoints: the whole state of a ledger or claims stream at an offset.

Containers keep their order through the codec, so a reader that starts from a
checkpoint has the same digest as one that read the stream from its start.
Source: msgpack specification.
"""

from typing import Any, cast

from msgpack import packb, unpackb

from clementinebend_ledger.claims import ClaimsState, RecordedAnswer
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import digest_of
from clementinebend_records.records import Checkpoint


def ledger_digest(state: LedgerState) -> str:
    """Return the digest of the whole state; equal at equal offsets."""
    return digest_of(_encode(state))


def ledger_checkpoint(state: LedgerState, stream: str) -> Checkpoint:
    """Return the record from which a cold reader of ``stream`` may start."""
    data = _encode(state)
    return Checkpoint(stream, state.offset, digest_of(data), data)


def restore_ledger(checkpoint: Checkpoint) -> LedgerState:
    """Return the state in a checkpoint.

    Raises ``ValueError`` if the bytes do not have the digest: every writer of
    checkpoints computes both from one state, so this is a broken invariant.
    """
    return LedgerState(*_decode(checkpoint))


def claims_digest(state: ClaimsState) -> str:
    """Return the digest of the whole state; equal at equal offsets."""
    return digest_of(_encode(state))


def claims_checkpoint(state: ClaimsState, stream: str) -> Checkpoint:
    """Return the record from which a cold reader of ``stream`` may start."""
    data = _encode(state)
    return Checkpoint(stream, state.offset, digest_of(data), data)


def restore_claims(checkpoint: Checkpoint) -> ClaimsState:
    """Return the state in a checkpoint; raises as ``restore_ledger`` does."""
    state = ClaimsState(*_decode(checkpoint))
    for entry in state.claims.values():
        if entry["answer"] is not None:
            entry["answer"] = RecordedAnswer(*entry["answer"])
    return state


def _encode(state: LedgerState | ClaimsState) -> bytes:
    return cast(bytes, packb(state))


def _decode(checkpoint: Checkpoint) -> list[Any]:
    if digest_of(checkpoint.state) != checkpoint.digest:
        raise ValueError(f"checkpoint of {checkpoint.stream} has another digest")
    return cast(list[Any], unpackb(checkpoint.state))
