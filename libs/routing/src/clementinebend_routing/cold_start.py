"""Rate limits for endpoints that may be cold, shared by all entries. Pure functions.

Load pattern: all endpoints of an availability zone return at once, cold and idle,
during a burst of calls. Every entry sees them idle and sends to them at the same time.
A cold endpoint crashes when the call rate is well above the rate that it tolerates.

The process that keeps an endpoint's queue counts the calls of the last second and the
permits that it granted most recently. An entry sends a call only with a permit.
Announcements lag, so an endpoint may be cold for some seconds before its announcement
says so. Endpoints that are not known to be cold are therefore limited too, at a higher
rate. If no count is available, only a few entries send to a cold endpoint, each at most
one call per second.

Times are in seconds on the monotonic clock.
"""

from collections import deque
from typing import NamedTuple

WINDOW_SECONDS = 1.0

PERMIT_SECONDS = 0.06
"""How long a permit counts as outstanding. After that its call is assumed to be in the
count of sent calls. Covers the wait for reports, the time for which a survey is usable,
and the delay of a datagram."""

WARM_SHARE = 0.95
"""Share of the bound that is granted to an endpoint not known to be cold. The rest is a
margin for lost messages about sent calls."""

COLD_SHARE = 0.75
"""Share of the bound that is granted to an endpoint known to be cold."""

UNCOUNTED_SHARE = 0.5
"""Share of a cold endpoint's remaining bound for calls sent without a permit. The rest
is a margin for entries whose lists of entries differ."""

UNCOUNTED_INTERVAL = 1.1
"""Minimum seconds between two calls that an entry sends to a cold endpoint without a
permit. Longer than the window, so that no second contains both."""


class ColdBound(NamedTuple):
    """Upper bound on calls per second: tolerated rate * ``overage`` + ``slack``."""

    overage: float = 1.0
    slack: float = 0.0


class PermitLimit(NamedTuple):
    """Limits above which a permit is refused.

    ``max_sent`` limits the calls sent in the last second. ``max_total`` limits these
    plus the outstanding permits.
    """

    max_sent: int
    max_total: int


class ColdLimit(NamedTuple):
    """Limits of an endpoint that is cold for ``cold_seconds`` after its start.

    ``cold`` applies while the endpoint is considered cold, ``warm`` otherwise. If no
    count is available, ``uncounted_entries`` entries may send to a cold endpoint.
    """

    cold_seconds: float
    cold: PermitLimit
    warm: PermitLimit
    uncounted_entries: int


def cold_limit(seconds: float, rate: float, bound: ColdBound) -> ColdLimit | None:
    """Return the limits for a service whose cold endpoints tolerate ``rate`` calls/s.

    Returns None if its endpoints are never cold or no tolerated rate is configured.
    """
    if seconds <= 0.0 or rate <= 0.0:
        return None
    max_rate = max(1.0, rate * bound.overage + bound.slack)
    warm = max(1, int(WARM_SHARE * max_rate))
    cold = max(1, int(COLD_SHARE * max_rate))
    return ColdLimit(
        seconds,
        PermitLimit(max(1, min(cold, int(rate))), cold),
        PermitLimit(warm, warm),
        int(UNCOUNTED_SHARE * (max_rate - cold)),
    )


class RecentCalls:
    """Counts the calls sent to an endpoint in the last second, in one process.

    Permits are neither granted nor refused in the first second, since the process may
    not know of calls that were sent before it started to count.
    """

    def __init__(self, now: float) -> None:
        self.counting_since = now
        self.sent: deque[float] = deque()
        self.permits: deque[float] = deque()

    def on_sent(self, now: float) -> None:
        """Record a call that was sent to the endpoint."""
        self.sent.append(now)
        _drop_before(self.sent, now - WINDOW_SECONDS)

    def request_permit(self, limit: PermitLimit, now: float) -> bool | None:
        """Return whether a permit is granted, or None if the count is incomplete."""
        if now - self.counting_since < WINDOW_SECONDS:
            return None
        _drop_before(self.sent, now - WINDOW_SECONDS)
        _drop_before(self.permits, now - PERMIT_SECONDS)
        sent = len(self.sent)
        if sent >= limit.max_sent or sent + len(self.permits) >= limit.max_total:
            return False
        self.permits.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
