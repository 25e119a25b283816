"""Validation of services and of their endpoints."""

from collections.abc import Iterator
from ipaddress import ip_address

from clementinebend_declarations.bounds import (
    KeyPath,
    check_name,
    check_range,
    check_unique,
    declaration_error,
)
from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import (
    Declarations,
    Endpoint,
    Service,
    ServiceKind,
)

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
RESERVED_PATHS = ("/v1", "/readyz", "/healthz", "/metrics")
"""Path prefixes that entries serve themselves; no service may use them."""

MAX_COST = 1_000_000_000
MAX_OUTPUT_TOKENS = 1_000_000
MAX_HEDGE_MS = 600_000
MAX_PORT = 65_535
MODEL_NAME_ALLOWED = "a name without spaces, at least one character"

Errors = Iterator[DeclarationError]


def check_services(declarations: Declarations) -> Errors:
    """Yield the errors in all service declarations."""
    for name, service in declarations.services.items():
        path = ("services", name)
        yield from check_name(path)
        yield from _check_kind(path, service)
        yield from _check_bounds(path, service)
    plain_paths = (
        (("services", name, "path"), service.path.rstrip("/"))
        for name, service in declarations.services.items()
        if service.kind is ServiceKind.PLAIN
    )
    yield from check_unique(plain_paths, "one service for each path")


def check_endpoints(declarations: Declarations) -> Errors:
    """Yield the errors in all endpoint declarations."""
    for name, endpoint in declarations.endpoints.items():
        path = ("endpoints", name)
        yield from check_name(path)
        yield from check_name((*path, "zone"), endpoint.zone)
        yield from check_range((*path, "port"), endpoint.port, 1, MAX_PORT)
        yield from _check_host((*path, "host"), endpoint.host)
        service = declarations.services.get(endpoint.service)
        yield from _check_endpoint_service(path, endpoint, service)
    addresses = (
        (("endpoints", name), (_normalized_host(endpoint.host), endpoint.port))
        for name, endpoint in declarations.endpoints.items()
    )
    yield from check_unique(addresses, "a host and port of its own")


def _check_kind(path: KeyPath, service: Service) -> Errors:
    if service.kind is ServiceKind.MODEL:
        yield from _check_model_service(path, service)
    else:
        yield from _check_plain_service(path, service)


def _check_model_service(path: KeyPath, service: Service) -> Errors:
    if not service.models:
        yield declaration_error(
            (*path, "models"), "is empty", "the names of its models"
        )
    if service.path:
        problem = f"is {service.path!r}"
        yield declaration_error((*path, "path"), problem, "no path for a model service")
    if service.cost:
        problem = f"is {service.cost}"
        yield declaration_error(
            (*path, "cost"), problem, "no fixed cost for a model service"
        )
    for index, model in enumerate(service.models):
        if not model or not model.isprintable() or " " in model:
            item_path = (*path, "models", str(index))
            yield declaration_error(item_path, f"is {model!r}", MODEL_NAME_ALLOWED)


def _check_plain_service(path: KeyPath, service: Service) -> Errors:
    if service.models:
        problem = "names models"
        yield declaration_error(
            (*path, "models"), problem, "no models for a plain service"
        )
    if not _is_service_path(service.path):
        reserved = ", ".join(RESERVED_PATHS)
        allowed = f"a path such as '/booking', not below {reserved}"
        yield declaration_error((*path, "path"), f"is {service.path!r}", allowed)


def _is_service_path(path: str) -> bool:
    first = path[1:].partition("/")[0]
    is_clean = path.isascii() and path.isprintable() and " " not in path
    is_path = path.startswith("/") and bool(first) and is_clean
    return is_path and f"/{first}" not in RESERVED_PATHS and "?" not in path


def _check_bounds(path: KeyPath, service: Service) -> Errors:
    bounds = {
        "cost": (0, MAX_COST),
        "max_output_tokens": (1, MAX_OUTPUT_TOKENS),
        "hedge_after_ms": (0, MAX_HEDGE_MS),
    }
    for field, (lowest, highest) in bounds.items():
        value = getattr(service, field)
        yield from check_range((*path, field), value, lowest, highest)
    for index, method in enumerate(service.idempotent_methods):
        if method not in METHODS:
            item_path = (*path, "idempotent_methods", str(index))
            yield declaration_error(
                item_path, f"is {method!r}", f"one of {', '.join(METHODS)}"
            )


def _check_host(path: KeyPath, host: str) -> Errors:
    try:
        address = ip_address(host)
    except ValueError:
        yield declaration_error(path, f"is {host!r}", "an IP number, not a name")
        return
    if address.is_unspecified or address.is_multicast:
        yield declaration_error(path, f"is {host!r}", "the IP number of one host")


def _check_endpoint_service(
    path: KeyPath, endpoint: Endpoint, service: Service | None
) -> Errors:
    if service is None:
        problem = f"is {endpoint.service!r}"
        yield declaration_error(
            (*path, "service"), problem, "the name of a declared service"
        )
        return
    for index, model in enumerate(endpoint.models):
        if model not in service.models:
            item_path = (*path, "models", str(index))
            allowed = f"a model of the service {endpoint.service!r}"
            yield declaration_error(item_path, f"is {model!r}", allowed)


def _normalized_host(host: str) -> str:
    try:
        return str(ip_address(host))
    except ValueError:
        return host
