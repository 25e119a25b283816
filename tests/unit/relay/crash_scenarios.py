"""Runs scenarios of requests and ending endpoints in a ``CrashWorld``."""

from asyncio import Task, gather, sleep
from collections import Counter, defaultdict
from statistics import mean
from typing import NamedTuple

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.unit.relay.crash_endpoints import CrashingEndpoint, Work
from tests.unit.relay.crash_world import (
    CUT,
    LATE,
    LOST,
    SERVED,
    CallResult,
    CrashWorld,
)
from tests.unit.relay.entry_world import MAX_DELAY

FATAL = b'{"ends": "endpoints"}'
ALLOWED_ENDS = 3
WINDOW_SECONDS = 3.0
"""Seconds after the third end from which on few runs may reach an endpoint."""

HISTORY_CALLS = 30
HISTORY_PAUSE = 0.05
QUIET_SECONDS = 4.0
WATCH_SECONDS = 0.05
"""Pause in seconds between two looks at whether a request is quarantined."""

KILL_DELAY = 0.05
"""Seconds after an arrival at which a killer that waited for one ends the endpoint."""

SETTLE_SECONDS = 2.0
STATUS_NOT_RUN = 503
SESSION = "aa:50,bb:50"


class Scenario(NamedTuple):
    """What happens in a run; rates are per second, times in seconds.

    ``kind`` is the route. If ``fatal_work`` has a fatal way, ``fatal_rate`` calls of a
    fatal request are made a second. The harmless calls have ``bodies`` different
    bodies, or each its own one (0). ``session`` is ``"shared"``, ``"own"`` (one for
    each call) or ``"none"``.

    ``kills`` endpoints are killed, the first one after ``first_kill`` and one each
    ``gap``; ``victim`` is ``"last"`` (that got a harmless request last), ``"busiest"``
    or ``"random"``. With ``has_history`` the harmless requests are answered some times
    before, and then not sent for a while. ``random_kills`` is the rate at which another
    process kills random endpoints; ``restart_at`` is when entry 0 is restarted.
    """

    name: str
    kind: str = "stream"
    fatal_work: Work = Work()
    fatal_rate: float = 10.0
    harmless_work: Work = Work()
    harmless_rate: float = 10.0
    bodies: int = 1
    session: str = "shared"
    seconds: float = 12.0
    kills: int = 0
    gap: float = 1.0
    first_kill: float = 0.5
    victim: str = "last"
    has_history: bool = False
    random_kills: float = 0.0
    restart_at: float | None = None


class Setting(NamedTuple):
    """The fleet that a scenario runs in.

    ``loss`` is the share of lost datagrams, ``max_delay`` that of packets in seconds.
    """

    entries: int
    endpoints: int = 9
    loss: float = 0.0
    max_delay: float = MAX_DELAY
    has_gateways: bool = True


class Tally(NamedTuple):
    """Outcomes of calls; ``rejected`` counts them by status and reason.

    ``retry_after`` has the mean seconds for each of them. ``late`` counts the streams
    that were cut at their time limit, ``cut`` the others. ``longest_hold`` is the
    longest time in seconds for which a call was held before it was rejected unrun.
    """

    sent: int
    whole: int
    cut: int
    late: int
    rejected: dict[str, int]
    retry_after: dict[str, float]
    longest_hold: float


class RunResult(NamedTuple):
    """What came of a run; see the fields of ``Scenario``.

    ``fatal_ends`` counts the endpoints that the fatal request ended, ``late_runs`` its
    runs that reached one later than ``WINDOW_SECONDS`` after the third of these ends.
    ``after_ends`` is of the calls sent after the last end of any endpoint.
    ``quarantined_seconds`` is for how long a harmless request was quarantined anywhere.
    """

    fatal_ends: int
    ends: int
    late_runs: int
    is_fatal_quarantined: bool
    harmless: Tally
    after_ends: Tally
    quarantined_seconds: float
    is_quarantined: bool
    datagrams: int
    appends: int


class SentCall(NamedTuple):
    """A harmless call, and when it was sent."""

    at: float
    task: Task[CallResult]


