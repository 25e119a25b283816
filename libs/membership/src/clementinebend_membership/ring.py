"""A ring of processes, in the same order at all processes that know the same names.

The order is pseudorandom, so that processes that fail together, such as those of one
availability zone, are not neighbours. Pure functions.
"""

from collections.abc import Iterable
from hashlib import blake2b

POSITION_BYTES = 8


def ring_successors(name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return all ``names`` except ``name``, in ring order from its successor on."""
    position = _position(name)
    others = sorted((_position(other), other) for other in set(names) - {name})
    after = [other for place, other in others if (place, other) > (position, name)]
    before = [other for place, other in others if (place, other) < (position, name)]
    return (*after, *before)


def _position(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=POSITION_BYTES).digest()
