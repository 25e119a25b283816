"""What the direct path works with: routes, teams, endpoints and calls.

Adapters decode the wire into these types. Times are in seconds, amounts in
tokens, unless a field says otherwise.
"""

from enum import StrEnum
from typing import NamedTuple

from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address


class RouteKind(StrEnum):
    """What a route answers with, and what may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service, and its weight among those of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests go whose path begins with ``prefix``, and on what terms.

    ``priority`` is 0 for the most urgent. ``max_attempts`` bounds the
    endpoints that one request is sent to.
    """

    name: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    priority: int
    services: tuple[ServiceShare, ...]
    max_attempts: int
    needs_key: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class Service(NamedTuple):
    """A service's limits: connections to one endpoint, from all entries.

    ``event_tokens`` is how many tokens one event of a stream may hold. An endpoint is
    cold for ``cold_seconds`` after its start and tolerates ``cold_rate`` calls a second
    in that time; 0 stands for no limit.
    """

    name: str
    max_connections: int
    event_tokens: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class Team(NamedTuple):
    """A customer; ``prepaid`` is what it may spend in all, if it is limited."""

    name: str
    prepaid: int | None
    priority: int | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take. Sizes in bytes."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    ``routes`` holds the routes of each host by path prefix, ``keys`` the team
    of each bearer key.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    teams: dict[str, Team]
    keys: dict[str, str]
    limits: CallerLimits


class Endpoint(NamedTuple):
    """One boot of an endpoint, as it announced itself.

    ``boot`` tells apart boots that keep the name, if the endpoint says so.
    ``cold_seconds`` is the remaining time for which it is cold.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    is_leaving: bool
    boot: int | None = None
    cold_seconds: float = 0.0


def boot_name(endpoint: Endpoint) -> str:
    """Return the name of one boot of an endpoint."""
    return f"{endpoint.name}/{endpoint.boot or ''}"


def endpoint_name(boot: str) -> str:
    """Return the endpoint's name from the name of one of its boots."""
    return boot.rpartition("/")[0]


class Call(NamedTuple):
    """A caller's request, decoded.

    ``headers`` are those to pass on. ``time_limit`` is what the caller gives
    the request, ``parts`` is its prompt. ``last_event`` is the last event
    that the caller has of a stream that it resumes.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    time_limit: float | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    last_event: str | None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def max_total_tokens(self) -> int:
        """The most that the call can cost."""
        return self.prompt_tokens + self.max_output_tokens


class Rejection(NamedTuple):
    """A call that is not admitted; ``retry_after`` says when to come back."""

    reason: "Reason"
    message: str
    retry_after: float | None = None


class Reason(StrEnum):
    """Why a call ends without an endpoint's answer."""

    MALFORMED = "malformed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    BUDGET_SPENT = "budget_spent"
    BUDGET_BUSY = "budget_busy"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    NOT_RUN = "not_run"
    TIMEOUT_NOT_RUN = "timeout_not_run"
    TIMEOUT_MAY_HAVE_RUN = "timeout_may_have_run"
    MAY_HAVE_RUN = "may_have_run"
    QUARANTINED = "quarantined"
