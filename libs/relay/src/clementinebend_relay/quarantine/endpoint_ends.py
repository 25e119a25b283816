"""When endpoints ended, and when they last answered, as this entry knows it."""

from collections.abc import Callable
from math import inf

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.quarantine.end_detector import LATE_DATA_SECONDS
from clementinebend_routing.fatal_runs import FatalRun

ALIVE_SECONDS = 2.0
"""Seconds after an endpoint's supposed end from which on an announcement proves that it
is running: one that is read sooner may have been written before the end."""

MAX_ALIVE = 10_000
"""Maximum number of endpoints for which the time of their last answer is kept, about
1 MB."""

MAX_ENDED = 2_000
"""Maximum number of endpoints for which the time of their end is kept."""


class EndpointEnds:
    """Times of the ends and of the last answers of endpoints, by boot.

    Times are in seconds on the ``clock``.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ended_at: dict[str, float] = {}
        self.alive_at: dict[str, float] = {}

    def has_answered_since(self, run: FatalRun) -> bool:
        """Return whether the endpoint of a run has answered after its supposed end."""
        alive_at = self.alive_at.get(run.endpoint, -inf)
        return alive_at > run.ended_at + LATE_DATA_SECONDS

    def known_end(self, endpoint: str) -> float:
        """Return the earliest known end of an endpoint, infinity if none is known."""
        return self.ended_at.get(endpoint, inf)

    def on_ended(self, endpoint: str, at: float) -> None:
        """Record the end of an endpoint; the earliest report counts."""
        self.ended_at[endpoint] = min(at, self.known_end(endpoint))
        if len(self.ended_at) > MAX_ENDED:
            del self.ended_at[next(iter(self.ended_at))]

    def on_alive(self, endpoint: str) -> bool:
        """Record an answer of an endpoint; return if that takes its end back."""
        now = self.clock()
        self.alive_at.pop(endpoint, None)
        self.alive_at[endpoint] = now
        if len(self.alive_at) > MAX_ALIVE:
            del self.alive_at[next(iter(self.alive_at))]
        if now - self.known_end(endpoint) <= LATE_DATA_SECONDS:
            return False
        del self.ended_at[endpoint]
        log_decision("endpoint not ended", endpoint=endpoint)
        return True

    def proves_life(self, endpoint: str) -> bool:
        """Return whether a new announcement proves that an endpoint has not ended."""
        return self.clock() - self.known_end(endpoint) > ALIVE_SECONDS
