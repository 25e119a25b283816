"""Whether a call is admitted: route, key, time limit. Pure."""

from typing import NamedTuple
from zlib import crc32

from clementinebend_relay.configuration import find_route, find_team
from clementinebend_relay.fingerprints import fingerprint_of
from clementinebend_relay.models import (
    Call,
    Configuration,
    Reason,
    Rejection,
    Route,
    Service,
    Team,
)

NO_CONFIGURATION_RETRY_AFTER = 0.5
"""Seconds after which a caller may ask again a process that knows no
configuration yet: one reads it within about that time of its start."""

ANONYMOUS_TEAM = Team("", None, None)
"""Who calls a route that needs no key."""


class Admitted(NamedTuple):
    """A call that may go on, and on what terms.

    ``time_limit`` (seconds) is the shorter of the caller's and the route's.
    ``fingerprint`` is the same for all repetitions of a request.
    """

    call: Call
    route: Route
    service: Service
    team: Team
    priority: int
    time_limit: float
    version: int
    fingerprint: str


def admit(call: Call, configuration: Configuration | None) -> Admitted | Rejection:
    """Return the terms on which ``call`` may go on, or why it may not."""
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
    fingerprint = fingerprint_of(call, team.name)
    version = configuration.version
    return Admitted(call, route, service, team, priority, limit, version, fingerprint)


def pick_service(route: Route, request_id: str) -> str:
    """Return one of the route's services, by weight; the same for the same id."""
    total = sum(share.weight for share in route.services)
    if total <= 0:
        return route.services[0].service if route.services else ""
    position = crc32(request_id.encode()) / 2**32 * total
    for share in route.services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.services[-1].service
