"""Announcements of endpoints that the store executes late, after newer ones."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis.strategies import integers, lists, permutations
from msgspec.json import encode

from clementinebend_platform.records import PlatformRecords
from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay import announcement_order
from clementinebend_relay.announcement_order import (
    LATE_SECONDS,
    LOG_INTERVAL_SECONDS,
)
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.last_resort import RETURN_SECONDS
from clementinebend_transport.metrics import registry

REMOVAL = b""


class Announced(NamedTuple):
    """What an engine writes about itself."""

    sequence: int
    state: str = "ready"
    born: int | None = None
    version: str = "v1"
    port: int = 80

    def encoded(self) -> bytes:
        born = {} if self.born is None else {"born": self.born}
        return encode(
            {
                **born,
                "service": "pool",
                "address": f"10.0.0.1:{self.port}",
                "zone": "a",
                "version": self.version,
                "slots": 4,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
            }
        )


class World:
    """A table of endpoints, fed in the order in which the store executes writes."""

    def __init__(self) -> None:
        self.now = 100.0
        self.end = 0
        cold = ColdEndpoints("entry-0", Directory(), lambda: self.now)
        self.table = EndpointTable(PlatformRecords(), cold, lambda: self.now)
        self.table.configure(["pool"])

    def put(self, *written: Announced | bytes, name: str = "i-1") -> None:
        """Execute writes of one engine."""
        for each in written:
            value = each if isinstance(each, bytes) else each.encoded()
            self.table.on_record(KeyedRecord(self.end, name, value))
            self.end += 1

    def open(self) -> set[str]:
        """Return the names of the endpoints that get calls."""
        return {state.endpoint.name for state in self.table.candidates("pool")}

    def forget_lapsed(self) -> None:
        """Wait until endpoints without a record are no last resort any more."""
        self.now += RETURN_SECONDS + 0.1


@pytest.fixture
def world() -> World:
    return World()


def count_of_late() -> float:
    return (
        registry.get_sample_value("clementinebend_relay_late_announcements_total")
        or 0.0
    )


def test_a_late_heartbeat_brings_no_leaving_endpoint_back(world: World) -> None:
    """Guards against calls to an endpoint that has said that it leaves."""
    world.put(Announced(7), Announced(9), Announced(11, "draining"))
    counted = count_of_late()
    world.put(Announced(8), Announced(10))
    assert world.open() == set()
    assert count_of_late() == counted + 2


def test_a_late_heartbeat_brings_no_removed_endpoint_back(world: World) -> None:
    """Guards against calls to an endpoint that has left, and against its repeats."""
    world.put(Announced(7), Announced(9), REMOVAL)
    world.forget_lapsed()
    assert world.open() == set()
    world.put(Announced(8), Announced(9))
    assert world.open() == set()


def test_a_late_heartbeat_does_not_keep_a_removed_endpoint_open(world: World) -> None:
    """Guards against a removed endpoint that gets calls for longer than it serves."""
    world.put(Announced(9), REMOVAL, Announced(8))
    world.forget_lapsed()
    assert world.open() == set()


def test_a_late_heartbeat_in_a_snapshot_brings_no_endpoint_back(world: World) -> None:
    """Guards against calls to a leaving endpoint after the store dropped records."""
    world.put(Announced(9), Announced(11, "draining"))
    world.put(Announced(8))
    world.table.on_snapshot(frozenset({"i-1"}), world.end)
    assert world.open() == set()


def test_a_late_heartbeat_takes_no_address_back(world: World) -> None:
    """Guards against a running endpoint dropped for one that had its address before."""
    world.put(Announced(7), Announced(9), name="ended")
    world.put(Announced(1), name="running")
    world.put(Announced(8), name="ended")
    assert world.open() == {"running"}


def test_a_late_heartbeat_of_a_replaced_boot_changes_nothing(world: World) -> None:
    """Guards against calls to an ended boot once the next one has lapsed."""
    world.put(Announced(30, born=7, port=81), Announced(1, born=8, port=82))
    world.put(REMOVAL, Announced(31, born=7, port=81))
    world.forget_lapsed()
    assert world.open() == set()


@pytest.mark.parametrize("later", [Announced(1, born=8), Announced(1, version="v2")])
def test_a_later_boot_that_counts_anew_is_believed_at_once(
    world: World, later: Announced
) -> None:
    """Guards against restarted endpoints that get no calls."""
    world.put(Announced(30, "draining", born=7 if later.born else None), later)
    assert world.open() == {"i-1"}


def test_an_endpoint_that_announces_itself_again_returns(world: World) -> None:
    """Guards against endpoints that stay out after an outage of the store."""
    world.put(Announced(9), REMOVAL)
    world.forget_lapsed()
    world.put(Announced(12))
    assert world.open() == {"i-1"}


def test_repeats_of_the_newest_heartbeat_are_applied(world: World) -> None:
    """Guards against an endpoint that stops counting and expires though it lives."""
    world.put(Announced(9))
    world.now += 1.0
    world.put(Announced(9))
    assert world.table.states["i-1"].announced_at == world.now
    assert world.open() == {"i-1"}


def test_order_is_remembered_for_a_bounded_time_and_number(world: World) -> None:
    """Guards against memory that grows with each endpoint that ever was."""
    for number in range(1_000):
        world.put(Announced(5, port=number + 1), REMOVAL, name=f"i-{number}")
    assert len(world.table.order.newest) == 1_000
    world.now += LATE_SECONDS + 1
    world.put(Announced(1), name="i-1000")
    assert set(world.table.order.newest) == {"i-1000"}


def test_an_endpoint_that_changed_nothing_for_long_stays_removed(world: World) -> None:
    """Guards against an order that is forgotten though the endpoint is announced."""
    world.put(Announced(9))
    world.now += 10 * LATE_SECONDS
    world.put(Announced(1), name="i-2")
    world.put(REMOVAL, Announced(8), Announced(9))
    world.forget_lapsed()
    assert world.open() == {"i-2"}


def test_an_endpoint_that_counts_anew_is_believed_after_some_time(world: World) -> None:
    """Guards against an endpoint that stays out as its counter was reset."""
    world.put(Announced(9, "draining"))
    world.now += LATE_SECONDS + 1
    world.put(Announced(1))
    assert world.open() == {"i-1"}


def test_log_lines_on_late_heartbeats_are_bounded(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writer that fills the log."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        announcement_order, "log_decision", lambda _, **fields: lines.append(fields)
    )
    for _ in range(1_000):
        world.now += 0.1
        world.put(Announced(9, "draining"), Announced(8))
    assert len(lines) == 1 + int(100 / LOG_INTERVAL_SECONDS)
    assert lines[0]["sequence"] == 8
    assert lines[0]["known_sequence"] == 9


@given(order=permutations(range(8)), draining=integers(1, 8))
def test_any_order_of_execution_leaves_the_newest_known(
    order: list[int], draining: int
) -> None:
    """Guards against an endpoint believed ready by any order of its heartbeats."""
    world = World()
    for sequence in order:
        world.put(Announced(sequence, "draining" if sequence >= draining else "ready"))
    assert world.open() == ({"i-1"} if draining == 8 else set())
    assert world.table.states["i-1"].endpoint.sequence == 7


@given(late=lists(integers(0, 5), max_size=4))
def test_nothing_that_was_sent_before_a_removal_returns(late: list[int]) -> None:
    """Guards against an endpoint brought back by writes from before it left."""
    world = World()
    world.put(*(Announced(each) for each in range(6)), REMOVAL)
    world.forget_lapsed()
    world.put(*(Announced(each) for each in late))
    assert world.open() == set()
