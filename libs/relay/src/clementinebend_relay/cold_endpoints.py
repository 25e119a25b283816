"""Tracks which endpoints may be cold, and whether a call may be sent to one now.

Applies the limits of ``clementinebend_routing.cold_start`` to what this entry knows:
announcements, endpoints that were added or are reachable again, and evacuations that
ended.
"""

from collections.abc import Callable, Iterable
from math import inf

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.metrics import cold_endpoints
from clementinebend_relay.models import Endpoint, Service, boot_name
from clementinebend_routing.cold_start import (
    UNCOUNTED_INTERVAL,
    ColdBound,
    ColdLimit,
    PermitLimit,
    cold_limit,
)

MAX_COLD_SECONDS = 60.0
"""Upper limit in seconds of the cold time that an endpoint announces."""


class ColdEndpoints:
    """The cold endpoints and their call limits; shared by all tasks of an entry."""

    def __init__(
        self, name: str, directory: Directory, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.directory = directory
        self.clock = clock
        self.limits: dict[str, ColdLimit] = {}
        self.evacuation_ended_at: dict[str, float] = {}
        self.cold_boots: set[str] = set()

    def configure(self, services: Iterable[Service], bound: ColdBound) -> None:
        """Set the call limits of each service."""
        limits = {
            service.name: cold_limit(service.cold_seconds, service.cold_rate, bound)
            for service in services
        }
        self.limits = {name: limit for name, limit in limits.items() if limit}

    def on_evacuation_ended(self, zone: str) -> None:
        """Treat the endpoints of a zone as cold, starting now."""
        self.evacuation_ended_at[zone] = self.clock()

    def on_announced(self, state: EndpointState) -> None:
        """Apply the remaining cold time of an endpoint's announcement."""
        now = self.clock()
        cold_for = min(MAX_COLD_SECONDS, state.endpoint.cold_seconds)
        if cold_for > 0.0:
            state.cold_until = max(state.cold_until, now + cold_for)
        self.record_status(state)

    def record_status(self, state: EndpointState) -> None:
        """Log and count whether an endpoint is cold, if that has changed."""
        boot = boot_name(state.endpoint)
        is_cold = self.is_cold(state)
        if is_cold == (boot in self.cold_boots):
            return
        self.cold_boots ^= {boot}
        cold_endpoints.set(len(self.cold_boots))
        log_decision(
            "endpoint cold" if is_cold else "endpoint warm",
            endpoint=state.endpoint.name,
            by_its_word=self.clock() < state.cold_until,
        )

    def forget(self, endpoint: Endpoint) -> None:
        """Stop counting a boot of an endpoint as cold; it was dropped."""
        self.cold_boots.discard(boot_name(endpoint))
        cold_endpoints.set(len(self.cold_boots))

    def is_cold(self, state: EndpointState) -> bool:
        """Return whether an endpoint is cold by its announcement, or assumed to be."""
        limit = self.limits.get(state.endpoint.service)
        if limit is None:
            return False
        evacuation_ended_at = self.evacuation_ended_at.get(state.endpoint.zone, -inf)
        assumed_since = max(state.available_since, evacuation_ended_at)
        assumed_until = assumed_since + limit.cold_seconds
        return self.clock() < max(state.cold_until, assumed_until)

    def permit_limit(self, state: EndpointState) -> PermitLimit | None:
        """Return the current permit limit of an endpoint, None if it is unlimited."""
        limit = self.limits.get(state.endpoint.service)
        if limit is None:
            return None
        self.record_status(state)
        return limit.cold if self.is_cold(state) else limit.warm

    def may_send(self, state: EndpointState, has_permit: bool | None) -> bool:
        """Return whether a call may be sent to an endpoint now.

        ``has_permit`` is the answer of the process that counts the endpoint's calls,
        None if its count is not available.
        """
        limit = self.limits.get(state.endpoint.service)
        if limit is None:
            return True
        if has_permit is not None:
            return has_permit
        return not self.is_cold(state) or self._may_send_uncounted(state, limit)

    def _may_send_uncounted(self, state: EndpointState, limit: ColdLimit) -> bool:
        if self.clock() - state.last_sent_at < UNCOUNTED_INTERVAL:
            return False
        if not self.directory.known.is_set():
            return False
        names = self.directory.announcements
        key = f"cold-{state.endpoint.name}"
        return self.name in rendezvous(key, names, limit.uncounted_entries)
