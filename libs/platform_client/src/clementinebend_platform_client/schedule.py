"""Deterministic jitter and backoff: no two processes act in step.

Source: exponential backoff with jitter; the random part is a hash, so that a
run can be replayed.
"""

from hashlib import blake2b

HASH_BYTES = 8
HASH_RANGE: float = 256.0**HASH_BYTES
MAX_DOUBLINGS = 32


def fraction_of(*parts: object) -> float:
    """Return a number in [0, 1) that follows from ``parts`` alone."""
    text = "\0".join(str(part) for part in parts)
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest) / HASH_RANGE


def backoff(first: float, longest: float, attempt: int, *parts: object) -> float:
    """Return the seconds to wait after attempt number ``attempt`` (from 1).

    Between half and the whole of ``first`` doubled for each attempt, bounded
    by ``longest``.
    """
    doublings = min(attempt - 1, MAX_DOUBLINGS)
    whole = min(longest, first * 2.0**doublings)
    return whole * (1 + fraction_of(attempt, *parts)) / 2
