"""Names of the streams on the platform's log.

One place decides which stream a record goes to; nothing else builds a name.
"""

from clementinebend_records.identifiers import RequestKey, shard_of

CONFIGURATION_STREAM = "configuration"
"""Operators' publications and schema activations."""

FENCING_STREAM = "fencing"
"""Claims to the right of ordering engines; an offset is a fencing number."""


def ledger_stream(budget: str, shards: int) -> str:
    """Return the stream that carries grants and bills of ``budget``."""
    return f"ledger-{shard_of(budget, shards)}"


def claims_stream(key: RequestKey, shards: int) -> str:
    """Return the stream that carries claims of the non-idempotent call ``key``."""
    return f"claims-{shard_of(key, shards)}"


def ledger_streams(shards: int) -> tuple[str, ...]:
    """Return all ledger streams."""
    return tuple(f"ledger-{shard}" for shard in range(shards))


def claims_streams(shards: int) -> tuple[str, ...]:
    """Return all claims streams."""
    return tuple(f"claims-{shard}" for shard in range(shards))
