"""Table of endpoints, as announcements are added, changed and removed."""

from collections.abc import Callable

from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_state import (
    LEAVING_SECONDS,
    MAX_PAUSE,
    UnreadCall,
)
from clementinebend_relay.endpoints import ALL_LEAVING_RETRY_DELAY, EndpointTable
from clementinebend_relay.interfaces import ConfigurationSteps, InvalidRecord
from clementinebend_relay.models import Configuration, Endpoint
from clementinebend_routing.silence import ANNOUNCEMENT_LAG_SECONDS, SILENT_SECONDS
from clementinebend_transport.client_connection import Address

FAILURES = 4
"""Failures in a row that eject an endpoint."""


class Announced:
    """Decodes announcements of the form ``PORT[ SERVICE[ BOOT]]``."""

    def configuration(self, value: bytes) -> Configuration:
        raise NotImplementedError

    def configuration_steps(self, value: bytes) -> ConfigurationSteps:
        yield from ()
        return self.configuration(value)

    def evacuated_zone(self, key: str) -> str | None:
        raise NotImplementedError

    def endpoint(self, name: str, value: bytes) -> Endpoint | InvalidRecord:
        port, *more = value.decode().split()
        if not port.isdecimal():
            return InvalidRecord("no port")
        service = more[0] if more else "pool"
        boot = int(more[1]) if len(more) > 1 else None
        address = Address("10.0.0.1", int(port))
        return Endpoint(name, service, address, "a", 4, False, boot)


def table_at(clock: Callable[[], float]) -> EndpointTable:
    cold = ColdEndpoints("entry-0", Directory(), clock)
    return EndpointTable(Announced(), cold, clock)


def table_of(*records: tuple[str, bytes]) -> EndpointTable:
    table = table_at(lambda: 100.0)
    table.configure(["pool", "desk"])
    for record in records:
        put(table, *record)
    return table


def put(table: EndpointTable, name: str, value: bytes) -> None:
    offset = max(table.offsets.values(), default=-1) + 1
    table.on_record(KeyedRecord(offset, name, value))


def names(table: EndpointTable) -> set[str]:
    return {state.endpoint.name for state in table.candidates("pool")}


def test_a_later_boot_takes_the_place_of_those_at_its_address() -> None:
    assert names(table_of(("old", b"1"), ("other", b"2"), ("new", b"1"))) == {
        "other",
        "new",
    }


def test_a_boot_that_is_announced_again_takes_its_place_back() -> None:
    table = table_of(("new", b"1"), ("late", b"1"), ("new", b"1"))
    assert names(table) == {"new"}


def test_an_address_may_pass_to_another_service() -> None:
    table = table_of(("old", b"1"), ("new", b"1 desk"))
    assert names(table) == set()


def test_nothing_is_kept_of_an_earlier_boot_with_the_same_name() -> None:
    table = table_of(("a", b"1 pool 7"), ("b", b"2"))
    dropped: list[Endpoint] = []
    table.on_drop = dropped.append
    earlier = table.states["a"]
    earlier.add_unread("r", UnreadCall(1, 9_000, 0.0, 100.0, None))
    earlier.in_flight = 3
    put(table, "a", b"1 pool 8")
    later = table.states["a"]
    assert later is not earlier
    assert (later.in_flight, later.tokens_ahead(9), later.unread) == (0, 0, {})
    assert [endpoint.boot for endpoint in dropped] == [7]


def test_an_earlier_boot_failing_says_nothing_of_the_later_one() -> None:
    table = table_of(("a", b"1 pool 7"), ("b", b"2"))
    earlier = table.states["a"]
    put(table, "a", b"1 pool 8")
    for _ in range(FAILURES):
        table.on_end(earlier, ok=False)
    table.drop(earlier, "another endpoint has the address")
    assert names(table) == {"a", "b"}


def test_a_heartbeat_of_the_same_boot_keeps_what_is_known() -> None:
    table = table_of(("a", b"1 pool 7"))
    known = table.states["a"]
    put(table, "a", b"1 pool 7")
    assert table.states["a"] is known


