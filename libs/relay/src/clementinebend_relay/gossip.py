"""Which other entries each entry tells of a change, so that all learn of it.

Each entry that learns of a change tells its next ones on a ring, which reaches every
entry, and some others at random, which makes it fast. The datagrams of one entry do not
grow with the fleet.
"""

from random import sample

from clementinebend_transport.client_connection import Address

RING_FANOUT = 2
"""Next entries on the ring to which each entry forwards a change: two, so that one dead
entry does not end the chain."""

RANDOM_FANOUT = 2
"""Other entries, chosen at random, to which each entry forwards a change: it spreads
through the fleet in a few rounds."""


def gossip_receivers(others: list[Address], repetition: int = 0) -> list[Address]:
    """Return the entries to tell; further ones on the ring at each repetition.

    ``others`` are all other entries, from the next one on the ring on.
    """
    start = repetition * RING_FANOUT
    next_ones = others[start : start + RING_FANOUT]
    rest = others[:start] + others[start + RING_FANOUT :]
    return [*next_ones, *sample(rest, min(RANDOM_FANOUT, len(rest)))]
