"""When rejected callers are told to return, while a service has a known rate. Pure.

Each rejected caller gets a later time than the one before, at the rate that can be
served, so that callers don't return together and find the service full again.
Times are in seconds on a monotonic clock.
"""

from math import inf

MIN_DELAY, MAX_DELAY = 0.25, 5.0
"""Bounds of the delays in seconds: callers may not wait for a longer one."""

OVERFLOW_DELAY = 1.0
"""Shortest delay in seconds of a caller for whom there is no room within
``MAX_DELAY``; such callers are spread over the time between."""


class ReturnSchedule:
    """The times at which one entry's rejected callers of a service return."""

    def __init__(self) -> None:
        self.last_at = -inf

    def next_delay(self, rate: float, now: float, draw: float) -> float:
        """Return after how many seconds the next caller should return.

        ``rate`` is the number of calls per second that this entry can serve; ``draw``
        is a random number from 0 to 1.
        """
        earliest = max(self.last_at, now + MIN_DELAY)
        at = earliest + 2.0 * draw / rate if rate > 0.0 else inf
        if at > now + MAX_DELAY:
            return OVERFLOW_DELAY + draw * (MAX_DELAY - OVERFLOW_DELAY)
        self.last_at = at
        return at - now
