"""What is known of an endpoint's prefix cache.

Two sources are joined. Cache events tell what the engine stored and evicted,
late and with gaps: after a gap in their sequence the map they built is
dropped, and the endpoint is listed for a resync. Affinity memory holds the
prefixes this router dispatched there itself, which an engine stores long
before its event arrives. Source: Preble (Srivatsa et al., 2024).
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

BLOCK_DIGEST_BYTES = 8

EVENT_BLOCK_LIMIT = 65_536
"""Most blocks kept from events for one endpoint."""

AFFINITY_BLOCK_LIMIT = 8_192
"""Most blocks kept from own dispatches for one endpoint."""

AFFINITY_SECONDS = 60.0
"""How long an own dispatch is believed without an event for it."""

FIRST_SEQUENCE = 1


class PrefixMap(NamedTuple):
    """Blocks believed to be in one endpoint's cache.

    ``next_sequence`` is ``None`` before the first event. ``stored`` is in
    order of storing, ``dispatched`` maps a block to the time of the latest
    dispatch, oldest first.
    """

    stored: dict[str, None]
    dispatched: dict[str, float]
    next_sequence: int | None = None
    needs_resync: bool = False


def empty_prefix_map() -> PrefixMap:
    """Return the map of an endpoint of which nothing is known."""
    return PrefixMap({}, {})


def prefix_blocks(data: bytes, block_bytes: int) -> tuple[str, ...]:
    """Return the names of the whole blocks of a prompt.

    Each name depends on all of the prompt up to the end of its block, so
    equal names mean equal prefixes.
    """
    digest = blake2b(digest_size=BLOCK_DIGEST_BYTES)
    names = []
    for end in range(block_bytes, len(data) + 1, block_bytes):
        digest.update(data[end - block_bytes : end])
        names.append(digest.hexdigest())
    return tuple(names)


def cached_blocks(prefix: PrefixMap, blocks: tuple[str, ...], now: float) -> int:
    """Return how many leading ``blocks`` are believed to be cached."""
    stored = prefix.stored
    dispatched = prefix.dispatched
    oldest = now - AFFINITY_SECONDS
    for count, block in enumerate(blocks):
        if block not in stored and dispatched.get(block, oldest) <= oldest:
            return count
    return len(blocks)


def record_dispatch(prefix: PrefixMap, blocks: Iterable[str], now: float) -> None:
    """Note that a prompt with these blocks was sent to the endpoint."""
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
    """Take one cache event; a gap before it drops the map built so far."""
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
    """Take the whole content of the cache as of event ``sequence``."""
    stored = dict.fromkeys(blocks)
    return PrefixMap(stored, prefix.dispatched, sequence + 1)


def reset_prefix_map(prefix: PrefixMap) -> PrefixMap:
    """Return the map of an engine that has lost its cache."""
    return PrefixMap({}, {}, None, prefix.needs_resync)


def _drop_oldest(blocks: dict[str, None] | dict[str, float], limit: int) -> None:
    while len(blocks) > limit:
        del blocks[next(iter(blocks))]
