"""Model of an endpoint's prefix cache, built from two sources.

Cache events report what the engine stored and evicted, late and with gaps. After a gap
in their sequence the blocks known from events are dropped, and the endpoint is listed
for a resync. Affinity records hold the prefixes that this router dispatched to the
endpoint, which the engine stores long before the event arrives. Source: Preble
(Srivatsa et al., 2024).
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

BLOCK_DIGEST_BYTES = 8

EVENT_BLOCK_LIMIT = 65_536
"""Maximum number of blocks kept from events for one endpoint."""

AFFINITY_BLOCK_LIMIT = 8_192
"""Maximum number of blocks kept from this router's dispatches for one endpoint."""

AFFINITY_SECONDS = 60.0
"""How long a dispatched block counts as cached without an event that confirms it."""

FIRST_SEQUENCE = 1


class PrefixMap(NamedTuple):
    """Blocks assumed to be in one endpoint's cache.

    ``next_sequence`` is ``None`` before the first event. ``stored`` is in the order of
    storing. ``dispatched`` maps each block to the time of its latest dispatch, oldest
    first. ``needs_resync`` is set after a gap in the events until the next snapshot.
    """

    stored: dict[str, None]
    dispatched: dict[str, float]
    next_sequence: int | None = None
    needs_resync: bool = False


def empty_prefix_map() -> PrefixMap:
    """Return the map of an endpoint without events or dispatches."""
    return PrefixMap({}, {})


def prefix_blocks(data: bytes, block_bytes: int) -> tuple[str, ...]:
    """Return the chained hashes of the complete blocks of a prompt.

    Each hash covers the prompt up to the end of its block, so equal hashes mean equal
    prefixes.
    """
    digest = blake2b(digest_size=BLOCK_DIGEST_BYTES)
    names = []
    for end in range(block_bytes, len(data) + 1, block_bytes):
        digest.update(data[end - block_bytes : end])
        names.append(digest.hexdigest())
    return tuple(names)


def cached_blocks(prefix: PrefixMap, blocks: tuple[str, ...], now: float) -> int:
    """Return how many leading ``blocks`` are assumed to be cached."""
    stored = prefix.stored
    dispatched = prefix.dispatched
    oldest = now - AFFINITY_SECONDS
    for count, block in enumerate(blocks):
        if block not in stored and dispatched.get(block, oldest) <= oldest:
            return count
    return len(blocks)


def record_dispatch(prefix: PrefixMap, blocks: Iterable[str], now: float) -> None:
    """Record that a prompt with these blocks was sent to the endpoint."""
    dispatched = prefix.dispatched
    for block in blocks:
        dispatched.pop(block, None)
        dispatched[block] = now
    _drop_oldest(dispatched, AFFINITY_BLOCK_LIMIT)


def apply_event(
    prefix: PrefixMap,
    sequence: int,
    stored: tuple[str, ...],
    evicted: tuple[str, ...],
) -> PrefixMap:
    """Apply one cache event; after a gap the blocks known from events are dropped."""
    expected = prefix.next_sequence
    if expected is not None and sequence < expected and sequence != FIRST_SEQUENCE:
        return prefix
    missed = sequence != (FIRST_SEQUENCE if expected is None else expected)
    if missed:
        prefix.stored.clear()
    for block in evicted:
        prefix.stored.pop(block, None)
        prefix.dispatched.pop(block, None)
    prefix.stored.update(dict.fromkeys(stored))
    _drop_oldest(prefix.stored, EVENT_BLOCK_LIMIT)
    return prefix._replace(
        next_sequence=sequence + 1, needs_resync=prefix.needs_resync or missed
    )


def apply_snapshot(
    prefix: PrefixMap, sequence: int, blocks: Iterable[str]
) -> PrefixMap:
    """Apply the full content of the cache as of event ``sequence``."""
    stored = dict.fromkeys(blocks)
    return PrefixMap(stored, prefix.dispatched, sequence + 1)


def reset_prefix_map(prefix: PrefixMap) -> PrefixMap:
    """Return the map of an engine whose cache was lost."""
    return PrefixMap({}, {}, None, prefix.needs_resync)


def _drop_oldest(blocks: dict[str, None] | dict[str, float], limit: int) -> None:
    while len(blocks) > limit:
        del blocks[next(iter(blocks))]
