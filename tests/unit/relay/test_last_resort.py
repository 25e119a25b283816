"""Endpoints whose records were removed, as they leave or as they expired."""

import pytest

from clementinebend_platform_client.keyed_log import (
    NewestPage,
    StoreFailure,
)
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.last_resort import EXPIRY_SLACK_SECONDS, RETURN_SECONDS
from clementinebend_relay.partition_reader import PartitionReader
from tests.unit.relay.simulated_fleet import Clock, FakeLog
from tests.unit.relay.test_endpoints import names, put, table_at

READING_DELAY = 0.4
"""Seconds that a removal is read after it, at most."""

SENDING_DELAY = 0.3
"""Seconds that a call is on its way to an endpoint, at most."""

STEP = 0.1


class World:
    """A table that knows an endpoint, which changes nothing for a long time.

    An endpoint is announced again only if something about it changes.
    """

    def __init__(self, leaving_seconds: float = 2.0) -> None:
        self.clock = Clock()
        self.table: EndpointTable = table_at(self.clock)
        self.table.configure(["pool"])
        self.table.last_resort.leaving_seconds = leaving_seconds
        put(self.table, "a", b"1")
        self.clock.now += 100.0

    def remove(self) -> None:
        """Read the removal of the endpoint."""
        put(self.table, "a", b"")

    def open_seconds(self) -> float:
        """Return for how long the endpoint gets calls from now on."""
        began = self.clock.now
        while names(self.table) and self.clock.now - began < 10.0:
            self.clock.now += STEP
        return self.clock.now - began


@pytest.mark.parametrize("leaving_seconds", [2.0, 3.0])
def test_an_endpoint_that_leaves_without_notice_gets_no_calls_in_time(
    leaving_seconds: float,
) -> None:
    """Guards against calls to an endpoint that has ended, with no other one open."""
    world = World(leaving_seconds)
    world.remove()
    open_for = world.open_seconds()
    assert 0.0 < open_for <= leaving_seconds - READING_DELAY - SENDING_DELAY


@pytest.mark.parametrize("later", [0.0, EXPIRY_SLACK_SECONDS - 0.1])
def test_endpoints_are_kept_whose_records_expired_in_an_outage(later: float) -> None:
    """Guards against refusals until sound endpoints have announced themselves."""
    world = World()
    world.table.on_read_failed()
    world.clock.now += later
    world.remove()
    assert world.open_seconds() >= RETURN_SECONDS


def test_endpoints_missing_from_a_snapshot_are_kept() -> None:
    """Guards against refusals after records were dropped before they were read."""
    world = World()
    put(world.table, "other", b"2 desk")
    world.table.on_snapshot(frozenset({"other"}), 1_000)
    assert world.open_seconds() >= RETURN_SECONDS


def test_an_endpoint_that_is_back_is_no_last_resort() -> None:
    """Guards against an endpoint that is dropped though it announces itself again."""
    world = World()
    world.remove()
    put(world.table, "a", b"1")
    assert world.open_seconds() >= 10.0


class FailingLog(FakeLog):
    """A log whose reads fail."""

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        return StoreFailure(False, "down")


async def test_a_failed_read_keeps_endpoints_as_a_last_resort() -> None:
    """Guards against expired records that are taken for endpoints that leave."""
    world = World()
    log = FailingLog([], [])
    reader = PartitionReader(
        "endpoints",
        log,
        world.table,
        world.clock,
        0.0,
        on_failure=world.table.on_read_failed,
    )
    await reader.step()
    world.remove()
    assert world.open_seconds() >= RETURN_SECONDS
