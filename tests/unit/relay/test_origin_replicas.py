"""Entries that tell one another where streams began: lost, late and forged messages."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import Message, decode_message, encode_message
from clementinebend_relay.origin_keeper import OriginKeeper
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginRequestMessage,
    OriginsMessage,
    ReportedOrigin,
)
from clementinebend_relay.origin_replicas import (
    ASK_INTERVAL,
    MAX_ASKED,
    MAX_ROUNDS,
    REPLICAS,
    Lookup,
    OriginReplicas,
)
from clementinebend_relay.stream_origins import StreamKey, StreamOrigin
from clementinebend_transport.client_connection import Address

KEY = StreamKey("desk", "r1")
ORIGIN = StreamOrigin("pool", "v1")
OTHER = StreamOrigin("pool", "v1.1")
SECONDS = 10.0
MAX_WAIT = 1.0
DELAY = 0.001


class Fleet:
    """Entries and the datagrams between them; ``lost`` says which are lost."""

    def __init__(self, entries: int) -> None:
        self.clock = get_running_loop().time
        self.random = Random(1)
        self.sent: list[tuple[Message, Address, Address]] = []
        self.lost: Callable[[Message, Address, Address], bool] = lambda *message: False
        self.entries: dict[Address, OriginReplicas] = {}
        self.boots: dict[int, int] = {}
        self.announcements: dict[str, Announcement] = {}
        self.gateways = Directory()
        self.gateways.known.set()
        self.gateway_keepers: dict[Address, OriginKeeper] = {}
        for number in range(entries):
            self.start(number)

    def start(self, number: int) -> OriginReplicas:
        """Start a boot of an entry without memory; all learn of it."""
        boot = self.boots[number] = self.boots.get(number, 0) + 1
        name, address = f"e{number}", Address("10.0.0.1", number)
        item = Announcement(f"{name}#{boot}", f"z{number % 3}", *address)
        directory = Directory()
        for other, known in self.announcements.items():
            directory.put(other, known)
        self.announcements[name] = item
        entry = OriginReplicas(
            name,
            item.boot,
            item.zone,
            directory,
            self.gateways,
            lambda message, to: self.send(message, address, to),
            lambda message, all_to: self.send_all(message, address, all_to),
            self.clock,
        )
        directory.on_new_boot = entry.on_new_entry
        directory.known.set()
        self.entries[address] = entry
        for each in self.entries.values():
            each.directory.put(name, item)
        return entry

    def start_gateway(self, number: int) -> None:
        """Start a boot of a gateway without memory; all entries learn of it."""
        boot = self.boots[-number] = self.boots.get(-number, 0) + 1
        address = Address(f"10.0.1.{number}", 1)
        item = Announcement(f"g{number}#{boot}", "z0", *address)
        self.gateway_keepers[address] = OriginKeeper(
            item.boot,
            lambda message, to: self.send(message, address, to),
            self.clock,
        )
        self.gateways.put(f"g{number}", item)
        for each in self.entries.values():
            each.on_new_gateway(f"g{number}")

    async def begin_streams(self, number: int) -> list[StreamKey]:
        """Begin streams at the first entry, and let their origins be known."""
        keys = [StreamKey("desk", f"r{each}") for each in range(number)]
        for key in keys:
            self.entry(0).tell(key, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        return keys

    def kill(self, number: int) -> None:
        """Kill an entry."""
        self.entries.pop(Address("10.0.0.1", number), None)

    def entry(self, number: int) -> OriginReplicas:
        """Return an entry that runs."""
        return self.entries[Address("10.0.0.1", number)]

    def send(self, message: Message, sender: Address, to: Address) -> None:
        """Deliver a message later, unless it is lost."""
        self.sent.append((message, sender, to))
        if not self.lost(message, sender, to):
            get_running_loop().call_later(DELAY, self._deliver, message, sender, to)

    def send_all(
        self, message: Message, sender: Address, to: Iterable[Address]
    ) -> None:
        """Deliver a message to several entries."""
        for each in to:
            self.send(message, sender, each)

    def _deliver(self, message: Any, sender: Address, to: Address) -> None:
        if to in self.entries:
            self.entries[to].on_message(decode(message), sender)
        elif to in self.gateway_keepers:
            self.gateway_keepers[to].on_message(decode(message), sender)

    def replicas(self, key: StreamKey = KEY) -> list[int]:
        """Return the entries that know the origin of a stream."""
        return [
            address.port
            for address, entry in self.entries.items()
            if entry.table.get(key) is not None
        ]

    def ignorant(self) -> OriginReplicas:
        """Return an entry that doesn't know the stream."""
        known = self.replicas()
        return next(entry for at, entry in self.entries.items() if at.port not in known)


