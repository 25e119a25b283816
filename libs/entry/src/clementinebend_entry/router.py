"""The owner of the routing state: chooses endpoints for this entry's runs."""

from collections.abc import Callable
from time import monotonic

from clementinebend_declarations.models import Declarations, EndpointState
from clementinebend_entry.calls import Call
from clementinebend_entry.sidecar_link import SidecarLink
from clementinebend_entry.sidecar_pool import SidecarPool
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.choice import (
    Candidate,
    Choice,
    NoEndpoint,
    RoutingRequest,
    choose,
    empty_routing,
    on_cache_event,
    on_dispatch,
    on_finish,
    on_load_report,
    set_endpoints,
)
from clementinebend_routing.prefix import prefix_blocks

BLOCK_BYTES = 256
LARGEST_PREFIX = 64 * BLOCK_BYTES
BYTES_PER_TOKEN = 4

IsWitness = Callable[[str, Incarnation], bool]


class Router:
    """Chooses among the endpoints whose sidecars can be used now."""

    def __init__(
        self, zone: str, seed: int, pool: SidecarPool, is_witness: IsWitness
    ) -> None:
        self.zone = zone
        self.pool = pool
        self.is_witness = is_witness
        self.state = empty_routing(seed)
        self.declarations = Declarations()
        self.leaving: set[str] = set()

    def configure(self, declarations: Declarations) -> None:
        """Take the endpoints of a new revision."""
        self.declarations = declarations
        self.refresh()

    def refresh(self) -> None:
        """Take in which sidecars can be reached."""
        candidates = (
            Candidate(
                name,
                endpoint.service,
                endpoint.zone,
                endpoint.models or self.models_of(endpoint.service),
                self.is_usable(name, endpoint.state),
            )
            for name, endpoint in self.declarations.endpoints.items()
            if name in self.pool.links
        )
        self.state = set_endpoints(self.state, candidates, monotonic())

    def models_of(self, service: str) -> tuple[str, ...]:
        """Return the models of a service, which each endpoint has by default."""
        declared = self.declarations.services.get(service)
        return declared.models if declared else ()

    def is_usable(self, endpoint: str, state: EndpointState) -> bool:
        """Return whether an endpoint may get new work."""
        link = self.pool.links[endpoint]
        if state is EndpointState.LEAVING or endpoint in self.leaving:
            return False
        return link.up.is_set() and link.peer is not None and not link.peer.leaving

    def on_report(self, report: LoadReport) -> None:
        """Take a load report; one that tells of leaving counts at once."""
        self.state = on_load_report(self.state, report, monotonic())
        self.note_leaving(report.endpoint, report.leaving)

    def note_leaving(self, endpoint: str, is_leaving: bool) -> None:
        """Take in whether an endpoint takes new work."""
        if is_leaving != (endpoint in self.leaving):
            change = self.leaving.add if is_leaving else self.leaving.discard
            change(endpoint)
            self.refresh()

    def on_cache_event(self, event: CacheEvent) -> None:
        """Take a cache event."""
        self.state = on_cache_event(self.state, event, monotonic())

    def choose(
        self, call: Call, exclude: frozenset[str], unsafe_zone: str
    ) -> tuple[SidecarLink, Choice] | NoEndpoint:
        """Choose an endpoint for a call whose sidecar may spend its budget.

        None of ``unsafe_zone`` is chosen: a receipt could not be kept twice.
        """
        outside = frozenset(
            name
            for name, link in self.pool.links.items()
            if link.peer is None
            or link.peer.zone == unsafe_zone
            or not self.is_witness(call.budget, link.peer.incarnation)
        )
        wanted = RoutingRequest(
            call.service,
            call.model,
            self.zone,
            prefix_blocks(call.body[:LARGEST_PREFIX], BLOCK_BYTES),
            len(call.body) // BYTES_PER_TOKEN,
            exclude | outside,
        )
        self.state, choice = choose(self.state, wanted, monotonic())
        if isinstance(choice, NoEndpoint):
            return choice
        return self.pool.links[choice.endpoint], choice

    def is_pending(self, call: Call) -> bool:
        """Return whether an endpoint is in reach and its scope is being logged."""
        endpoints = self.declarations.endpoints
        return any(
            endpoints[name].service == call.service
            and self.is_usable(name, endpoints[name].state)
            and link.peer is not None
            and not self.is_witness(call.budget, link.peer.incarnation)
            for name, link in self.pool.links.items()
            if name in endpoints
        )

    def on_start(self, choice: Choice, run: RunId) -> None:
        """Count a run that is dispatched."""
        self.state = on_dispatch(
            self.state, choice.endpoint, run, monotonic(), choice.uncached
        )

    def on_end(self, endpoint: str, run: RunId, ok: bool, seconds: float) -> None:
        """Take the end of a run."""
        self.state = on_finish(self.state, endpoint, run, ok, seconds, monotonic())
