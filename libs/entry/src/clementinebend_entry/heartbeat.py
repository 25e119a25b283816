"""How often entries say that they live, and when silence means they do not.

A paused process keeps its connections open, so peers repeat their ``Hello``.
The rate is bounded for each entry, whatever the number of peers, so that
control traffic stays within its limit.
"""

HEARTBEATS_PER_SECOND = 20
"""Sent by one entry to all peers together; about 100 bytes each."""

SHORTEST_INTERVAL_S = 1.0
MISSED = 4
"""Heartbeats in a row that may be missed."""


def heartbeat_interval(peers: int) -> float:
    """Return the seconds between two heartbeats to the same peer."""
    return max(SHORTEST_INTERVAL_S, peers / HEARTBEATS_PER_SECOND)


def silence_limit(peers: int) -> float:
    """Return after how many seconds a silent peer is out of reach."""
    return MISSED * heartbeat_interval(peers)
