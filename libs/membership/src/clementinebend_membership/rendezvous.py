"""Rendezvous hashing: all processes select the same hosts for a key.

With this method (highest random weight), adding or removing a name moves only the keys
of that name. Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates" (1998).
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from heapq import nsmallest
from itertools import islice
from math import log

WEIGHT_BYTES = 8
SEPARATOR = b"\0"


def rendezvous(key: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first ``count`` of ``names`` for ``key``, best first."""
    ranked = nsmallest(count, ((_weight(key, name), name) for name in set(names)))
    return tuple(name for _, name in ranked)


def weighted_rendezvous(
    key: str, weights: Mapping[str, float], count: int
) -> tuple[str, ...]:
    """Return the first ``count`` names for ``key``, best first, by weight.

    A name comes first with a probability proportional to its weight. Weights must be
    above 0. Source: Schindelhauer and Schomaker, "Weighted distributed hash tables"
    (2005), the logarithmic method.
    """
    ranked = nsmallest(
        count, ((_distance(key, name) / weights[name], name) for name in weights)
    )
    return tuple(name for _, name in ranked)


def rendezvous_by_zone(
    key: str, zone_by_name: Mapping[str, str], zones: int
) -> tuple[str, ...]:
    """Return the first host for ``key`` in each of its first ``zones`` zones."""
    ranked = rendezvous(key, zone_by_name, len(zone_by_name))
    first_by_zone: dict[str, str] = {}
    for name in ranked:
        first_by_zone.setdefault(zone_by_name[name], name)
    return tuple(islice(first_by_zone.values(), zones))


def subset(name: str, candidates: Sequence[str], size: int) -> tuple[str, ...]:
    """Return the ``size`` back ends used by the client ``name``, best first.

    Each back end is used by ``clients * size / len(candidates)`` clients on average.
    Adding or removing one candidate changes at most one member of the subset.
    """
    return rendezvous(name, candidates, size)


def _weight(key: str, name: str) -> bytes:
    return blake2b(
        key.encode() + SEPARATOR + name.encode(), digest_size=WEIGHT_BYTES
    ).digest()


def _distance(key: str, name: str) -> float:
    """Return a value distributed exponentially, derived from the hash."""
    drawn = int.from_bytes(_weight(key, name))
    return -log((drawn + 1) / (2 ** (8 * WEIGHT_BYTES) + 1))
