"""Builders of routes and calls for the unit tests of the relay."""

from clementinebend_relay.admission import Admitted
from clementinebend_relay.models import (
    Call,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Team,
)
from clementinebend_relay.progress import CallProgress

CALL = Call("r", "POST", "/s/", "h", (), b"", "k", 5.0, (), 100, 30, None)
SERVICE = Service("pool", 10, 3)
TEAM = Team("desk", 1000, None)


def route(
    kind: RouteKind,
    max_attempts: int = 2,
    is_resumable: bool = True,
    priority: int = 1,
) -> Route:
    """Return a route to the service ``pool`` with a latency target of 0.5 s."""
    shares = (ServiceShare("pool", 1.0),)
    return Route(
        "r", "/s/", kind, 5.0, 0.5, priority, shares, max_attempts, True, is_resumable
    )


def admitted(route: Route, call: Call = CALL) -> Admitted:
    """Return a call admitted with the limits of a route."""
    return Admitted(call, route, SERVICE, TEAM, route.priority, 5.0, 1, "f")


def progress(route: Route) -> CallProgress:
    """Return the progress of an unsent call with a deadline at 10 s."""
    return CallProgress(admitted(route), 10.0)
