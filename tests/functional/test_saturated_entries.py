"""Entries of one zone, some of which get more than their link carries."""

from asyncio import create_task, get_running_loop, sleep
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from itertools import count
from signal import SIGCONT, SIGSTOP
from statistics import mean
from typing import Any, NamedTuple

import pytest_asyncio
from pytest import FixtureRequest, mark

from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import Answer
from tests.lib.platform_fleet import Entry, Fleet
from tests.lib.waiting import ticks, until
from tests.lib.zone_balancer import ZoneBalancer
from tests.lib.zone_client import CallOutcome, ZoneClient
from tests.soak.proxy import FaultProxy

pytestmark = mark.capacity

ENTRIES = 4
ENGINES = 4
LINK_MBPS = 5.0
LINK_RATE = LINK_MBPS * 1e6 / 8
"""Bytes a second of a slow link, in each direction."""

BODY = b"x" * 9_000
LARGE_BODY = b"x" * 36_000
"""A body of which a slow link carries 17 a second."""

OTHERS = 6
RATE = 10.0
HEAVY_RATE = 10 * RATE
"""Calls a second of one client; with ``BODY`` 1.4 times what a slow link carries."""

LARGE_BODY_RATE = 30.0
"""Calls a second with ``LARGE_BODY``: 1.7 times what a slow link carries."""

SATURATED_SECONDS = 3.0
SETTLED_SECONDS = 4.0
BACK_SECONDS = 5.0
LOAD_SECONDS = 16.0
SAMPLE_SECONDS = 0.1
SERVED = 0.95
MAX_DEPARTURES = 4
"""Departures of one entry in ``LOAD_SECONDS``, which stays out for 2, 4 and 8 s."""

SHORT_PAUSE = (0.05, 0.1)
"""Least and most seconds of a pause while other entries have spare capacity."""

FROZEN_SECONDS = 2.0
THAWED_SECONDS = 3.0
LOAD_MESSAGES = {
    "entry overloaded",
    "entry has room again",
    "left rotation",
    "returned to rotation",
}


class Zone(NamedTuple):
    """A fleet with one zone, its balancer, proxies and clients."""

    fleet: Fleet
    balancer: ZoneBalancer
    clients: list[ZoneClient]
    delays: list[float]

    def add_client(self, name: str, body: bytes = BODY) -> ZoneClient:
        client = ZoneClient(name, self.balancer, body)
        self.clients.append(client)
        return client

    def add_client_of(self, entry: Entry, body: bytes = BODY) -> ZoneClient:
        """Add a client that the balancer assigns to an entry."""
        names = (f"heavy-{number}" for number in count())
        return self.add_client(
            next(name for name in names if self.balancer.entry_for(name) == entry.name),
            body,
        )

    def start_others(self) -> None:
        for number in range(OTHERS):
            self.add_client(other_name(number)).start(RATE)

    def outcomes(self) -> list[CallOutcome]:
        return [outcome for client in self.clients for outcome in client.outcomes]

    def shed_by(self, entry: Entry) -> list[Answer]:
        """Return the answers by which an entry has rejected calls as overloaded."""
        return [
            attempt.answer
            for outcome in self.outcomes()
            for attempt in outcome.attempts
            if attempt.entry == entry.name and attempt.answer and attempt.is_shed()
        ]

    async def ready_entries(self) -> list[str]:
        return [
            entry.name
            for entry in self.fleet.entries
            if await self.fleet.is_ready(entry)
        ]

    def report(self) -> str:
        """Return what the entries logged of their load, and this test's loop delay.

        A test whose own event loop is late shows that the machine has no CPU to spare.
        """
        lines = sorted(
            _report_line(entry, line)
            for entry in self.fleet.entries
            for line in entry.lines()
            if line["message"] in LOAD_MESSAGES
        )
        delay = f"loop delay here: {mean(self.delays):.4f} s, {max(self.delays):.3f}"
        return "\n".join((delay, *lines))

    def logged(self, *messages: str) -> list[tuple[str, str]]:
        """Return the lines of all entries with one of ``messages``."""
        return [
            (entry.name, line["message"])
            for entry in self.fleet.entries
            for line in entry.lines()
            if line["message"] in messages
        ]


def other_name(number: int) -> str:
    return f"other-{number}"


def _report_line(entry: Entry, line: dict[str, Any]) -> str:
    return (
        f"{line['time'][14:23]} {entry.name} {line['message']} loop={line['loop']}"
        f" link={line['link']} others_out={line['others_out']}"
    )


async def start_zone(fleet: Fleet, proxies: list[FaultProxy], slow: int) -> Zone:
    """Start entries of one zone, ``slow`` of which have a slow link."""
    await fleet.start(entries=0, engines=ENGINES)
    detours = {}
    for number in range(ENTRIES):
        name = f"edge-{number}"
        if number >= slow:
            await fleet.add_entry(name, "a")
            continue
        entry = await fleet.add_entry(name, "a", link_mbps=LINK_MBPS)
        proxy = FaultProxy(entry.port, rate=LINK_RATE, request_rate=LINK_RATE)
        proxies.append(proxy)
        await proxy.start()
        detours[name] = Address("127.0.0.1", proxy.port)
    return Zone(fleet, ZoneBalancer(fleet, detours), [], [0.0])


