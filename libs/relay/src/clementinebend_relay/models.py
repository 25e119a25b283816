"""Data types of the relay: routes, teams, endpoints, calls and rejections.

Adapters decode wire formats into these types. Times are in seconds and amounts in
tokens, unless a field says otherwise.
"""

from enum import StrEnum
from typing import NamedTuple

from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address


class RouteKind(StrEnum):
    """Whether a route returns streams, and whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services and limits of requests whose path begins with ``prefix``.

    A ``priority`` of 0 is the most urgent. ``max_attempts`` limits the number of
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
    """The limits of a service.

    ``max_connections`` limits the connections from all entries to one endpoint.
    ``event_tokens`` is the maximum number of tokens in one event of a stream. An
    endpoint is cold for ``cold_seconds`` after its start, and accepts ``cold_rate``
    calls per second in that time; 0 means no limit.
    """

    name: str
    max_connections: int
    event_tokens: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class Team(NamedTuple):
    """A customer; ``prepaid`` is its total budget, or None if it has no limit."""

    name: str
    prepaid: int | None
    priority: int | None


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests; sizes are in bytes."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    ``routes`` maps each host and path prefix to a route, and ``keys`` maps each bearer
    key to the name of its team.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    teams: dict[str, Team]
    keys: dict[str, str]
    limits: CallerLimits


class Endpoint(NamedTuple):
    """One boot of an endpoint, as announced by the endpoint.

    ``boot`` distinguishes boots under the same name, if the endpoint announces it.
    ``cold_seconds`` is the remaining time for which the endpoint is cold.
    ``software_version`` is the version of its software, not of its model. ``sequence``
    counts the announcements of a boot, if they are counted.
    """

    name: str
    service: str
    address: Address
    zone: str
    slots: int
    is_leaving: bool
    boot: int | None = None
    cold_seconds: float = 0.0
    software_version: str = ""
    sequence: int | None = None


def boot_name(endpoint: Endpoint) -> str:
    """Return the name of one boot of an endpoint."""
    return f"{endpoint.name}/{endpoint.boot or ''}"


def endpoint_name(boot: str) -> str:
    """Return the endpoint's name from the name of one of its boots."""
    return boot.rpartition("/")[0]


class Call(NamedTuple):
    """A caller's request, decoded.

    ``headers`` are those to forward. ``time_limit`` is the caller's time limit, and
    ``parts`` is the prompt. ``last_event`` is the ID of the last event that the caller
    has received, if it resumes a stream. ``resumes`` then is the ID of its request that
    brought the first event. ``prompt_tokens`` and ``max_output_tokens`` are at most
    ``MAX_TOKENS`` each.
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
    resumes: str | None = None

    @property
    def is_resumption(self) -> bool:
        """Whether the caller resumes a stream of which it holds events."""
        return bool(self.last_event or self.resumes)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def max_total_tokens(self) -> int:
        """The maximum cost of the call: its prompt and its longest output."""
        return self.prompt_tokens + self.max_output_tokens


class Rejection(NamedTuple):
    """Why a call gets no endpoint's response; ``retry_after`` is in seconds.

    With ``is_last`` the caller's connection is closed, so that it retries on another.
    """

    reason: "Reason"
    message: str
    retry_after: float | None = None
    is_last: bool = False


class Reason(StrEnum):
    """Why a call ends without a response from an endpoint."""

    MALFORMED = "malformed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    EXCEEDS_BUDGET = "exceeds_budget"
    BUDGET_SPENT = "budget_spent"
    BUDGET_BUSY = "budget_busy"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    BODY_MEMORY = "body_memory"
    STOPPING = "stopping"
    NOT_RUN = "not_run"
    TIMEOUT_NOT_RUN = "timeout_not_run"
    TIMEOUT_MAY_HAVE_RUN = "timeout_may_have_run"
    MAY_HAVE_RUN = "may_have_run"
    QUARANTINED = "quarantined"
    PART_QUARANTINED = "part_quarantined"
    ORIGIN_UNKNOWN = "origin_unknown"
    OUT_OF_STEP = "out_of_step"
    VERSION_GONE = "version_gone"
