"""Decoding of the records that the operator and the engines write."""

from hypothesis import given
from hypothesis.strategies import (
    binary,
    booleans,
    dictionaries,
    floats,
    integers,
    lists,
    none,
    recursive,
    sampled_from,
)
from msgspec.json import encode
from pytest import mark

from clementinebend_platform.records import PlatformRecords
from clementinebend_records.token_counts import MAX_BUDGET, MAX_TOKENS
from clementinebend_relay.interfaces import InvalidRecord
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
SERVER: dict[str, object] = {
    "service": "pool",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "draining",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_764_728_376_000,
}

JSON_VALUES = recursive(
    none()
    | booleans()
    | integers(-(2**70), 2**70)
    | floats(allow_nan=False, allow_infinity=False)
    | sampled_from(["", "ready", "10.0.0.9:1", "é:1", "256.0.0.1:1"]),
    lambda inner: lists(inner, max_size=3),
    max_leaves=4,
)


def without(fields: dict[str, object], name: str) -> dict[str, object]:
    """Return a copy of ``fields`` without the field ``name``."""
    return {key: value for key, value in fields.items() if key != name}


def configuration(**changes: object) -> Configuration:
    decoded = RECORDS.configuration(encode({**DOCUMENT, **changes}))
    assert isinstance(decoded, Configuration)
    return decoded


def test_a_configuration_is_decoded() -> None:
    decoded = configuration()
    route = decoded.routes["desk.example"]["/a/"]
    assert route.kind is RouteKind.STREAM
    assert route.may_repeat
    assert route.timeout == 4.0
    assert [share.service for share in route.services] == ["pool", "spare"]
    assert decoded.keys == {"k1": "desk", "k2": "desk"}
    assert decoded.teams["desk"].prepaid == 100
    assert decoded.services["pool"].event_tokens == 3
    assert decoded.limits.idle_timeout == 15.0


def test_without_teams_no_route_needs_a_key() -> None:
    assert configuration().routes["desk.example"]["/a/"].needs_key
    decoded = configuration(tenants=None)
    assert not decoded.routes["desk.example"]["/a/"].needs_key


def test_route_of_unknown_kind_is_never_retried() -> None:
    decoded = configuration(routes=[{**ROUTE, "kind": "novel"}])
    assert not decoded.routes["desk.example"]["/a/"].may_repeat


def test_an_endpoint_is_decoded() -> None:
    decoded = RECORDS.endpoint("i-1", encode(SERVER))
    assert isinstance(decoded, Endpoint)
    assert decoded.is_leaving
    assert decoded.address == ("10.0.0.9", 8080)
    assert decoded.boot == 1_764_728_376_000


def test_endpoint_may_omit_its_start_time() -> None:
    decoded = RECORDS.endpoint("i-1", encode(without(SERVER, "born")))
    assert isinstance(decoded, Endpoint)
    assert decoded.boot is None


@mark.parametrize("name", [name for name in SERVER if name != "born"])
def test_record_without_a_field_is_unusable(name: str) -> None:
    assert isinstance(
        RECORDS.endpoint("i-1", encode(without(SERVER, name))), InvalidRecord
    )


@mark.parametrize("name", list(SERVER))
@mark.parametrize("value", [None, True, [], {}, -1.5, "neither"])
def test_field_of_wrong_type_is_unusable(name: str, value: object) -> None:
    if isinstance(value, str) and name in ("service", "zone", "version"):
        return
    invalid = encode({**SERVER, name: value})
    assert isinstance(RECORDS.endpoint("i-1", invalid), InvalidRecord)


@mark.parametrize("slots", [2**31 + 1, 2**64, 10**30])
def test_an_announcement_of_too_many_slots_is_unusable(slots: int) -> None:
    """Guards against a number that no message about the endpoint can hold."""
    record = encode(SERVER).replace(b'"slots":64', b'"slots":%d' % slots)
    assert isinstance(RECORDS.endpoint("i-1", record), InvalidRecord)


def test_a_budget_of_any_size_is_smaller_than_a_call_without_limit() -> None:
    document = {**DOCUMENT, "tenants": [{"name": "desk", "prepaid": 2**63}]}
    configuration = RECORDS.configuration(encode(document))
    assert isinstance(configuration, Configuration)
    assert configuration.teams["desk"].prepaid == MAX_BUDGET < MAX_TOKENS


@given(binary(max_size=200))
def test_any_bytes_give_an_endpoint_or_a_reason(value: bytes) -> None:
    assert isinstance(RECORDS.endpoint("i-1", value), Endpoint | InvalidRecord)


@given(dictionaries(sampled_from(list(SERVER)), JSON_VALUES))
def test_any_fields_give_an_endpoint_or_a_reason(fields: dict[str, object]) -> None:
    decoded = RECORDS.endpoint("i-1", encode({**SERVER, **fields}))
    if isinstance(decoded, Endpoint):
        assert decoded.boot is None or type(decoded.boot) is int
        assert type(decoded.slots) is int
        assert all(part.isdecimal() for part in decoded.address.host.split("."))


def test_undecodable_records_are_unusable() -> None:
    assert isinstance(RECORDS.configuration(b"{"), InvalidRecord)
    assert isinstance(RECORDS.endpoint("i-1", encode({"service": 1})), InvalidRecord)
    invalid = encode({**SERVER, "address": "nowhere"})
    assert isinstance(RECORDS.endpoint("i-1", invalid), InvalidRecord)


def test_the_cold_time_and_rate_are_read() -> None:
    service = {"name": "pool", "cold_s": 3.0, "cold_per_s": 13.0}
    configuration = RECORDS.configuration(encode({**DOCUMENT, "services": [service]}))
    assert isinstance(configuration, Configuration)
    pool = configuration.services["pool"]
    assert (pool.cold_seconds, pool.cold_rate) == (3.0, 13.0)
    endpoint = RECORDS.endpoint("i", encode({**SERVER, "cold_remaining_ms": 1500}))
    assert isinstance(endpoint, Endpoint)
    assert endpoint.cold_seconds == 1.5


@mark.parametrize("cold", [-1, "soon", None])
def test_an_announcement_with_an_invalid_cold_time_is_unusable(cold: object) -> None:
    record = encode({**SERVER, "cold_remaining_ms": cold})
    assert isinstance(RECORDS.endpoint("i", record), InvalidRecord)


def test_the_zone_of_an_evacuation_is_read() -> None:
    assert RECORDS.evacuated_zone("evacuate/zone-a") == "zone-a"
    assert RECORDS.evacuated_zone("config") is None
