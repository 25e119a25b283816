"""Admission of a call: its route, API key and time limit. Pure functions."""

from typing import NamedTuple
from zlib import crc32

from clementinebend_relay.configuration import find_route, find_team
from clementinebend_relay.fingerprints import fingerprint_of
from clementinebend_relay.messages import PromptTurn
from clementinebend_relay.models import (
    Call,
    Configuration,
    Reason,
    Rejection,
    Route,
    Service,
    Team,
)
from clementinebend_relay.prompt_parts import shared_parts
from clementinebend_relay.quarantine.subjects import part_subject
from clementinebend_relay.stream_origins import StreamOrigin
from clementinebend_routing.request_permits import CallClass

NO_CONFIGURATION_RETRY_AFTER = 0.5
"""Retry-after delay in seconds of a process that has no configuration yet.

A process loads its configuration within about that time after its start.
"""

ANONYMOUS_TEAM = Team("", None, None)
"""The team of a call without a key, on a route that needs none."""


class Admitted(NamedTuple):
    """An admitted call with its route, service, team, priority and time limit.

    ``time_limit`` is the caller's or the route's limit in seconds, whichever is
    shorter. ``version`` is that of the configuration. ``fingerprint`` is the same
    for all repetitions of a request. ``origin`` is set once a stream has begun: it goes
    on only there. ``turn`` is set while a prompt is to start for the first time.
    """

    call: Call
    route: Route
    service: Service
    team: Team
    priority: int
    time_limit: float
    version: int
    fingerprint: str
    origin: StreamOrigin | None = None
    turn: PromptTurn | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts of the prompt that other requests may share."""
        return shared_parts(self.call.parts)

    @property
    def part_subjects(self) -> tuple[str, ...]:
        """What is judged of the prompt if an endpoint ends."""
        return tuple(map(part_subject, self.shared_parts))

    @property
    def software_version(self) -> str | None:
        """The only version of endpoints' software for the call, None for any."""
        return None if self.origin is None else self.origin.software_version

    @property
    def call_class(self) -> CallClass:
        """What decides on the call's turn at endpoints in need."""
        return CallClass(self.priority, self.team.name)


def admit(call: Call, configuration: Configuration | None) -> Admitted | Rejection:
    """Return the admitted call, or why it is rejected."""
    if configuration is None:
        message = "this entry knows no configuration yet"
        return Rejection(Reason.NO_CONFIGURATION, message, NO_CONFIGURATION_RETRY_AFTER)
    route = find_route(configuration, call.host, call.path)
    if route is None:
        return Rejection(Reason.UNKNOWN_ROUTE, "no route leads there")
    team = find_team(configuration, call.key)
    if team is None and route.needs_key:
        return Rejection(Reason.UNKNOWN_KEY, "no team has this key")
    service = configuration.services.get(pick_service(route, call.request_id))
    if service is None:
        return Rejection(Reason.NO_ENDPOINT, "the route's service is unknown", 1.0)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    limit = route.timeout
    if call.time_limit is not None:
        limit = min(limit, call.time_limit)
    team = team or ANONYMOUS_TEAM
    if not _fits_budget(call, team):
        message = "the call may cost more than the team's whole budget"
        return Rejection(Reason.EXCEEDS_BUDGET, message)
    fingerprint = fingerprint_of(call, team.name)
    version = configuration.version
    return Admitted(call, route, service, team, priority, limit, version, fingerprint)


def _fits_budget(call: Call, team: Team) -> bool:
    """Return whether a team's whole budget, were it unspent, covers the call."""
    return team.prepaid is None or call.max_total_tokens <= team.prepaid


def pick_service(route: Route, request_id: str) -> str:
    """Return one of the route's services, chosen by weight.

    The choice is deterministic: the same request ID always gets the same service.
    """
    total = sum(share.weight for share in route.services)
    if total <= 0:
        return route.services[0].service if route.services else ""
    position = crc32(request_id.encode()) / 2**32 * total
    for share in route.services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.services[-1].service
