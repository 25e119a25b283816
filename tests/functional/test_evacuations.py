"""Evacuation of zones, also while the store or entries fail."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from signal import SIGKILL
from typing import Any

import pytest
from msgspec.msgpack import encode

from clementinebend_relay.datagrams import open_socket
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.messages import (
    EvacuationMessage,
    EvacuationRequestMessage,
    Message,
)
from clementinebend_transport.client_connection import Address
from tests.lib.platform_engine import EVENTS, EngineStandin
from tests.lib.platform_fleet import BODY, Entry, Fleet
from tests.lib.processes import free_port
from tests.lib.waiting import ticks, until
from tests.soak.proxy import FaultProxy

ENTRIES = 2
ZONES = ("a", "b")
PATHS = ("/safe/x", "/once/x", "/stream/x", "/stream-once/x")
PAUSE = 0.02
EVACUATED_WITHIN = 1.0
"""Seconds after the record from which on no new request may reach the zone."""

WATCHED_SECONDS = 3.0
REJECTED_WITHIN = 0.3
"""Seconds within which a call that cannot be served must be rejected."""

CUT_ENTRIES = 6
STORE_LOST_SECONDS = 3.0
"""Seconds after which an entry that is cut off from the store has noticed it."""

SETTLED_SECONDS = 0.5
"""Seconds without a new entry after which the entries know one another."""


@asynccontextmanager
async def entries_behind_proxies(
    fleet: Fleet, count: int
) -> AsyncIterator[list[FaultProxy]]:
    """Start entries that reach the store through a proxy each; give the proxies."""
    await fleet.store.start()
    fleet.configure(1_000_000)
    proxies = [FaultProxy(fleet.store.port) for _ in range(count)]
    try:
        for number, proxy in enumerate(proxies):
            await proxy.start()
            await fleet.add_entry(f"edge-{number}", "z", store=proxy.port)
        await until(lambda: fleet.store.waited("entries") > SETTLED_SECONDS)
        yield proxies
    finally:
        for proxy in proxies:
            proxy.close()


def has_logged(entry: Entry, **fields: Any) -> bool:
    """Return whether an entry has logged a line with these fields."""
    return any(fields.items() <= line.items() for line in entry.lines())


def engines_in(fleet: Fleet, zone: str) -> list[EngineStandin]:
    """Return the engines of a zone."""
    return [engine for engine in fleet.engines if engine.zone == zone]


def last_request_at(fleet: Fleet, zone: str) -> float:
    """Return the time of the last request to an engine of a zone."""
    reached = (at for engine in engines_in(fleet, zone) for at in engine.reached_at)
    return max(reached, default=0.0)


async def send_calls(fleet: Fleet, seconds: float) -> list[int]:
    """Send calls to each kind of route for ``seconds``.

    Returns the statuses of the last batch, which may be incomplete.
    """
    clock = get_running_loop().time
    end = clock() + seconds
    calls = []
    async for number in ticks(PAUSE, lambda: clock() > end):
        path = PATHS[number % len(PATHS)]
        calls.append(fleet.call(path, number % ENTRIES, body=BODY))
        if len(calls) == len(PATHS):
            outcomes = await gather(*calls)
            assert all(outcome.is_ok() for outcome in outcomes)
            calls.clear()
    outcomes = await gather(*calls)
    return [outcome.ok.status for outcome in outcomes]


def pop_reached(fleet: Fleet, zone: str) -> bool:
    """Return whether requests have reached a zone since the last check; reset that."""
    engines = engines_in(fleet, zone)
    has_reached = any(engine.reached_at for engine in engines)
    for engine in engines:
        engine.reached_at.clear()
    return has_reached


async def is_served_in(fleet: Fleet, zone: str) -> bool:
    """Send calls and return whether one has reached a zone."""
    await send_calls(fleet, 0.2)
    return pop_reached(fleet, zone)


async def evacuate(fleet: Fleet, zone: str) -> None:
    """Evacuate a zone and wait until that must be in force."""
    fleet.evacuate(zone)
    await send_calls(fleet, EVACUATED_WITHIN)
    pop_reached(fleet, zone)


@pytest.mark.parametrize("fault", ["", "silent", "busy"])
async def test_no_new_request_reaches_an_evacuated_zone(
    fleet: Fleet, fault: str
) -> None:
    """Guards against an evacuation lost when the store fails right after the write."""
    await fleet.start(entries=ENTRIES, engines=2, zones=ZONES)
    await until(lambda: is_served_in(fleet, "b"))
    await until(lambda: fleet.store.waited("op") > 0)
    fleet.evacuate("b")
    start = get_running_loop().time()
    fleet.store.fault = fault
    await send_calls(fleet, WATCHED_SECONDS)
    assert last_request_at(fleet, "b") < start + EVACUATED_WITHIN
    assert last_request_at(fleet, "a") > start + EVACUATED_WITHIN


async def test_a_zone_gets_calls_again_after_its_evacuation_ends(fleet: Fleet) -> None:
    await fleet.start(entries=ENTRIES, engines=2, zones=ZONES)
    await evacuate(fleet, "b")
    fleet.end_evacuation("b")
    await until(lambda: is_served_in(fleet, "b"), within=EVACUATED_WITHIN)


@pytest.mark.parametrize("has_ended", [False, True])
async def test_evacuations_are_read_again_after_the_store_dropped_records(
    fleet: Fleet, has_ended: bool
) -> None:
    await fleet.start(entries=ENTRIES, engines=2, zones=ZONES)
    await evacuate(fleet, "b")
    fleet.store.fault = "busy"
    await send_calls(fleet, EVACUATED_WITHIN)
    if has_ended:
        fleet.end_evacuation("b")
    fleet.store.drop_old_records("op")
    fleet.store.fault = ""
    await send_calls(fleet, 2 * EVACUATED_WITHIN)
    assert pop_reached(fleet, "b") == has_ended


async def test_an_evacuation_stays_in_force_after_all_entries_are_killed(
    fleet: Fleet,
) -> None:
    await fleet.start(entries=ENTRIES, engines=2, zones=ZONES)
    await evacuate(fleet, "b")
    for entry in fleet.entries:
        entry.process.send_signal(SIGKILL)
    for number, entry in enumerate(tuple(fleet.entries)):
        await entry.process.wait()
        await fleet.restart_entry(number)
    for entry in fleet.entries:
        await until(lambda: fleet.is_bound(entry))  # noqa: B023
    await send_calls(fleet, WATCHED_SECONDS)
    assert not pop_reached(fleet, "b")
    assert pop_reached(fleet, "a")


async def test_calls_are_rejected_at_once_while_all_zones_are_evacuated(
    fleet: Fleet,
) -> None:
    await fleet.start(entries=ENTRIES, engines=1, zones=ZONES)
    for zone in ZONES:
        fleet.evacuate(zone)
    await send_calls(fleet, EVACUATED_WITHIN)
    clock = get_running_loop().time
    for number, path in enumerate(PATHS):
        sent_at = clock()
        answer = (await fleet.call(path, number % ENTRIES)).ok
        assert clock() - sent_at < REJECTED_WITHIN
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= 1.0


async def test_a_running_stream_in_an_evacuated_zone_completes(fleet: Fleet) -> None:
    await fleet.start(entries=1, engines=1, zones=("b",))
    engine = fleet.engines_of("pool")[0]
    engine.pause = 0.2
    running = create_task(fleet.call("/stream/x"))
    await until(lambda: bool(engine.reached_at))
    fleet.evacuate("b")
    answer = (await running).ok
    assert answer.status == 200
    assert answer.body.count(b"data:") == EVENTS


async def test_an_operator_sees_evacuated_zones_and_cold_endpoints(
    fleet: Fleet,
) -> None:
    await fleet.start(entries=1, engines=1, zones=ZONES)
    assert await fleet.run_operator_command("zones_main", "list") == ""
    fleet.evacuate("b")
    engine = fleet.engines[0]
    engine.cold_remaining_ms = 1_500
    fleet.store.put("servers", engine.name, engine.entry())
    listed = (await fleet.run_operator_command("zones_main", "list")).splitlines()
    assert len(listed) == 2
    assert listed[0].startswith("b is evacuated")
    assert listed[1] == f"{engine.name} in a: cold for 1.5 s"


async def test_entries_cut_off_from_the_store_learn_of_an_evacuation(
    fleet: Fleet,
) -> None:
    """Guards against entries to which no other forwards an evacuation."""
    async with entries_behind_proxies(fleet, CUT_ENTRIES + 1) as proxies:
        for proxy in proxies[1:]:
            proxy.change("silent")
        await sleep(STORE_LOST_SECONDS)
        fleet.evacuate("b")
        knows = partial(has_logged, message="zone evacuated", zone="b")
        await until(lambda: all(map(knows, fleet.entries)), EVACUATED_WITHIN)


async def test_an_entry_cut_off_from_the_store_asks_for_evacuations(
    fleet: Fleet,
) -> None:
    """Guards against an entry that never learns what it has missed."""
    asked: list[Address] = []

    def on_message(message: Message, sender: Address) -> None:
        if isinstance(message, EvacuationRequestMessage):
            asked.append(sender)

    address = Address("127.0.0.1", free_port())
    peer = await open_socket(address, on_message)
    fleet.store.put("entries", "peer", encode(Announcement("peer#1", "z", *address)))
    async with entries_behind_proxies(fleet, 1) as (proxy,):
        await sleep(STORE_LOST_SECONDS)
        assert not asked
        proxy.change("silent")
        await until(lambda: bool(asked))
        peer.send(EvacuationMessage("peer#1", "b", 7, True), asked[0])
        knows = partial(has_logged, message="zone evacuated", zone="b")
        await until(lambda: knows(fleet.entries[0]))
    peer.close()
