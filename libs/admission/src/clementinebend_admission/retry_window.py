"""A fleet's retry budget in a sliding window, split between its entries.

In any window, a service may get ``ratio`` times its requests and ``slack``
arrivals beyond the first of each request, summed over all entries. Each entry
keeps to the part that its own requests earn and an equal part of the slack, so
that the sum holds also while the entries cannot hear each other.
"""

from collections import deque
from typing import NamedTuple

SAFETY_FACTOR = 0.8
"""Part of the budget that is used: the windows of entries do not align."""


class RetryLimits(NamedTuple):
    """The fleet's budget; ``window`` is in seconds."""

    ratio: float
    slack: float
    window: float


class RetryWindow:
    """One entry's requests and retries for one service, by time."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a first attempt."""
        self.requests.append(now)

    def may_retry(self, limits: RetryLimits, entries: int, now: float) -> bool:
        """Tell whether a retry fits now, and count it if so."""
        _drop_before(self.requests, now - limits.window)
        _drop_before(self.retries, now - limits.window)
        earned = limits.ratio * len(self.requests) + limits.slack / max(1, entries)
        if len(self.retries) + 1 > earned * SAFETY_FACTOR:
            return False
        self.retries.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
