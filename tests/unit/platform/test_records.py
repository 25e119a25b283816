"""Decoding of what the operator and the engines write."""

from msgspec.json import encode

from clementinebend_platform.records import PlatformRecords
from clementinebend_relay.interfaces import Unusable
from clementinebend_relay.models import Configuration, Endpoint, RouteKind

RECORDS = PlatformRecords()
ROUTE = {
    "name": "r",
    "host": "Desk.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 600,
    "priority": 1,
    "weighted_services": [
        {"service": "pool", "weight": 90},
        {"service": "spare", "weight": 10},
    ],
    "max_attempts": 2,
    "public": False,
    "resumable": True,
    "unknown_field": 1,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "pool", "max_connections": 370, "engine": {"stride": 3}}],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [
        {"name": "desk", "api_keys": ["k1", "k2"], "priority": 0, "prepaid": 100}
    ],
}
SERVER = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "draining",
}


def configuration(**changes: object) -> Configuration:
    made = RECORDS.configuration(encode({**DOCUMENT, **changes}))
    assert isinstance(made, Configuration)
    return made


def test_a_configuration_is_decoded() -> None:
    made = configuration()
    route = made.routes["desk.example"]["/a/"]
    assert route.kind is RouteKind.STREAM
    assert route.may_repeat
    assert route.timeout == 4.0
    assert [share.service for share in route.services] == ["pool", "spare"]
    assert made.keys == {"k1": "desk", "k2": "desk"}
    assert made.teams["desk"].prepaid == 100
    assert made.services["pool"].event_tokens == 3
    assert made.limits.idle_timeout == 15.0


def test_without_teams_no_route_needs_a_key() -> None:
    assert configuration().routes["desk.example"]["/a/"].needs_key
    made = configuration(tenants=None)
    assert not made.routes["desk.example"]["/a/"].needs_key


def test_an_unknown_kind_is_never_repeated() -> None:
    made = configuration(routes=[{**ROUTE, "kind": "novel"}])
    assert not made.routes["desk.example"]["/a/"].may_repeat


def test_an_endpoint_is_decoded() -> None:
    made = RECORDS.endpoint("i-1", encode(SERVER))
    assert isinstance(made, Endpoint)
    assert made.is_leaving
    assert made.address == ("10.0.0.9", 8080)


def test_what_cannot_be_decoded_is_told() -> None:
    assert isinstance(RECORDS.configuration(b"{"), Unusable)
    assert isinstance(RECORDS.endpoint("i-1", encode({"service": 1})), Unusable)
    wrong = encode({**SERVER, "address": "nowhere"})
    assert isinstance(RECORDS.endpoint("i-1", wrong), Unusable)
