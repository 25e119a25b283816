"""Requests that share a part of their prompts, under which endpoints end.

Whole entries in virtual time. No two of the requests are alike; sound ones share their
team and their other parts.
"""

from asyncio import Task, gather, sleep
from itertools import count
from typing import Any, NamedTuple

from clementinebend_bench.models.mark_store import Outage, StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_transport.client_connection import Address
from tests.unit.relay.crash_endpoints import CrashingEndpoint, Work
from tests.unit.relay.crash_world import CallResult, CrashWorld

ALLOWED_ENDS = 5
ALLOWED_LATER = 3
WINDOW_SECONDS = 3.0
"""Seconds after the fifth end from which on few such requests may reach an endpoint."""

SOUND_SECONDS = 6.0
"""Seconds after the fifth end, or the last one, from which on sound requests must begin
at their first attempt."""

FATAL_PREFIX = b"fatal "
SOUND_MIDDLES = 7
STATUS_OK = 200
REFUSED = "part_quarantined"
READING_SECONDS = 0.1

READS = Work(fatal_way="late", fatal_delay=READING_SECONDS)
"""The endpoint reads the prompt for a while and ends as it begins to write."""

ORDERS = {
    "first": "{part}:50,aa:30,{own}:20",
    "middle": "aa:50,{part}:30,{own}:20",
    "deep": "aa:50,bb:20,cc:20,{part}:10,{own}:20",
}
"""Prompts by the place of the part that differs from those of sound requests."""


class PartScenario(NamedTuple):
    """What happens in a run; rates are per second, times in seconds.

    ``parts`` parts end endpoints, in turn. Beside each request with one of them
    ``sound`` sound ones are sent. ``kills`` endpoints are killed ``gap`` apart, where
    the newest call went; with ``zone`` so many endpoints end together after 3 s. At
    ``restart_at`` the first entries, ``restarted`` of them, are killed and start anew.
    At ``added_at`` another entry starts. With ``is_bare`` streams have neither length
    nor chunks. Until ``fatal_from`` endpoints do not end under the parts.
    """

    work: Work = READS
    rate: float = 5.0
    kind: str = "stream"
    order: str = "middle"
    parts: int = 1
    sound: int = 2
    seconds: float = 12.0
    kills: int = 0
    gap: float = 0.7
    zone: int = 0
    restart_at: float | None = None
    restarted: int = 1
    added_at: float | None = None
    store_away: bool = False
    is_bare: bool = False
    fatal_from: float = 0.0


class PartResult(NamedTuple):
    """What came of a run.

    ``ends`` counts the endpoints that ended under the parts, ``later`` the requests
    with them that reached endpoints later than allowed. ``sound_sent`` and
    ``sound_begun`` are of the sound requests sent once ``SOUND_SECONDS`` have passed,
    ``sound_share`` is the share of those before that began. ``sound_refused`` and
    ``fatal_refused`` count those that were refused for their parts.
    """

    ends: int
    later: int
    sound_sent: int
    sound_begun: int
    sound_share: float
    sound_refused: int
    fatal_refused: int
    fatal_sent: int
    datagrams: int
    all_sound: int
    all_sound_begun: int


class PartWorld(CrashWorld):
    """Entries before endpoints that end under the requests with some parts."""

    fatal_work = READS

    def __init__(
        self,
        *arguments: Any,
        is_bare: bool = False,
        fatal_from: float = 0.0,
        **named: Any,
    ) -> None:
        self.is_bare = is_bare
        super().__init__(*arguments, **named)
        self.fatal_at = self.clock() + fatal_from

    def _start_endpoint(self, address: Address) -> CrashingEndpoint:
        endpoint = super()._start_endpoint(address)
        endpoint.is_bare = self.is_bare
        return endpoint

    def work_of(self, body: bytes) -> Work:
        """Return what endpoints do for a request."""
        is_fatal = body.startswith(FATAL_PREFIX) and self.clock() >= self.fatal_at
        return self.fatal_work if is_fatal else self.work