async def measure_delay(delays: list[float]) -> None:
    """Keep adding the delay of this event loop in seconds."""
    loop = get_running_loop()
    while True:
        due = loop.time() + SAMPLE_SECONDS
        await sleep(SAMPLE_SECONDS)
        delays.append(loop.time() - due)


@pytest_asyncio.fixture
async def zone(fleet: Fleet, request: FixtureRequest) -> AsyncIterator[Zone]:
    """Give a zone of which ``request.param`` entries have a slow link."""
    proxies: list[FaultProxy] = []
    made = await start_zone(fleet, proxies, request.param)
    tasks = [create_task(made.balancer.run()), create_task(measure_delay(made.delays))]
    try:
        yield made
    finally:
        for task in tasks:
            task.cancel()
        for client in made.clients:
            await client.stop()
        for proxy in proxies:
            proxy.close()


def served_share(outcomes: Iterable[CallOutcome]) -> float:
    """Return the part of calls that an attempt has served."""
    served = [outcome.attempts[-1].is_served() for outcome in outcomes]
    return sum(served) / len(served)


async def fewest_ready(zone: Zone, seconds: float) -> int:
    """Return the least number of entries that were ready at once."""
    loop = get_running_loop()
    end = loop.time() + seconds
    return min(
        [
            len(await zone.ready_entries())
            async for _ in ticks(SAMPLE_SECONDS, lambda: loop.time() > end)
        ]
    )


one_slow = mark.parametrize("zone", [1], indirect=True)
all_slow = mark.parametrize("zone", [ENTRIES], indirect=True)


@one_slow
async def test_a_saturated_entry_gives_way_and_calls_are_served(zone: Zone) -> None:
    """An entry that stays ready while its link is full fails a third of its calls."""
    slow = zone.fleet.entries[0]

    async def gives_way() -> bool:
        return bool(zone.shed_by(slow)) or not await zone.fleet.is_ready(slow)

    zone.start_others()
    await sleep(1.0)
    start = get_running_loop().time()
    zone.add_client_of(slow).start(HEAVY_RATE)
    await until(gives_way, SATURATED_SECONDS)
    assert await fewest_ready(zone, LOAD_SECONDS) >= ENTRIES // 2, zone.report()
    for client in zone.clients:
        await client.finish()
    settled = [each for each in zone.outcomes() if each.at >= start + SETTLED_SECONDS]
    assert served_share(settled) >= SERVED, zone.report()
    departures = Counter(name for name, _ in zone.logged("left rotation"))
    assert max(departures.values(), default=0) <= MAX_DEPARTURES, zone.report()
    for answer in zone.shed_by(slow):
        assert answer.headers["connection"] == "close"
        assert SHORT_PAUSE[0] <= float(answer.headers["retry-after"]) <= SHORT_PAUSE[1]


@mark.parametrize("store_fault", ["", "silent"])
@one_slow
async def test_an_entry_returns_after_its_load_has_ended(
    zone: Zone, store_fault: str
) -> None:
    """An entry that stays out of rotation leaves its share to the others."""
    slow = zone.fleet.entries[0]
    zone.fleet.store.fault = store_fault

    async def is_out() -> bool:
        return not await zone.fleet.is_ready(slow)

    async def serves() -> bool:
        is_ready = await zone.fleet.is_ready(slow)
        return is_ready and (await zone.fleet.call("/safe/x")).ok.status == 200

    zone.start_others()
    heavy = zone.add_client_of(slow)
    heavy.start(HEAVY_RATE)
    await until(is_out)
    await heavy.stop()
    await until(serves, BACK_SECONDS)
    assert zone.logged("returned to rotation") == [(slow.name, "returned to rotation")]


@all_slow
async def test_half_of_the_entries_stay_if_all_are_saturated(zone: Zone) -> None:
    """Entries that all leave at once move their load to the next ones, or to none."""
    for entry in zone.fleet.entries:
        zone.add_client_of(entry, LARGE_BODY).start(LARGE_BODY_RATE)
    assert await fewest_ready(zone, LOAD_SECONDS) >= ENTRIES // 2, zone.report()
    overloaded = {name for name, _ in zone.logged("entry overloaded")}
    assert overloaded == {entry.name for entry in zone.fleet.entries}


@one_slow
async def test_nothing_shows_without_overload(zone: Zone) -> None:
    """A threshold that ordinary load reaches rejects calls that could be served."""
    zone.start_others()
    zone.add_client_of(zone.fleet.entries[0]).start(2 * RATE)
    assert await fewest_ready(zone, LOAD_SECONDS / 2) == ENTRIES, zone.report()
    for client in zone.clients:
        await client.finish()
    assert all(len(outcome.attempts) == 1 for outcome in zone.outcomes())
    assert zone.logged(*LOAD_MESSAGES) == [], zone.report()


@one_slow
async def test_a_frozen_entry_is_not_overloaded_afterwards(zone: Zone) -> None:
    """The time in which an entry did not run looks like a long event loop delay."""
    used = {zone.balancer.entry_for(other_name(number)) for number in range(OTHERS)}
    frozen = next(each for each in zone.fleet.entries[1:] if each.name in used)
    zone.start_others()
    await sleep(1.0)
    frozen.process.send_signal(SIGSTOP)
    await sleep(FROZEN_SECONDS)
    frozen.process.send_signal(SIGCONT)
    await sleep(THAWED_SECONDS)
    assert zone.logged(*LOAD_MESSAGES) == [], zone.report()
