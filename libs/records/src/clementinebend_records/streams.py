"""Names of the streams on the platform's log.

Only this module builds stream names, so it alone decides which stream a record
belongs to.
"""

from clementinebend_records.identifiers import RequestKey, shard_of

CONFIGURATION_STREAM = "configuration"
"""Stream of the operators' publications and schema activations."""

FENCING_STREAM = "fencing"
"""Stream of claims to control engines; the offset is the fencing number."""


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
