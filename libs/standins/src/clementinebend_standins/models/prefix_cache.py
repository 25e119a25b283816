"""Prefix cache of limited blocks, with numbered cache events.

A block is 64 bytes of the prompt; its digest covers all bytes up to its end,
so equal digests mean equal prefixes. The least recently used block goes first.
"""

from collections import OrderedDict, deque
from hashlib import blake2b
from typing import NamedTuple

BLOCK_BYTES = 64
BLOCK_DIGEST_BYTES = 8
EVENTS_KEPT = 10_000


class CacheChange(NamedTuple):
    """Blocks stored and evicted at one time; ``sequence`` counts from 1."""

    sequence: int
    at: float
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


class PrefixCache(NamedTuple):
    """Digests of the blocks in memory, least recently used first."""

    capacity: int
    blocks: OrderedDict[str, None]
    changes: deque[CacheChange]


def empty_cache(capacity: int) -> PrefixCache:
    """Return a cache for ``capacity`` blocks."""
    return PrefixCache(capacity, OrderedDict(), deque(maxlen=EVENTS_KEPT))


def block_digests(prompt: bytes) -> tuple[str, ...]:
    """Return the chained digests of the whole blocks of ``prompt``."""
    chain = blake2b(digest_size=BLOCK_DIGEST_BYTES)
    digests = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        chain.update(prompt[start : start + BLOCK_BYTES])
        digests.append(chain.hexdigest())
    return tuple(digests)


def cached_blocks(cache: PrefixCache, digests: tuple[str, ...]) -> int:
    """Return how many of the first blocks are cached, and mark them as used."""
    for count, digest in enumerate(digests):
        if digest not in cache.blocks:
            return count
        cache.blocks.move_to_end(digest)
    return len(digests)


def store_blocks(
    cache: PrefixCache, digests: tuple[str, ...], now: float
) -> PrefixCache:
    """Store the first blocks that fit and evict the least recently used."""
    kept = digests[: cache.capacity]
    stored = tuple(digest for digest in kept if digest not in cache.blocks)
    for digest in kept:
        cache.blocks[digest] = None
        cache.blocks.move_to_end(digest)
    surplus = max(len(cache.blocks) - cache.capacity, 0)
    evicted = tuple(cache.blocks.popitem(last=False)[0] for _ in range(surplus))
    if stored or evicted:
        sequence = cache.changes[-1].sequence + 1 if cache.changes else 1
        cache.changes.append(CacheChange(sequence, now, stored, evicted))
    return cache


def changes_since(
    cache: PrefixCache, sequence: int, latest: float, gap: int = 0
) -> tuple[CacheChange, ...]:
    """Return the changes above ``sequence`` up to the time ``latest``.

    With a ``gap`` every change whose number it divides is left out.
    """
    return tuple(
        change
        for change in cache.changes
        if change.sequence > sequence
        and change.at <= latest
        and not (gap and change.sequence % gap == 0)
    )
