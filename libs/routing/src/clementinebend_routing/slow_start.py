"""Slow start: the share of requests to a new endpoint grows over time.

A new endpoint, or one whose ejection has ended, has empty caches and an empty queue, so
all routers would send to it at once.
"""

SLOW_START_SECONDS = 10.0
"""Duration of slow start."""

INITIAL_SHARE = 0.1
"""Share of its capacity that an endpoint is used at when slow start begins."""


def slow_start_share(started_at: float, now: float) -> float:
    """Return the share of its capacity to use now, above 0 and up to 1."""
    share = (now - started_at) / SLOW_START_SECONDS
    return min(1.0, max(INITIAL_SHARE, share))
