"""Names that every part of the fleet uses for the same things.

All are plain strings or whole numbers, so that they travel in any codec.
"""

from hashlib import blake2b
from secrets import token_hex
from typing import NewType

Tokens = NewType("Tokens", int)
"""An amount of a budget, in tokens; never negative."""

Incarnation = NewType("Incarnation", str)
"""One life of one process: its name, ``#``, and a random suffix."""

RequestKey = NewType("RequestKey", str)
"""Team and idempotency key of a caller's request: what is billed once."""

RunId = NewType("RunId", str)
"""One attempt to execute a request on one endpoint."""

GrantId = NewType("GrantId", str)
"""A share of a budget that replay of the ledger gave to one holder."""

KEY_DIGEST_BYTES = 12
INCARNATION_SUFFIX_BYTES = 6


def new_incarnation(name: str) -> Incarnation:
    """Return an identifier for a new life of the process called ``name``."""
    return Incarnation(f"{name}#{token_hex(INCARNATION_SUFFIX_BYTES)}")


def process_name_of(incarnation: Incarnation) -> str:
    """Return the process name inside an incarnation."""
    return incarnation.partition("#")[0]


def new_run_id() -> RunId:
    """Return an identifier for a new attempt."""
    return RunId(token_hex(KEY_DIGEST_BYTES))


def request_key(team: str, idempotency_key: str) -> RequestKey:
    """Return the key under which a team's request is billed."""
    digest = digest_of(idempotency_key.encode())
    return RequestKey(f"{team}/{digest}")


def digest_of(data: bytes) -> str:
    """Return a short hexadecimal digest of ``data``."""
    return blake2b(data, digest_size=KEY_DIGEST_BYTES).hexdigest()


def shard_of(name: str, shards: int) -> int:
    """Return the shard, 0 to ``shards - 1``, that ``name`` belongs to."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest()) % shards
