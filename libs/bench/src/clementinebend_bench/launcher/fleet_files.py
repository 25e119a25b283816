"""What a fleet on loopback consists of: plan, places, settings, declarations."""

from collections.abc import Mapping
from hashlib import sha256
from itertools import cycle
from pathlib import Path
from typing import Any, NamedTuple

from yaml import safe_dump

from clementinebend_bench.launcher.processes import LOCALHOST, free_port

TEAM = "team-1"
TEAM_KEY = "key-of-team-1"
BUDGET = "budget-1"
MODEL = "model-1"
MODEL_SERVICE = "models"
PLAIN_SERVICE = "booking"
PLAIN_PATH = "/booking"
PLAIN_COST = 50

NO_SETTINGS: Mapping[str, Any] = {}


class Plan(NamedTuple):
    """How many of each; places go round the zones in turn.

    The mappings are added to the settings of each process of that kind.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    entries: int = 2
    engines: int = 2
    services: int = 1
    budget_tokens: int = 1_000_000
    engine_args: tuple[str, ...] = ("--step-ms", "1")
    entry_settings: Mapping[str, Any] = NO_SETTINGS
    sidecar_settings: Mapping[str, Any] = NO_SETTINGS


class EntryPlace(NamedTuple):
    """Where an entry listens for callers and for its peers."""

    name: str
    zone: str
    port: int
    peer_port: int


class EndpointPlace(NamedTuple):
    """Where an endpoint's sidecar listens for entries and for operators."""

    name: str
    zone: str
    service: str
    port: int
    http_port: int


def entry_places(plan: Plan) -> tuple[EntryPlace, ...]:
    """Return a place with free ports for each entry."""
    numbered = zip(range(1, plan.entries + 1), cycle(plan.zones), strict=False)
    return tuple(
        EntryPlace(f"entry-{number}", zone, free_port(), free_port())
        for number, zone in numbered
    )


def endpoint_places(plan: Plan) -> tuple[EndpointPlace, ...]:
    """Return a place with free ports for each engine and plain service."""
    return (
        *_endpoint_places("engine", plan.engines, plan.zones, MODEL_SERVICE),
        *_endpoint_places("service", plan.services, plan.zones, PLAIN_SERVICE),
    )


def entry_settings(
    place: EntryPlace, peers: tuple[EntryPlace, ...], urls: Mapping[str, str]
) -> dict[str, Any]:
    """Return the settings of an entry; ``urls`` are of ``log`` and ``hosts``."""
    others = [
        {
            "name": peer.name,
            "zone": peer.zone,
            "host": LOCALHOST,
            "port": peer.peer_port,
        }
        for peer in peers
        if peer.name != place.name
    ]
    return {
        "name": place.name,
        "zone": place.zone,
        "log_url": urls["log"],
        "hosts_url": urls["hosts"],
        "host": LOCALHOST,
        "port": place.port,
        "peer_host": LOCALHOST,
        "peer_port": place.peer_port,
        "peers": others,
    }


def sidecar_settings(
    place: EndpointPlace, endpoint_url: str, urls: Mapping[str, str]
) -> dict[str, Any]:
    """Return the settings of the sidecar in front of an endpoint."""
    return {
        "name": place.name,
        "zone": place.zone,
        "endpoint_url": endpoint_url,
        "log_url": urls["log"],
        "kind": "model" if place.service == MODEL_SERVICE else "plain",
        "host": LOCALHOST,
        "port": place.port,
        "http_host": LOCALHOST,
        "http_port": place.http_port,
    }


def declarations(plan: Plan, endpoints: tuple[EndpointPlace, ...]) -> dict[str, Any]:
    """Return a document of the first schema that declares the whole cluster."""
    services = {
        MODEL_SERVICE: {"kind": "model", "models": [MODEL]},
        PLAIN_SERVICE: {"kind": "plain", "path": PLAIN_PATH, "cost": PLAIN_COST},
    }
    top_up = {"id": "first", "tokens": plan.budget_tokens}
    return {
        "teams": {TEAM: {"key_digests": [sha256(TEAM_KEY.encode()).hexdigest()]}},
        "budgets": {
            BUDGET: {"team": TEAM, "services": list(services), "top_ups": [top_up]}
        },
        "services": services,
        "endpoints": {place.name: _declared(place) for place in endpoints},
        "routing_rules": [{"model": MODEL, "service": MODEL_SERVICE}],
    }


def host_list(
    entries: tuple[EntryPlace, ...], endpoints: tuple[EndpointPlace, ...]
) -> dict[str, Any]:
    """Return the platform's list of hosts with all places live."""
    listed = [(place.name, place.zone, place.peer_port) for place in entries]
    listed += [(place.name, place.zone, place.port) for place in endpoints]
    return {"hosts": [_listed(name, zone, port) for name, zone, port in listed]}


def write_yaml(path: Path, content: Mapping[str, Any]) -> Path:
    """Write a YAML file and return its path.

    A program that reads it meanwhile finds the old or the new content, never a part.
    """
    written = path.with_name(f"{path.name}.new")
    written.write_text(safe_dump(dict(content), sort_keys=False))
    return written.replace(path)


def _endpoint_places(
    kind: str, count: int, zones: tuple[str, ...], service: str
) -> list[EndpointPlace]:
    numbered = zip(range(1, count + 1), cycle(zones), strict=False)
    return [
        EndpointPlace(f"{kind}-{number}", zone, service, free_port(), free_port())
        for number, zone in numbered
    ]


def _listed(name: str, zone: str, port: int) -> dict[str, str]:
    address = f"{LOCALHOST}:{port}"
    return {"name": name, "address": address, "zone": zone, "state": "live"}


def _declared(place: EndpointPlace) -> dict[str, Any]:
    declared: dict[str, Any] = {
        "service": place.service,
        "zone": place.zone,
        "host": LOCALHOST,
        "port": place.port,
    }
    is_model = place.service == MODEL_SERVICE
    return {**declared, "models": [MODEL]} if is_model else declared