def decode(message: Message) -> Any:
    """Return a message as it is after it was sent."""
    return decode_message(encode_message(message))


def play(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a scenario in virtual time."""
    return run_virtually(scenario())


def version_of(lookup: Lookup) -> str | None:
    """Return the version that a lookup has led to."""
    origin = None if lookup.known is None else lookup.known.origin
    return None if origin is None else origin.software_version


@pytest.mark.parametrize("entries", [2, 5, 30, 400])
def test_an_origin_is_kept_by_some_others_and_found_by_all(entries: int) -> None:
    async def main() -> None:
        fleet = Fleet(entries)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        assert len(fleet.sent) == min(REPLICAS, entries - 1)
        await sleep(2 * DELAY)
        assert len(fleet.replicas()) == min(REPLICAS + 1, entries)
        fleet.kill(0)
        lookups = [await each.find(KEY, MAX_WAIT) for each in fleet.entries.values()]
        assert {version_of(each) for each in lookups} == {"v1"}
        assert max(each.seconds for each in lookups) <= 3 * DELAY

    play(main)


def test_one_replica_is_in_another_zone() -> None:
    async def main() -> None:
        fleet = Fleet(30)
        for number in range(60):
            fleet.sent.clear()
            fleet.entry(0).tell(StreamKey("desk", f"r{number}"), ORIGIN, SECONDS)
            zones = {to.port % 3 for _, _, to in fleet.sent}
            assert zones != {0}
            assert len(fleet.sent) == REPLICAS

    play(main)


@pytest.mark.parametrize("added", [1, 3])
def test_origins_are_found_after_entries_were_added(added: int) -> None:
    """Guards against streams lost since the entries that keep them are others now."""

    async def main() -> None:
        fleet = Fleet(30)
        keys = await fleet.begin_streams(100)
        fleet.lost = lambda message, *path: isinstance(message, OriginsMessage)
        for number in range(added):
            fleet.start(30 + number)
        fleet.kill(0)
        lookups = [await fleet.entry(1).find(key, MAX_WAIT) for key in keys]
        assert {version_of(each) for each in lookups} == {"v1"}

    play(main)


def test_entries_that_start_get_the_origins_that_they_should_keep() -> None:
    """Guards against streams lost as entries restart one after the other."""

    async def main() -> None:
        fleet = Fleet(5)
        keys = await fleet.begin_streams(100)
        for number in range(5):
            fleet.kill(number)
            await sleep(0.2)
            fleet.start(number)
            await sleep(0.2)
        lookups = [await fleet.entry(2).find(key, MAX_WAIT) for key in keys]
        assert {version_of(each) for each in lookups} == {"v1"}

    play(main)


def test_nobody_knows_after_all_were_killed_at_once() -> None:
    async def main() -> None:
        fleet = Fleet(5)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        for number in range(5):
            fleet.kill(number)
        for number in range(5):
            fleet.start(number)
        lookup = await fleet.entry(1).find(KEY, MAX_WAIT)
        assert lookup.known is None
        assert lookup.answered == 4
        assert lookup.seconds <= 3 * DELAY

    play(main)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_gateway_knows_after_all_entries_were_killed_at_once(
    is_restarted: bool,
) -> None:
    async def main() -> None:
        fleet = Fleet(5)
        for number in range(3):
            fleet.start_gateway(number + 1)
        keys = await fleet.begin_streams(100)
        if is_restarted:
            for number in range(3):
                fleet.start_gateway(number + 1)
                await sleep(0.1)
        for number in range(5):
            fleet.kill(number)
        for number in range(5):
            fleet.start(number)
        lookups = [await fleet.entry(1).find(key, MAX_WAIT) for key in keys]
        assert {version_of(each) for each in lookups} == {"v1"}

    play(main)


@pytest.mark.parametrize("ended", [1, 4, 8])
def test_gateways_whose_hosts_have_gone_keep_no_origins(ended: int) -> None:
    """Guards against streams told only to gateways that ended without notice."""

    async def main() -> None:
        fleet = Fleet(5)
        for number in range(9):
            fleet.start_gateway(number + 1)
        gone = {f"10.0.1.{number + 1}" for number in range(ended)}
        for host in gone:
            fleet.gateway_keepers.pop(Address(host, 1))
        for each in fleet.entries.values():
            each.is_host_used = lambda host: host not in gone
        keys = await fleet.begin_streams(100)
        for number in range(5):
            fleet.kill(number)
            fleet.start(number).is_host_used = lambda host: host not in gone
        lookups = [await fleet.entry(1).find(key, MAX_WAIT) for key in keys]
        assert {version_of(each) for each in lookups} == {"v1"}

    play(main)


def test_gateways_count_though_no_endpoint_is_announced_beside_any() -> None:
    """Guards against origins that no gateway keeps while the endpoints are unknown."""

    async def main() -> None:
        fleet = Fleet(1)
        fleet.start_gateway(1)
        fleet.entry(0).is_host_used = lambda host: False
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        assert [to.host for _, _, to in fleet.sent] == ["10.0.1.1"]

    play(main)


def test_an_entry_that_has_just_started_waits_to_know_the_gateways() -> None:
    """Guards against streams that only gateways know, beside load after a restart."""

    async def main() -> None:
        fleet = Fleet(3)
        fleet.start_gateway(1)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        for number in range(3):
            fleet.kill(number)
        item = fleet.gateways.announcements.pop("g1")
        fleet.gateways.known.clear()
        fleet.gateways.version += 1
        asking = create_task(fleet.start(0).find(KEY, MAX_WAIT))
        await sleep(0.1)
        fleet.gateways.put("g1", item)
        fleet.gateways.known.set()
        assert version_of(await asking) == "v1"

    play(main)


@pytest.mark.parametrize("max_wait", [0.05, MAX_WAIT])
def test_silent_entries_are_waited_for_no_longer_than_allowed(max_wait: float) -> None:
    async def main() -> None:
        fleet = Fleet(30)
        fleet.lost = lambda *message: True
        lookup = await fleet.entry(0).find(KEY, max_wait)
        assert lookup.known is None
        assert lookup.answered == 0
        assert lookup.seconds <= min(max_wait, ASK_INTERVAL * MAX_ROUNDS) + 1e-6
        assert len(fleet.sent) <= MAX_ASKED * MAX_ROUNDS
        assert not fleet.entry(0).questions

    play(main)


def test_lost_questions_and_answers_are_made_up_for() -> None:
    async def main() -> None:
        fleet = Fleet(30)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        fleet.kill(0)
        fleet.lost = lambda *message: fleet.random.random() < 0.3
        asker = fleet.ignorant()
        lookups = [await asker.find(KEY, MAX_WAIT) for _ in range(50)]
        found = sum(version_of(each) == "v1" for each in lookups)
        assert found >= 48

    play(main)


def test_an_entry_that_knows_nothing_does_not_hide_one_that_knows() -> None:
    async def main() -> None:
        fleet = Fleet(30)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        keepers = [number for number in fleet.replicas() if number != 0]
        for number in keepers[:-1]:
            fleet.kill(number)
            fleet.start(number)
        fleet.kill(0)
        asker = fleet.ignorant()
        assert version_of(await asker.find(KEY, MAX_WAIT)) == "v1"

    play(main)


def test_contradictory_origins_are_told_by_nobody_who_knows_of_both() -> None:
    """Guards against an ID that was used twice: the stream would have two origins."""

    async def main() -> None:
        fleet = Fleet(5)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        fleet.entry(1).tell(KEY, OTHER, SECONDS)
        await sleep(2 * DELAY)
        both = [
            entry
            for entry in fleet.entries.values()
            if (known := entry.table.get(KEY)) is not None and known.origin is None
        ]
        assert len(both) >= REPLICAS - 1
        fleet.kill(0)
        fleet.kill(1)
        for entry in fleet.entries.values():
            assert version_of(await entry.find(KEY, MAX_WAIT)) is None

    play(main)


def test_messages_of_unknown_processes_change_nothing() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        entry, known = fleet.entry(0), Address("10.0.0.1", 1)
        report = ReportedOrigin(*KEY, *ORIGIN, SECONDS, 0.0)
        entry.on_message(OriginsMessage("stranger#1", (report,)), known)
        entry.on_message(OriginsMessage("e1#1", (report,)), Address("10.9.9.9", 1))
        entry.on_message(OriginsMessage("", (report,)), known)
        assert entry.table.count == 0
        entry.on_message(OriginRequestMessage("stranger#1", 1, *KEY), known)
        assert not fleet.sent
        entry.on_message(OriginsMessage("e1#0", (report,)), known)
        assert entry.table.count == 1

    play(main)


def test_answers_that_nobody_asked_for_change_nothing() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        entry = fleet.entry(0)
        fleet.lost = lambda *message: True
        asking = create_task(entry.find(KEY, MAX_WAIT))
        await sleep(DELAY)
        number = next(iter(entry.questions))
        report = ReportedOrigin(*KEY, *ORIGIN, SECONDS, 0.0)
        answer = OriginAnswerMessage("e1#1", number + 1, report)
        entry.on_message(answer, Address("10.0.0.1", 1))
        await sleep(DELAY)
        assert not asking.done()
        right = OriginAnswerMessage("e1#1", number, report)
        entry.on_message(right, Address("10.0.0.1", 1))
        entry.on_message(right, Address("10.0.0.1", 1))
        assert version_of(await asking) == "v1"
        entry.on_message(right, Address("10.0.0.1", 1))
        assert entry.table.count == 0

    play(main)


def test_many_questions_about_unknown_ids_leave_nothing_behind() -> None:
    async def main() -> None:
        fleet = Fleet(5)
        keys = [StreamKey("desk", f"x{number}") for number in range(500)]
        await gather(*(fleet.entry(0).find(key, MAX_WAIT) for key in keys))
        assert not fleet.entry(0).questions
        assert all(entry.table.count == 0 for entry in fleet.entries.values())

    play(main)


def test_entries_that_know_no_such_messages_only_cost_the_wait() -> None:
    """Guards against an older build beside this one: it tells and answers nothing."""

    async def main() -> None:
        fleet = Fleet(5)
        old = Address("10.0.0.1", 4)
        fleet.lost = lambda message, sender, to: old in (sender, to)
        fleet.entry(0).tell(KEY, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        fleet.kill(0)
        known = [
            version_of(await entry.find(KEY, MAX_WAIT))
            for address, entry in fleet.entries.items()
            if address != old
        ]
        assert set(known) == {"v1"}
        begun_by_old = StreamKey("desk", "r2")
        fleet.entry(4).tell(begun_by_old, ORIGIN, SECONDS)
        await sleep(2 * DELAY)
        lookup = await fleet.entry(1).find(begun_by_old, MAX_WAIT)
        assert lookup.known is None
        assert lookup.seconds <= ASK_INTERVAL * MAX_ROUNDS + 1e-6

    play(main)


names = st.sampled_from(["e1#1", "e2#9", "", "x" * 300, "r1", "v1", "pool"])
floats = st.floats() | st.sampled_from([0.0, 5.0, -1.0, 1e12])
reports = st.builds(ReportedOrigin, names, names, names, names, floats, floats)
messages = st.one_of(
    st.builds(OriginsMessage, names, st.lists(reports, max_size=5).map(tuple)),
    st.builds(OriginRequestMessage, names, st.integers(0, 2**40), names, names),
    st.builds(OriginAnswerMessage, names, st.integers(0, 2**40), st.none() | reports),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(messages, max_size=30))
def test_no_message_breaks_an_entry_or_makes_up_an_origin(
    received: list[Message],
) -> None:
    async def main() -> None:
        fleet = Fleet(3)
        entry = fleet.entry(0)
        for message in received:
            entry.on_message(decode(message), Address("10.0.0.1", 1))
        assert entry.table.get(StreamKey("team", "never told")) is None
        for key, known in entry.table.items():
            assert 0 < len(key.request_id) <= 200
            assert known.until - entry.clock() <= 305.0

    play(main)
