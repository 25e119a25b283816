"""The declarations in force, as every process sees them.

Converted and checked by msgspec from the newest schema's document; older
schemas are upgraded before that. Amounts are in tokens.
"""

from enum import StrEnum
from typing import NamedTuple


class ServiceKind(StrEnum):
    """What stands behind a service's endpoints."""

    MODEL = "model"
    PLAIN = "plain"


class EndpointState(StrEnum):
    """Whether operators want an endpoint to get new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class ReceiptSafety(StrEnum):
    """Where a receipt must be before the caller gets the last frame.

    ``TWO_ZONES`` refuses to go on without a second availability zone;
    ``TWO_HOSTS`` accepts two hosts of one zone when it is cut off alone.
    """

    TWO_ZONES = "two_zones"
    TWO_HOSTS = "two_hosts"


class Team(NamedTuple):
    """A customer; callers show one of its keys, kept as SHA-256 digests."""

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
    """What callers ask for: a pool of model engines, or a plain service.

    ``path`` is the prefix of a plain service; ``cost`` its tokens per call.
    ``idempotent_methods`` may be repeated; other calls run at most once.
    """

    kind: ServiceKind
    models: tuple[str, ...] = ()
    path: str = ""
    cost: int = 0
    idempotent_methods: tuple[str, ...] = ("GET",)
    max_output_tokens: int = 1024
    hedge_after_ms: int = 0


class Endpoint(NamedTuple):
    """A back end and the sidecar in front of it; ``host`` is an IP number."""

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
    """Limits that hold for the whole fleet."""

    max_body_bytes: int = 1_048_576
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 600_000
    retry_budget_ratio: float = 0.1


class Declarations(NamedTuple):
    """All that operators declare; keys of the maps are names."""

    teams: dict[str, Team] = {}
    budgets: dict[str, Budget] = {}
    services: dict[str, Service] = {}
    endpoints: dict[str, Endpoint] = {}
    routing_rules: tuple[RoutingRule, ...] = ()
    limits: Limits = Limits()


class Configuration(NamedTuple):
    """What replay of the configuration stream has in force."""

    revision: int = 0
    activated_schema: int = 1
    schema_version: int = 1
    digest: str = ""
    declarations: Declarations = Declarations()
