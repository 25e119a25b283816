"""Schema version 1 of the document, and its upgrade to version 2.

An endpoint has ``leaving: true`` in version 1 and ``state: leaving`` in
version 2. Version 1 has neither ``receipt_safety`` nor ``hedge_after_ms``.
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
    """A team in schema version 1."""

    key_digests: tuple[str, ...]
    weight: float = 1.0


class ServiceV1(NamedTuple):
    """A service in schema version 1."""

    kind: ServiceKind
    models: tuple[str, ...] = ()
    path: str = ""
    cost: int = 0
    idempotent_methods: tuple[str, ...] = ("GET",)
    max_output_tokens: int = 1024


class EndpointV1(NamedTuple):
    """An endpoint in schema version 1."""

    service: str
    zone: str
    host: str
    port: int
    leaving: bool = False
    models: tuple[str, ...] = ()


class DeclarationsV1(NamedTuple):
    """The whole document in schema version 1."""

    teams: dict[str, TeamV1] = {}
    budgets: dict[str, Budget] = {}
    services: dict[str, ServiceV1] = {}
    endpoints: dict[str, EndpointV1] = {}
    routing_rules: tuple[RoutingRule, ...] = ()
    limits: Limits = Limits()


def upgrade_v1(document: dict[str, Any]) -> dict[str, Any]:
    """Return a valid document of schema version 1, upgraded to version 2."""
    endpoints = document.get("endpoints", {})
    upgraded_endpoints = {
        name: _upgrade_endpoint(fields) for name, fields in endpoints.items()
    }
    return document | {"endpoints": upgraded_endpoints}


def _upgrade_endpoint(fields: dict[str, Any]) -> dict[str, Any]:
    other_fields = {key: value for key, value in fields.items() if key != "leaving"}
    if "leaving" not in fields:
        return other_fields
    state = EndpointState.LEAVING if fields["leaving"] else EndpointState.SERVING
    return other_fields | {"state": state.value}
