"""A ring of processes, in the same order at all processes that know the same names.

The order is pseudorandom, so that processes that fail together, such as those of one
availability zone, are not neighbours. Pure functions.
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2b
from itertools import chain, islice
from typing import NamedTuple

POSITION_BYTES = 8


class RingPlace(NamedTuple):
    """A process and its position on the ring."""

    position: bytes
    name: str


def ring_successors(name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return all ``names`` except ``name``, in ring order from its successor on."""
    members = members_from(name, ring_order(names))
    return tuple(member for member in members if member != name)


def ring_order(names: Iterable[str]) -> tuple[RingPlace, ...]:
    """Return all ``names`` in ring order."""
    return tuple(sorted(RingPlace(_position(name), name) for name in set(names)))


def members_from(key: str, order: Sequence[RingPlace]) -> Iterator[str]:
    """Yield all names in ring order, from the first one that follows ``key`` on.

    Adding or removing a name doesn't change the order of the others.
    """
    start = bisect_left(order, RingPlace(_position(key), ""))
    places = chain(islice(order, start, None), islice(order, start))
    return (place.name for place in places)


def _position(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=POSITION_BYTES).digest()
