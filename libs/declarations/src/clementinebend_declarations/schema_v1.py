"""The first schema of the document, and its upgrade to the second.

In it an endpoint says ``leaving: true`` where the second says
``state: leaving``; it knows no ``receipt_safety`` and no ``hedge_after_ms``.
"""

from typing import Any, NamedTuple

from clementinebend_declarations.models import (
    Budget,
    EndpointState,
    Limits,
    RoutingRule,
    ServiceKind,
)


class TeamV1(NamedTuple):
    """A team as the first schema writes it."""

    key_digests: tuple[str, ...]
    weight: float = 1.0


class ServiceV1(NamedTuple):
    """A service as the first schema writes it."""

    kind: ServiceKind
    models: tuple[str, ...] = ()
    path: str = ""
    cost: int = 0
    idempotent_methods: tuple[str, ...] = ("GET",)
    max_output_tokens: int = 1024


class EndpointV1(NamedTuple):
    """An endpoint as the first schema writes it."""

    service: str
    zone: str
    host: str
    port: int
    leaving: bool = False
    models: tuple[str, ...] = ()


class DeclarationsV1(NamedTuple):
    """The whole document in the first schema."""

    teams: dict[str, TeamV1] = {}
    budgets: dict[str, Budget] = {}
    services: dict[str, ServiceV1] = {}
    endpoints: dict[str, EndpointV1] = {}
    routing_rules: tuple[RoutingRule, ...] = ()
    limits: Limits = Limits()


def upgrade_v1(document: dict[str, Any]) -> dict[str, Any]:
    """Return a well-formed document of the first schema in the second."""
    endpoints = document.get("endpoints", {})
    upgraded = {name: _endpoint_v2(fields) for name, fields in endpoints.items()}
    return document | {"endpoints": upgraded}


def _endpoint_v2(fields: dict[str, Any]) -> dict[str, Any]:
    kept = {key: value for key, value in fields.items() if key != "leaving"}
    if "leaving" not in fields:
        return kept
    state = EndpointState.LEAVING if fields["leaving"] else EndpointState.SERVING
    return kept | {"state": state.value}
