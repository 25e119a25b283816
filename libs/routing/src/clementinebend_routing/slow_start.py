"""Slow start: a new endpoint gets its share of requests step by step.

An endpoint that has just come (or come back from ejection) has empty caches
and an empty queue, so all routers would send to it at once.
"""

SLOW_START_SECONDS = 10.0
"""How long an endpoint counts as new."""

INITIAL_SHARE = 0.1
"""Share of its capacity that an endpoint has at the start."""


def slow_start_share(started_at: float, now: float) -> float:
    """Return the share of its capacity, above 0 and up to 1, to use now."""
    share = (now - started_at) / SLOW_START_SECONDS
    return min(1.0, max(INITIAL_SHARE, share))