class PartRun:
    """One run of a scenario in a world of its own."""

    def __init__(
        self, scenario: PartScenario, entries: int, number: int, loss: float = 0.0
    ) -> None:
        self.scenario = scenario
        self.world = PartWorld(
            entries,
            number=number,
            loss=loss,
            is_bare=scenario.is_bare,
            fatal_from=scenario.fatal_from,
        )
        self.world.fatal_work = scenario.work
        if scenario.store_away:
            self.world.store = StoreModel((Outage(0.0, scenario.seconds * 2),))
        self.numbers = count(1)
        self.fatal: list[Task[CallResult]] = []
        self.sound: list[Task[CallResult]] = []

    async def run(self) -> PartResult:
        """Run the scenario to its end."""
        world, scenario = self.world, self.scenario
        if scenario.kills:
            world.start(self._kill())
        if scenario.zone:
            world.start(self._lose_zone())
        if scenario.restart_at is not None:
            world.start(self._restart(scenario.restart_at))
        if scenario.added_at is not None:
            world.start(self._add(scenario.added_at))
        await self._send()
        await gather(*self.fatal, *self.sound, return_exceptions=True)
        result = self._result()
        await world.stop()
        return result

    async def _send(self) -> None:
        world, scenario = self.world, self.scenario
        start = world.clock()
        for number in range(int(scenario.seconds * scenario.rate)):
            await sleep(start + number / scenario.rate - world.clock())
            if scenario.parts:
                part = f"dead{number % scenario.parts}"
                self.fatal.append(self._call(FATAL_PREFIX, part))
            for _ in range(scenario.sound):
                await sleep(world.random.uniform(0.0, 0.5 / scenario.rate))
                middle = f"m{world.random.randrange(SOUND_MIDDLES)}"
                self.sound.append(self._call(b"sound ", middle))

    def _call(self, prefix: bytes, part: str) -> Task[CallResult]:
        world, number = self.world, next(self.numbers)
        entry = world.random.randrange(len(world.entries))
        prompt = ORDERS[self.scenario.order].format(part=part, own=f"own{number}")
        body = prefix + str(number).encode()
        return world.start_call(entry, f"/{self.scenario.kind}/x", body, prompt)

    async def _kill(self) -> None:
        scenario, world = self.scenario, self.world
        await sleep(1.0)
        for _ in range(scenario.kills):
            alive = [each for each in world.alive() if each.arrivals]
            max(alive, key=lambda each: each.arrivals[-1].at).end()
            await sleep(scenario.gap)

    async def _lose_zone(self) -> None:
        await sleep(3.0)
        for endpoint in self.world.alive()[: self.scenario.zone]:
            endpoint.end()

    async def _restart(self, at: float) -> None:
        await sleep(at)
        entries = len(self.world.entries)
        for number in range(min(entries, self.scenario.restarted)):
            self.world.restart_entry(number)

    async def _add(self, at: float) -> None:
        await sleep(at)
        self.world.add_entry()

    def _result(self) -> PartResult:
        world = self.world
        ends = [each.at for each in world.ends if (each.cause or b"")[:1] == b"f"]
        counted = ends[: ALLOWED_ENDS * max(1, self.scenario.parts)]
        since = (counted or [0.0])[-1]
        sound = [each.result() for each in self.sound if not each.cancelled()]
        fatal = [each.result() for each in self.fatal if not each.cancelled()]
        late = [each for each in sound if each.at > since + SOUND_SECONDS]
        begun = sum(each.status == STATUS_OK for each in late)
        before = [each for each in sound if each.at <= since + SOUND_SECONDS]
        is_counted = len(ends) >= ALLOWED_ENDS
        return PartResult(
            len(ends),
            self._arrivals_after(since + WINDOW_SECONDS) if is_counted else 0,
            len(late),
            begun,
            _share_begun(before),
            sum(each.result.startswith(REFUSED) for each in sound),
            sum(each.result.startswith(REFUSED) for each in fatal),
            len(fatal),
            world.datagrams,
            len(sound),
            sum(each.status == STATUS_OK for each in sound),
        )

    def _arrivals_after(self, at: float) -> int:
        return sum(
            arrival.at > at and arrival.body.startswith(FATAL_PREFIX)
            for endpoint in self.world.endpoints
            for arrival in endpoint.arrivals
        )


def run_parts(
    scenario: PartScenario, entries: int, number: int = 1, loss: float = 0.0
) -> PartResult:
    """Run a scenario in virtual time with a seed."""

    async def main() -> PartResult:
        return await PartRun(scenario, entries, number, loss).run()

    return run_virtually(main())


def _share_begun(calls: list[CallResult]) -> float:
    return sum(each.status == STATUS_OK for each in calls) / max(1, len(calls))
