"""Typed declarations, as all processes use them.

``convert_mapping`` builds them from a document of the newest schema; documents
of older schemas are upgraded first. Amounts are in tokens.
"""

from enum import StrEnum
from typing import NamedTuple


class ServiceKind(StrEnum):
    """Kind of the back ends of a service."""

    MODEL = "model"
    PLAIN = "plain"


class EndpointState(StrEnum):
    """Whether an endpoint gets new requests, as declared by operators."""

    SERVING = "serving"
    LEAVING = "leaving"


class ReceiptSafety(StrEnum):
    """Where a receipt must be stored before the caller gets the last frame.

    ``TWO_ZONES`` requires a second availability zone; ``TWO_HOSTS`` accepts two
    hosts of one zone while that zone is cut off from the others.
    """

    TWO_ZONES = "two_zones"
    TWO_HOSTS = "two_hosts"


class Team(NamedTuple):
    """A customer; callers authenticate with one of its keys.

    Only the SHA-256 digests of the keys are stored.
    """

    key_digests: tuple[str, ...]
    weight: float = 1.0
    receipt_safety: ReceiptSafety = ReceiptSafety.TWO_HOSTS


class TopUpDeclaration(NamedTuple):
    """Prepaid tokens; an id is never reused for another amount."""

    id: str
    tokens: int


class Budget(NamedTuple):
    """A team's prepaid tokens for some services."""

    team: str
    services: tuple[str, ...]
    top_ups: tuple[TopUpDeclaration, ...] = ()


class Service(NamedTuple):
    """A pool of model engines, or a plain HTTP service.

    ``path`` is the path prefix of a plain service, ``cost`` its price per call in
    tokens. Calls with ``idempotent_methods`` may be retried; others run at most
    once.
    """

    kind: ServiceKind
    models: tuple[str, ...] = ()
    path: str = ""
    cost: int = 0
    idempotent_methods: tuple[str, ...] = ("GET",)
    max_output_tokens: int = 1024
    hedge_after_ms: int = 0


class Endpoint(NamedTuple):
    """A back end and the sidecar in front of it; ``host`` is an IP address."""

    service: str
    zone: str
    host: str
    port: int
    state: EndpointState = EndpointState.SERVING
    models: tuple[str, ...] = ()


class RoutingRule(NamedTuple):
    """Sends requests of ``team`` (``*``: any) for ``model`` to a service."""

    model: str
    service: str
    team: str = "*"


class Limits(NamedTuple):
    """Limits that apply to the whole fleet."""

    max_body_bytes: int = 1_048_576
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    retry_budget_ratio: float = 0.1


class Declarations(NamedTuple):
    """All declarations of the operators; the dictionaries are keyed by name."""

    teams: dict[str, Team] = {}
    budgets: dict[str, Budget] = {}
    services: dict[str, Service] = {}
    endpoints: dict[str, Endpoint] = {}
    routing_rules: tuple[RoutingRule, ...] = ()
    limits: Limits = Limits()


class Configuration(NamedTuple):
    """The configuration in force after replay of the configuration stream."""

    revision: int = 0
    activated_schema: int = 1
    schema_version: int = 1
    digest: str = ""
    declarations: Declarations = Declarations()
