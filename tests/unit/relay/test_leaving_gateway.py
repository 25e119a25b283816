"""Gateways that stop as planned, and hand the origins that they keep over."""

from asyncio import create_task, sleep
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from msgspec.msgpack import encode

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform_client.keyed_log import Conflict, KeyedRecord, NewestPage
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.leaving_gateway import (
    LEAVE_TIMEOUT,
    SETTLE_SECONDS,
    SUCCESSORS,
    LeavingGateway,
    hand_over_origins,
)
from clementinebend_relay.messages import Message
from clementinebend_relay.origin_keeper import OriginKeeper
from clementinebend_relay.origin_messages import OriginsMessage, ReportedOrigin
from clementinebend_transport.client_connection import Address
from tests.unit.relay.simulated_fleet import Clock, FakeLog

NAME, BOOT = "side-0", "side-0#1"
STREAMS = 300
SECONDS = 10.0


class BusyLog(FakeLog):
    """A log to which others append just before this holder, for some times."""

    conflicts = 0

    async def append(
        self, records: tuple[tuple[str, bytes], ...], expected_end: int | None
    ) -> Any:
        if self.conflicts:
            self.conflicts -= 1
            self.records.append(announced("side-9", len(self.records)))
            return Conflict(len(self.records))
        return await super().append(records, expected_end)


class SilentLog(FakeLog):
    """A log whose answers take longer than a gateway waits."""

    async def newest(self, after: str = "", patience: float = 0.0) -> NewestPage:
        await sleep(10 * LEAVE_TIMEOUT)
        raise AssertionError("the gateway should have given up")


def announced(name: str, offset: int, boot: str = "1") -> KeyedRecord:
    """Return the announcement of a gateway."""
    number = int(name.rpartition("-")[2])
    item = Announcement(f"{name}#{boot}", "z", f"10.0.1.{number}", 1)
    return KeyedRecord(offset, name, encode(item))


class World:
    """A gateway that keeps origins, beside others."""

    def __init__(self, others: int = 4) -> None:
        self.records = [announced(f"side-{each}", each) for each in range(others + 1)]
        self.log: FakeLog = BusyLog(self.records, [])
        self.sent: list[tuple[Message, Address]] = []
        self.on_send: Callable[[], None] = lambda: None
        self.keeper = OriginKeeper(BOOT, self.send, Clock())
        for number in range(STREAMS):
            report = ReportedOrigin("desk", f"r{number}", "pool", "v1", SECONDS, 0.0)
            self.keeper.on_message(
                OriginsMessage("edge-0#1", (report,)), Address("10.0.0.1", 1)
            )

    def send(self, message: Message, to: Address) -> None:
        self.sent.append((message, to))
        self.on_send()

    async def leave(self) -> None:
        await hand_over_origins(LeavingGateway(NAME, self.keeper, self.log, self.send))

    def keepers(self) -> dict[str, set[str]]:
        """Return the hosts that each origin was sent to."""
        hosts: dict[str, set[str]] = {}
        for message, to in self.sent:
            assert isinstance(message, OriginsMessage)
            for report in message.origins:
                hosts.setdefault(report.request_id, set()).add(to.host)
        return hosts

    def newest(self) -> bytes:
        """Return the newest record of the gateway."""
        return next(each for each in reversed(self.records) if each.key == NAME).value


def play(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    """Run a scenario in virtual time."""
    run_virtually(scenario())


@pytest.mark.parametrize("others", [1, 4])
def test_each_origin_goes_to_the_gateways_that_follow(others: int) -> None:
    """Guards against origins that end with the only gateway that keeps them."""

    async def main() -> None:
        world = World(others)
        await world.leave()
        hosts = world.keepers()
        assert len(hosts) == STREAMS
        expected = min(others, SUCCESSORS)
        assert {len(each) for each in hosts.values()} == {expected}
        assert all("10.0.1.0" not in each for each in hosts.values())
        assert world.newest() == b""

    play(main)


def test_a_removal_that_meets_other_appends_is_repeated() -> None:
    """Guards against gateways that stay announced as many stop at once."""

    async def main() -> None:
        world = World()
        assert isinstance(world.log, BusyLog)
        world.log.conflicts = 3
        await world.leave()
        assert world.newest() == b""
        assert len(world.keepers()) == STREAMS

    play(main)


def test_the_announcement_of_a_later_boot_is_not_removed() -> None:
    """Guards against a gateway that has started again and that nobody knows."""

    async def main() -> None:
        world = World()
        later = announced(NAME, len(world.records), "2")
        world.records.append(later)
        await world.leave()
        assert world.newest() == later.value

    play(main)


def test_a_removal_that_is_executed_late_removes_no_later_boot() -> None:
    """Guards against the same, as the store executes a removal after the next start."""

    async def main() -> None:
        world = World()
        world.log.mode = "late"
        await world.leave()
        later = announced(NAME, len(world.records), "2")
        world.records.append(later)
        (delayed,) = world.log.delayed
        assert isinstance(world.log.execute(delayed.records, delayed.at), Conflict)
        assert world.newest() == later.value

    play(main)


def test_origins_are_sent_before_entries_stop_asking_for_them() -> None:
    """Guards against streams refused between a removal and the hand-over."""

    async def main() -> None:
        world = World()
        world.on_send = lambda: known.append(world.newest() != b"")
        known: list[bool] = []
        await world.leave()
        half = len(known) // 2
        assert all(known[:half])
        assert not any(known[half:])

    play(main)


def test_gateways_that_stop_at_the_same_moment_do_not_hand_over_to_each_other() -> None:
    """Guards against origins that are sent only to gateways that stop, too."""

    async def main() -> None:
        world = World(others=4)
        leaving = create_task(world.leave())
        await sleep(SETTLE_SECONDS / 2)
        end = len(world.records)
        for offset, name in enumerate(("side-1", "side-2"), end):
            world.records.append(KeyedRecord(offset, name, b""))
        world.sent.clear()
        await leaving
        staying = {"10.0.1.3", "10.0.1.4"}
        assert all(hosts == staying for hosts in world.keepers().values())
        assert len(world.keepers()) == STREAMS

    play(main)


@pytest.mark.parametrize("mode", ["down", "lost"])
def test_a_gateway_stops_though_the_store_fails(mode: str) -> None:
    """Guards against a planned stop that never ends."""

    async def main() -> None:
        world = World()
        world.log.mode = mode
        await world.leave()
        assert bool(world.sent) == (mode == "lost")

    play(main)


def test_a_gateway_stops_though_the_store_is_silent() -> None:
    """Guards against a planned stop that takes longer than allowed."""

    async def main() -> None:
        world = World()
        world.log = SilentLog(world.records, [])
        await world.leave()
        assert not world.sent

    play(main)
