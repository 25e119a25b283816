"""A fleet's retry budget in a sliding window, split between its entries.

In any window, a service may get retries of ``ratio`` times its requests plus
``slack``, summed over all entries. Each entry limits itself to ``ratio`` times its
own requests plus an equal part of the slack, so that the limit also holds while
entries cannot communicate.
"""

from collections import deque
from typing import NamedTuple

SAFETY_FACTOR = 0.8
"""Fraction of the budget in use, since the windows of entries are not aligned."""


class RetryLimits(NamedTuple):
    """The fleet's budget; ``window`` is in seconds."""

    ratio: float
    slack: float
    window: float


class RetryWindow:
    """Timestamps of one entry's requests and retries for one service."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def on_request(self, limits: RetryLimits, now: float) -> None:
        """Count a first attempt, and forget those before the window."""
        _drop_before(self.requests, now - limits.window)
        self.requests.append(now)

    def has_retry(self, limits: RetryLimits, entries: int, now: float) -> bool:
        """Return whether a retry is within the budget."""
        _drop_before(self.requests, now - limits.window)
        _drop_before(self.retries, now - limits.window)
        earned = limits.ratio * len(self.requests) + limits.slack / max(1, entries)
        return len(self.retries) + 1 <= earned * SAFETY_FACTOR

    def may_retry(self, limits: RetryLimits, entries: int, now: float) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        if not self.has_retry(limits, entries, now):
            return False
        self.retries.append(now)
        return True

    def refund_retry(self, since: float) -> None:
        """Remove the first retry counted at or after ``since``, which was not sent."""
        counted = next((at for at in self.retries if at >= since), None)
        if counted is not None:
            self.retries.remove(counted)


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