def test_an_announcement_that_cannot_be_used_takes_only_its_own_endpoint_out() -> None:
    table = table_of(("a", b"1"), ("b", b"2"))
    put(table, "c", b"?")
    assert names(table) == {"a", "b"}
    put(table, "a", b"?")
    assert names(table) == {"b"}
    put(table, "a", b"1")
    assert names(table) == {"a", "b"}


def test_hosts_are_used_while_an_endpoint_is_announced_there() -> None:
    """Guards against gateways counted as gone, or as running beside no endpoint."""
    table = table_of(("a", b"1"), ("b", b"2"), ("a", b"3"))
    assert table.is_host_used("10.0.0.1")
    for name in ("a", "b"):
        assert table.is_host_used("10.0.0.1")
        table.drop(table.states[name], "test")
    assert not table.is_host_used("10.0.0.1")


def test_an_unknown_service_takes_no_address_over() -> None:
    table = table_of(("a", b"1"), ("foreign", b"1 unheard-of"))
    assert names(table) == {"a"}
    put(table, "a", b"1 unheard-of")
    assert names(table) == set()


def test_a_silent_endpoint_stays_doubted_after_its_calls_are_given_up() -> None:
    now = [100.0]
    table = table_at(lambda: now[0])
    put(table, "a", b"1")
    state = table.states["a"]
    state.add_unread("r", UnreadCall(1, 900, 0.0, now[0], None))
    state.in_flight = 1
    now[0] += 1.01 * SILENT_SECONDS
    assert state.is_doubted(now[0])
    state.pop_unread("r")
    state.in_flight = 0
    now[0] += 0.5
    assert state.is_doubted(now[0])
    put(table, "a", b"1")
    assert state.is_doubted(now[0] + 0.1)
    now[0] += 2 * ANNOUNCEMENT_LAG_SECONDS
    put(table, "a", b"1")
    assert not state.is_doubted(now[0])


def test_an_endpoint_that_takes_no_connection_is_doubted_until_it_is_heard() -> None:
    state = table_of(("a", b"1")).states["a"]
    state.on_unreachable(100.0)
    assert state.is_doubted(100.1)
    state.on_heard(100.2)
    assert not state.is_doubted(100.2)


def test_a_plain_service_at_work_for_long_is_avoided_and_not_doubted() -> None:
    state = table_of(("a", b"1")).states["a"]
    state.add_unread("r", UnreadCall(1, 0, 0.0, 100.0, None))
    state.in_flight = 1
    assert state.is_doubted(100.1 + SILENT_SECONDS)
    state.pop_unread("r")
    state.in_flight = 0
    assert not state.is_doubted(100.1 + SILENT_SECONDS)


def test_leaving_by_an_answer_outlasts_announcements_until_the_next_boot() -> None:
    table = table_of(("a", b"1 pool 7"), ("b", b"2"))
    assert table.on_leaving(table.states["a"])
    put(table, "a", b"1 pool 7")
    assert names(table) == {"b"}
    put(table, "a", b"1 pool 8")
    assert names(table) == {"a", "b"}


def test_an_endpoint_that_does_not_leave_after_all_gets_calls_again() -> None:
    table = table_of(("a", b"1"))
    table.on_leaving(table.states["a"])
    assert table.retry_delay("pool") == ALL_LEAVING_RETRY_DELAY
    table.clock = lambda: 100.0 + LEAVING_SECONDS
    assert names(table) == {"a"}


def test_a_report_of_leaving_applies_to_one_boot() -> None:
    table = table_of(("a", b"1 pool 7"), ("b", b"2"))
    table.on_reported_leaving("a/6")
    table.on_reported_leaving("c/")
    assert names(table) == {"a", "b"}
    table.on_reported_leaving("a/7")
    assert names(table) == {"b"}


def test_a_pause_is_bounded_and_the_shortest_one_counts_for_callers() -> None:
    table = table_of(("a", b"1"), ("b", b"2"))
    table.states["a"].on_pause(1e9, table.clock())
    assert table.retry_delay("pool") is None
    table.states["b"].on_pause(2.0, table.clock())
    assert table.retry_delay("pool") == 2.0
    assert names(table) == set()
    table.clock = lambda: 102.0
    assert names(table) == {"b"}
    table.clock = lambda: 100.0 + MAX_PAUSE
    assert names(table) == {"a", "b"}
