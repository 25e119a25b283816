"""How long an endpoint whose record was removed still gets calls as a last resort.

An endpoint that leaves without notice has its record removed, and serves for a limited
time after that. A record also expires if the store was unavailable for its endpoint;
such an endpoint is sound, and writes its record again once the store is back.
"""

from math import inf

RETURN_SECONDS = 2.0
"""Seconds within which endpoints whose records expired write them again, once the
store is available."""

LEAVING_SHARE = 0.5
"""Share of the time for which a leaving endpoint serves in which it still gets calls. A
removal is read some tenths of a second after it, and a call is sent later than it is
placed."""

EXPIRY_SLACK_SECONDS = 3.0
"""Seconds after a failed read of the store in which removals count as expiries."""


class LastResort:
    """Tells endpoints that leave from those whose records expired in an outage.

    ``leaving_seconds`` is how long an endpoint serves after its record was removed.
    Times are on the monotonic clock.
    """

    def __init__(self, leaving_seconds: float) -> None:
        self.leaving_seconds = leaving_seconds
        self.failed_at = -inf

    def on_read_failed(self, now: float) -> None:
        """Note that the store could not be read."""
        self.failed_at = now

    def seconds(self, now: float) -> float:
        """Return for how long an endpoint may get calls whose removal was just read."""
        if now - self.failed_at < EXPIRY_SLACK_SECONDS:
            return RETURN_SECONDS
        return min(RETURN_SECONDS, LEAVING_SHARE * self.leaving_seconds)
