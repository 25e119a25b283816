"""Types and generators of the identifiers that the whole fleet uses.

All are strings or integers, which every codec can represent.
"""

from hashlib import blake2b
from secrets import token_hex
from typing import NewType

Tokens = NewType("Tokens", int)
"""An amount of tokens of a budget, never negative."""

Incarnation = NewType("Incarnation", str)
"""One start of a process: its name, ``#`` and a random suffix."""

RequestKey = NewType("RequestKey", str)
"""Team and digest of the idempotency key of a request, which is billed once."""

RunId = NewType("RunId", str)
"""Identifier of one attempt to execute a request on an endpoint."""

GrantId = NewType("GrantId", str)
"""Identifier of a part of a budget that ledger replay granted to a holder."""

KEY_DIGEST_BYTES = 12
INCARNATION_SUFFIX_BYTES = 6


def new_incarnation(name: str) -> Incarnation:
    """Return the identifier of a new start of the process called ``name``."""
    return Incarnation(f"{name}#{token_hex(INCARNATION_SUFFIX_BYTES)}")


def process_name_of(incarnation: Incarnation) -> str:
    """Return the process name of an incarnation."""
    return incarnation.partition("#")[0]


def new_run_id() -> RunId:
    """Return the identifier of a new attempt."""
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
