"""Rate limits for endpoints that may be cold, over all entries. Pure.

Load pattern: the endpoints of an availability zone come back together, cold and idle,
during a burst. All entries find them idle at once and send there together, and a cold
endpoint crashes at a rate well above the one that it tolerates.

The process that keeps an endpoint's queue counts the calls of the last second and the
permits that it granted most recently. An entry sends a call only with a permit. An
endpoint may turn cold some seconds before its announcement says so, so those that are
not known to be cold have a limit as well, a higher one. Where no count is available,
only a few entries send to a cold endpoint, each at most one call a second.

Times are in seconds on the steady clock.
"""

from collections import deque
from typing import NamedTuple

WINDOW_SECONDS = 1.0

PERMIT_SECONDS = 0.06
"""How long a permit is outstanding before its call is counted as sent: the wait for
reports, the time for which a survey is usable, and the delay of a datagram."""

WARM_SHARE = 0.95
"""Share of the bound for an endpoint that is not known to be cold; the rest covers lost
messages about sent calls."""

COLD_SHARE = 0.75
"""Share of the bound for an endpoint that is known to be cold."""

UNCOUNTED_SHARE = 0.5
"""Share of the remaining bound of a cold endpoint for calls without a permit; the rest
covers entries that know different sets of entries."""

UNCOUNTED_INTERVAL = 1.1
"""Least seconds between two calls that an entry sends to a cold endpoint without a
permit, so that no second holds both."""


class ColdBound(NamedTuple):
    """The most calls a second: ``overage`` times the tolerated rate, plus ``slack``."""

    overage: float = 1.0
    slack: float = 0.0


class PermitLimit(NamedTuple):
    """The limits at which a permit is refused.

    ``max_sent`` applies to the calls sent in the last second, ``max_total`` to these
    together with the outstanding permits.
    """

    max_sent: int
    max_total: int


class ColdLimit(NamedTuple):
    """The limits of an endpoint that is cold for ``cold_seconds`` after its start.

    ``cold`` applies while it counts as cold, ``warm`` otherwise. Where no count is
    available, ``uncounted_entries`` entries may send to a cold one.
    """

    cold_seconds: float
    cold: PermitLimit
    warm: PermitLimit
    uncounted_entries: int


def cold_limit(seconds: float, rate: float, bound: ColdBound) -> ColdLimit | None:
    """Return the limits of a service whose cold endpoints tolerate ``rate`` a second.

    None if its endpoints are never cold, or name no tolerated rate.
    """
    if seconds <= 0.0 or rate <= 0.0:
        return None
    most = max(1.0, rate * bound.overage + bound.slack)
    warm = max(1, int(WARM_SHARE * most))
    cold = max(1, int(COLD_SHARE * most))
    return ColdLimit(
        seconds,
        PermitLimit(max(1, min(cold, int(rate))), cold),
        PermitLimit(warm, warm),
        int(UNCOUNTED_SHARE * (most - cold)),
    )


class RecentCalls:
    """One process's count of the calls sent to an endpoint in the last second.

    No permit is decided on in the first second: the process may not know of calls that
    were sent before it began to count.
    """

    def __init__(self, now: float) -> None:
        self.counting_since = now
        self.sent: deque[float] = deque()
        self.permits: deque[float] = deque()

    def on_sent(self, now: float) -> None:
        """Count a call that is sent there."""
        self.sent.append(now)
        _drop_before(self.sent, now - WINDOW_SECONDS)

    def request_permit(self, limit: PermitLimit, now: float) -> bool | None:
        """Return whether a permit is granted, none if the count is incomplete."""
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
