"""What this entry still lacks before it can serve."""

from asyncio import Event

from clementinebend_entry.fleet import Fleet
from clementinebend_entry.sidecar_pool import chosen_endpoints

ENDPOINT_PATIENCE_S = 10.0
"""An entry counts as ready without endpoints that are down for that long."""


class Readiness:
    """Answers what is missing, for calls and for the balancer."""

    def __init__(self, fleet: Fleet, stop: Event) -> None:
        self.fleet = fleet
        self.stop = stop
        self.has_seen_endpoints = False
        self.known_since: float | None = None

    def for_calls(self) -> tuple[str, ...]:
        """Return what a call would lack."""
        fleet = self.fleet
        missing = []
        if not fleet.configuration.is_known:
            missing.append("configuration")
        if not fleet.ledger.shards.is_ready:
            missing.append("ledger shards")
        return tuple(missing)

    def for_balancer(self) -> tuple[str, ...]:
        """Return why the balancer should send no callers here."""
        missing = self.for_calls()
        if self.stop.is_set():
            missing = (*missing, "stopping")
        if not missing and not self.sees_endpoints():
            missing = ("endpoints",)
        return missing

    def sees_endpoints(self) -> bool:
        """Return whether each service had a usable endpoint once, or time is up."""
        now = self.fleet.loop.time()
        if self.known_since is None:
            self.known_since = now
        is_late = now - self.known_since > ENDPOINT_PATIENCE_S
        self.has_seen_endpoints |= is_late or self.covers_services()
        return self.has_seen_endpoints

    def covers_services(self) -> bool:
        """Return whether each service with endpoints has one that may be used."""
        fleet = self.fleet
        declarations = fleet.directory().declarations
        endpoints = declarations.endpoints
        names = chosen_endpoints(
            fleet.settings.name, declarations, fleet.settings.subset_size
        )
        wanted = {endpoints[name].service for name in names}
        usable = {endpoints[name].service for name in names if self.is_usable(name)}
        return wanted == usable

    def is_usable(self, endpoint: str) -> bool:
        """Return whether a sidecar is in reach and in scope in all shards."""
        link = self.fleet.pool.links.get(endpoint)
        if link is None or link.peer is None or not link.up.is_set():
            return False
        return self.fleet.ledger.is_witness_everywhere(link.peer.incarnation)