class ScenarioRun:
    """One run of a scenario in a world of its own."""

    def __init__(self, scenario: Scenario, setting: Setting, number: int) -> None:
        self.scenario = scenario
        self.world = CrashWorld(
            setting.entries,
            setting.endpoints,
            number,
            setting.has_gateways,
            setting.loss,
            setting.max_delay,
        )
        self.world.work = scenario.harmless_work
        self.world.works[FATAL] = scenario.fatal_work
        self.path = f"/{scenario.kind}/x"
        self.bodies = [f"harmless {each}".encode() for each in range(scenario.bodies)]
        self.calls: list[SentCall] = []
        self.fatal_calls: list[Task[CallResult]] = []
        self.quarantined_seconds = 0.0

    async def run(self) -> RunResult:
        """Run the scenario to its end."""
        world, scenario = self.world, self.scenario
        if scenario.has_history:
            await self._make_history()
        before = world.datagrams
        world.start(self._watch())
        if scenario.kills:
            world.start(self._kill())
        if scenario.random_kills:
            world.start(self._kill_at_random())
        if scenario.restart_at is not None:
            world.start(self._restart(scenario.restart_at))
        loads = [self._send_harmless()]
        if scenario.fatal_work.fatal_way:
            loads.append(self._send_fatal())
        await gather(*loads)
        tasks = [*self.fatal_calls, *(each.task for each in self.calls)]
        await gather(*tasks, return_exceptions=True)
        await sleep(SETTLE_SECONDS)
        result = self._result(world.datagrams - before)
        await world.stop()
        return result

    async def _make_history(self) -> None:
        """Have the harmless requests answered, and then wait until that is long ago."""
        tasks = []
        for number in range(HISTORY_CALLS):
            tasks.append(self._call(self.bodies[number % len(self.bodies)]))
            await sleep(HISTORY_PAUSE)
        await gather(*tasks)
        await sleep(QUIET_SECONDS)

    def _call(self, body: bytes, entry: int | None = None) -> Task[CallResult]:
        world, session = self.world, self.scenario.session
        if entry is None:
            entry = world.random.randrange(len(world.entries))
        parts = {"shared": SESSION, "none": None}.get(
            session, f"own-{world.random.randrange(10**9)}:100"
        )
        return world.start_call(entry, self.path, body, parts)

    async def _send_harmless(self) -> None:
        world, scenario = self.world, self.scenario
        start, at = world.clock(), 0.0
        while True:
            at += world.random.expovariate(scenario.harmless_rate)
            if at >= scenario.seconds:
                return
            await sleep(start + at - world.clock())
            number = len(self.calls)
            body = f"own {number}".encode()
            if self.bodies:
                body = self.bodies[number % len(self.bodies)]
            self.calls.append(SentCall(world.clock(), self._call(body)))

    async def _send_fatal(self) -> None:
        """Send the fatal request regularly, at the entries in turn."""
        world, scenario = self.world, self.scenario
        start = world.clock()
        for number in range(int(scenario.seconds * scenario.fatal_rate)):
            await sleep(start + number / scenario.fatal_rate - world.clock())
            entry = number % len(world.entries)
            self.fatal_calls.append(self._call(FATAL, entry))

    async def _watch(self) -> None:
        """Add up for how long a harmless request is quarantined."""
        while True:
            await sleep(WATCH_SECONDS)
            if self._is_harmless_quarantined():
                self.quarantined_seconds += WATCH_SECONDS

    def _is_harmless_quarantined(self) -> bool:
        names = (self.world.fingerprint(self.path, body) for body in self.bodies)
        return any(self.world.is_quarantined(name) for name in names)

    async def _kill(self) -> None:
        scenario, world = self.scenario, self.world
        start = world.clock() + scenario.first_kill
        for number in range(scenario.kills):
            await sleep(max(0.0, start + number * scenario.gap - world.clock()))
            (await self._victim()).end()

    async def _victim(self) -> CrashingEndpoint:
        """Return the endpoint to kill; wait until there is one that is suitable."""
        world = self.world
        has_waited = False
        while True:
            alive = world.alive()
            if self.scenario.victim != "random":
                alive = [each for each in alive if _harmless_runs(each)]
            if alive and not has_waited:
                break
            has_waited = not alive
            await sleep(KILL_DELAY)
        match self.scenario.victim:
            case "last":
                return max(alive, key=lambda each: each.arrivals[-1].at)
            case "busiest":
                return max(alive, key=_harmless_runs)
            case _:
                return world.random.choice(alive)

    async def _kill_at_random(self) -> None:
        world = self.world
        while True:
            await sleep(world.random.expovariate(self.scenario.random_kills))
            alive = world.alive()
            if alive:
                world.random.choice(alive).end()

    async def _restart(self, at: float) -> None:
        await sleep(at)
        self.world.restart_entry(0)

    def _result(self, datagrams: int) -> RunResult:
        world = self.world
        fatal_ends = [end.at for end in world.ends if end.cause == FATAL]
        last_end = max((end.at for end in world.ends), default=0.0)
        fatal = world.fingerprint(self.path, FATAL)
        after = [each for each in self.calls if each.at > last_end]
        return RunResult(
            len(fatal_ends),
            len(world.ends),
            self._late_runs(fatal_ends),
            world.is_quarantined(fatal),
            _tally(self.calls),
            _tally(after),
            self.quarantined_seconds,
            self._is_harmless_quarantined(),
            datagrams,
            world.appends,
        )

    def _late_runs(self, fatal_ends: list[float]) -> int:
        if len(fatal_ends) < ALLOWED_ENDS:
            return 0
        window_end = fatal_ends[ALLOWED_ENDS - 1] + WINDOW_SECONDS
        return sum(
            arrival.body == FATAL and arrival.at > window_end
            for endpoint in self.world.endpoints
            for arrival in endpoint.arrivals
        )


def run_scenario(scenario: Scenario, setting: Setting, number: int) -> RunResult:
    """Run a scenario in virtual time with a seed."""

    async def main() -> RunResult:
        return await ScenarioRun(scenario, setting, number).run()

    return run_virtually(main())


def _harmless_runs(endpoint: CrashingEndpoint) -> int:
    return endpoint.running.total() - endpoint.running[FATAL]


def _tally(calls: list[SentCall]) -> Tally:
    counts: Counter[str] = Counter()
    delays: defaultdict[str, list[float]] = defaultdict(list)
    longest_hold = 0.0
    for call in calls:
        if call.task.cancelled():
            counts[LOST] += 1
            continue
        result = call.task.result()
        if result.result in (SERVED, CUT, LATE):
            counts[result.result] += 1
            continue
        name = f"{result.status} {result.result}"
        counts[name] += 1
        if result.status == STATUS_NOT_RUN:
            longest_hold = max(longest_hold, result.seconds)
        if result.retry_after is not None:
            delays[name].append(result.retry_after)
    whole, cut, late = (counts.pop(name, 0) for name in (SERVED, CUT, LATE))
    pauses = {name: mean(each) for name, each in delays.items()}
    return Tally(len(calls), whole, cut, late, dict(counts), pauses, longest_hold)
