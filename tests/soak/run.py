"""One seeded run of the soak: load, faults that overlap, and what was seen."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import product
from json import loads
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals
from typing import Any
from zlib import crc32

from clementinebend_admission.rotation import MAX_BACKOFF
from clementinebend_platform.main import QUOTA_PARTITIONS
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import ROUTES, TEAM, Entry, Fleet, route
from tests.lib.waiting import until
from tests.soak.crashes import Crashes
from tests.soak.kept import KeptClients
from tests.soak.limits import Limits
from tests.soak.parts import PartClients
from tests.soak.popular import PopularCalls
from tests.soak.promises import Seen, broken_promises
from tests.soak.proxy import MODES, FaultProxy
from tests.soak.silences import CALM
from tests.soak.silences import SERVICE as CALM_SERVICE
from tests.soak.silences import TEAM as CALM_TEAM
from tests.soak.versions import RELEASE, SERVICE, VersionedStreams

ENTRIES = 3
GATEWAYS = 2
ENGINES = 2
ZONES = ("a", "b")
CLIENTS = 8
POPULAR_CLIENTS = 3
SECONDS = 8.0
RELOAD_PART = 0.6
RECOVERY_SECONDS = 12.0
EVACUATION_SECONDS = 1.0
"""Seconds after which an evacuation must be in force at each entry."""

DROP_PART = 0.3
USUAL_PAUSE_SECONDS = 0.005
LONG_PAUSE_SECONDS = 0.4
"""Seconds between events of an engine, usually and while its answers take long."""

IDLE_MS = 1000
PREPAID = 60_000
PATHS = ("/safe/x", "/once/x", "/stream/x", "/stream/x", "/stream-once/x")
ENGINE_FAULTS = ("full", "fail", "foreign", "cut", "gap", "silent")
STORE_FAULTS = ("busy", "silent", "lost", "slow")
IDLE_ROUTES = 4_000
"""Routes that nobody calls: each change is read over a slow link for 1 s."""

LINK_BYTES_PER_SECOND = 5e6 / 8

SMALL_LINK_EVERY = 4
"""Of so many seeds, one has all entries in one zone, and the settings of
``SMALL_LINKS`` of them name a small link: they are overloaded at times, leave rotation
and return."""

SMALL_LINKS = 2
SMALL_LINK_MBPS = 0.4
"""10^6 bits a second. A configuration with its idle routes takes more for a second."""

RETURN_SECONDS = MAX_BACKOFF + 4.0
"""Seconds after the load in which each entry is back in rotation."""

IDLE = tuple(route(f"/idle-{number}/", "safe", "desk") for number in range(IDLE_ROUTES))


class Soak:
    """The programs, their proxies, and the calls made so far."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.fleet = Fleet(folder)
        self.calls: list[Seen] = []
        self.store_proxies: list[FaultProxy] = []
        self.engine_proxies: list[FaultProxy] = []
        self.prepaid = PREPAID
        self.newest_path = "/safe/"
        self.has_stopped = False
        self.restarting: set[int] = set()
        self.done: list[str] = []
        self.engine_cuts: list[tuple[float, float]] = []
        self.crashes: Crashes | None = None
        self.popular: PopularCalls | None = None
        self.has_small_links = seed % SMALL_LINK_EVERY == 0
        self.versions = VersionedStreams(seed, self.fleet, self.calls)
        self.killed: set[int] = set()
        self.paused: Counter[str] = Counter()
        self.kept: KeptClients | None = None

    async def run(self) -> list[str]:
        """Play the seed; return the promises that were broken."""
        try:
            await self._start()
            clients = [create_task(self._client(number)) for number in range(CLIENTS)]
            crashes = self.crashes = Crashes(self.seed, self.fleet, self.calls)
            crashing = crashes.run(ENTRIES, lambda: self.has_stopped)
            clients.append(create_task(crashing))
            parts = PartClients(self.seed, self.fleet, self.calls, crashes.engines)
            clients.append(create_task(parts.run(ENTRIES, lambda: self.has_stopped)))
            popular = self.popular = PopularCalls(self.seed, self.fleet, self.calls)
            clients += [
                create_task(popular.call(ENTRIES, lambda: self.has_stopped))
                for _ in range(POPULAR_CLIENTS)
            ]
            clients.append(create_task(popular.kill(lambda: self.has_stopped)))
            versions = self.versions.run(ENTRIES, lambda: self.has_stopped)
            clients.append(create_task(versions))
            limits = Limits(self.seed, self.fleet)
            clients.append(create_task(limits.run(lambda: self.has_stopped)))
            kept = self.kept = KeptClients(
                self.seed, self.fleet, self.killed, self.paused, self._publish
            )
            await kept.silences.start()
            keeping = kept.run(ENTRIES, self.calls, lambda: self.has_stopped)
            clients.append(create_task(keeping))
            await self._disturb()
            await self._heal()
            self.has_stopped = True
            await gather(*clients)
            problems = broken_promises(self.calls, self.fleet.engines, self.prepaid)
            problems += self.versions.problems() + kept.problems()
            problems += self._ended() + await self._unserved()
            problems += await self._out_of_rotation()
            problems += limits.problems(self.engine_cuts)
            problems += await self._calls_to_evacuated_zones()
            problems += await parts.problems(ENTRIES)
            return problems + await crashes.problems(ENTRIES)
        finally:
            await self.fleet.stop()
            if self.kept is not None:
                await self.kept.silences.stop()
            for proxy in (*self.store_proxies, *self.engine_proxies):
                proxy.close()

    async def _start(self) -> None:
        fleet = self.fleet
        await fleet.store.start()
        fleet.more_services = (SERVICE, CALM_SERVICE)
        fleet.more_teams = {CALM_TEAM: None}
        fleet.idle_timeout_ms = IDLE_MS
        self._publish(is_large=False)
        for service, number in product(("pool", "desk"), range(ENGINES)):
            await self._add_engine(service, ZONES[number % len(ZONES)])
        for number in range(ENTRIES):
            proxy = FaultProxy(fleet.store.port, LINK_BYTES_PER_SECOND)
            await proxy.start()
            self.store_proxies.append(proxy)
            is_small = self.has_small_links and number < SMALL_LINKS
            await fleet.add_entry(
                f"edge-{number}",
                "z0" if self.has_small_links else f"z{number}",
                store=proxy.port,
                **({"link_mbps": SMALL_LINK_MBPS} if is_small else {}),
            )
        for number in range(GATEWAYS):
            await fleet.add_gateway(f"side-{number}")
        await self.versions.start()

    async def _add_engine(self, service: str, zone: str) -> None:
        engine = EngineStandin(service, zone)
        await engine.start()
        assert engine.server is not None
        proxy = FaultProxy(engine.server.port)
        await proxy.start()
        self.engine_proxies.append(proxy)
        engine.announced_port = proxy.port
        self.fleet.engines.append(engine)
        self.fleet.store.put("servers", engine.name, engine.entry())

    async def _client(self, number: int) -> None:
        """Make calls, one after the other, until the load ends."""
        random = Random(number)
        while not self.has_stopped:
            path = random.choice(PATHS)
            prompt = random.randrange(20, 200)
            request_id = f"c{number}-{len(self.calls)}-{random.randrange(10**9)}"
            place = len(self.calls)
            self.calls.append(Seen(request_id, path, prompt, None, b""))
            outcome = await self.fleet.call(
                path,
                random.randrange(ENTRIES),
                (prompt, 24),
                request_id=request_id,
                x_deadline_ms="1500",
            )
            if outcome.is_ok():
                self.calls[place] = Seen(
                    request_id, path, prompt, outcome.ok.status, outcome.ok.body
                )
            await sleep(random.random() * 0.05)

    async def _disturb(self) -> None:
        """Bring faults about, in series and overlapping."""
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._cut_store,
            self._cut_engine,
            self._break_engine,
            self._break_store,
            self._stop_entry,
            self._pause_entry,
            self._change,
            self._reload,
            self._kill_all,
            self._evacuate,
            self._kill_home,
            self._kill_all_drafting,
            self._evacuate_unread,
        )
        end = get_running_loop().time() + SECONDS
        faults: list[Task[Any]] = []
        while get_running_loop().time() < end:
            faults.append(create_task(self._fault(self.random.choice(kinds))))
            await sleep(self.random.uniform(0.1, 0.9))
        await gather(*faults)

    async def _fault(self, kind: Callable[[], Awaitable[None]]) -> None:
        await kind()

    def _note(self, what: str) -> None:
        self.done.append(what)

    async def _span(self) -> None:
        await sleep(self.random.uniform(0.2, 3.0))

    async def _cut_store(self) -> None:
        proxy = self.random.choice(self.store_proxies)
        await self._cut(proxy, "store")

    async def _cut_engine(self) -> None:
        proxy = self.random.choice(self.engine_proxies)
        began = get_running_loop().time()
        await self._cut(proxy, "engine")
        self.engine_cuts.append((began, get_running_loop().time()))

    async def _cut(self, proxy: FaultProxy, name: str) -> None:
        mode = self.random.choice(MODES[1:])
        self._note(f"{name} {mode}")
        proxy.change(mode)
        await self._span()
        proxy.change("")

    async def _break_engine(self) -> None:
        engine = self.random.choice(self.fleet.engines)
        engine.fault = self.random.choice(ENGINE_FAULTS)
        self._note(f"{engine.name} {engine.fault}")
        await self._span()
        engine.fault = ""

    async def _break_store(self) -> None:
        self.fleet.store.fault = self.random.choice(STORE_FAULTS)
        self._note(f"store {self.fleet.store.fault}")
        await self._span()
        self.fleet.store.fault = ""

    async def _stop_entry(self) -> None:
        """Kill or stop an entry, and start it anew."""
        number = self.random.randrange(ENTRIES)
        entry = self.fleet.entries[number]
        signal = self.random.choice((SIGKILL, SIGTERM))
        self._note(f"{entry.name} {signal.name}")
        self._end(entry, signal)
        await self._restart(number, entry)

    def _end(self, entry: Entry, signal: Signals) -> None:
        if signal is SIGKILL:
            self.killed.add(entry.process.pid)
        with suppress(ProcessLookupError):
            entry.process.send_signal(signal)

    async def _restart(self, number: int, ended: Entry) -> None:
        """Start an entry anew once it has ended, unless another fault does."""
        await ended.process.wait()
        if self.fleet.entries[number] is ended and number not in self.restarting:
            self.restarting.add(number)
            await self.fleet.restart_entry(number)
            self.restarting.discard(number)

    async def _kill_all(self) -> None:
        """Kill all entries at once; those that are being started anew stay."""
        self._note("all killed")
        killed = self.fleet.entries[:ENTRIES]
        for entry in killed:
            self._end(entry, SIGKILL)
        for number, entry in enumerate(killed):
            await self._restart(number, entry)

    async def _kill_home(self) -> None:
        """Kill the home of the team's budget while the store is slow."""
        self._note("home killed, store slow")
        self.fleet.store.fault = "slow"
        number = self._home_number()
        entry = self.fleet.entries[number]
        self._end(entry, SIGKILL)
        await self._span()
        self.fleet.store.fault = ""
        await self._restart(number, entry)

    def _home_number(self) -> int:
        """Return the entry that keeps the team's budget as the first entry sees it."""
        part = crc32(TEAM.encode()) % QUOTA_PARTITIONS
        homes = [
            line["home"]
            for line in self.fleet.entries[0].lines()
            if line["message"] == "budget home changed" and line["part"] == part
        ]
        names = [entry.name for entry in self.fleet.entries[:ENTRIES]]
        return names.index(homes[-1]) if homes and homes[-1] in names else 0

    async def _kill_all_drafting(self) -> None:
        """Kill all entries while answers take long."""
        for engine in self.fleet.engines:
            engine.pause = LONG_PAUSE_SECONDS
        await self._span()
        await self._kill_all()
        for engine in self.fleet.engines:
            engine.pause = USUAL_PAUSE_SECONDS

    async def _evacuate_unread(self) -> None:
        """Evacuate a zone while all entries but one cannot read the store."""
        cut = self.random.sample(self.store_proxies, ENTRIES - 1)
        for proxy in cut:
            proxy.change("silent")
        await self._evacuate()
        for proxy in cut:
            proxy.change("")

    async def _reload(self) -> None:
        """Order some programs to reload; an entry is bound before it is loaded."""
        self._note("reload")
        for program in tuple(self.fleet.entries):
            is_chosen = self.random.random() < RELOAD_PART
            if is_chosen and await self.fleet.is_bound(program):
                with suppress(ProcessLookupError):
                    program.process.send_signal(SIGHUP)

    async def _pause_entry(self) -> None:
        entry = self.random.choice(self.fleet.entries)
        self._note(f"{entry.name} paused")
        self.paused[entry.name] += 1
        with suppress(ProcessLookupError):
            entry.process.send_signal(SIGSTOP)
            await self._span()
            entry.process.send_signal(SIGCONT)
        self.paused[entry.name] -= 1

    async def _evacuate(self) -> None:
        """Evacuate a zone for a while; the store may drop old records meanwhile."""
        zone = self.random.choice(ZONES)
        self._note(f"{zone} evacuated")
        self.fleet.evacuate(zone)
        await self._span()
        if self.random.random() < DROP_PART:
            self.fleet.store.drop_old_records("op")
        self.fleet.end_evacuation(zone)

    async def _change(self) -> None:
        """Top up the budget and move a route by a new version of the configuration."""
        self.prepaid += self.random.choice((0, 500))
        self._note("configuration")
        self.newest_path = f"/new-{len(self.done)}/"
        self._publish(is_large=True)

    def _publish(self, is_large: bool) -> None:
        """Write a version of the configuration, with thousands of routes if large."""
        newest = route(self.newest_path, "safe", "desk")
        routes = (*ROUTES, RELEASE, CALM, *(IDLE if is_large else ()), newest)
        self.fleet.configure(self.prepaid, routes)

    async def _heal(self) -> None:
        for proxy in (*self.store_proxies, *self.engine_proxies):
            proxy.change("")
        for engine in self.fleet.engines:
            engine.fault = ""
            engine.pause = USUAL_PAUSE_SECONDS
        self.fleet.store.fault = ""

    def _ended(self) -> list[str]:
        """Return the programs that have ended by themselves."""
        return [
            f"{program.name} ended by itself with code {program.process.returncode}"
            for program in self.fleet.entries
            if program.process.returncode is not None
        ]

    async def _unserved(self) -> list[str]:
        """Return the entries that do not serve in time as the newest version says."""
        unserved = []
        for number, entry in enumerate(self.fleet.entries[:ENTRIES]):
            try:
                await until(lambda: self._serves(number), RECOVERY_SECONDS)  # noqa: B023
            except TimeoutError:
                unserved.append(f"{entry.name} does not serve after the faults")
        return unserved

    def rotation_changes(self) -> Counter[str]:
        """Return how often entries have left rotation and returned, by log message."""
        return Counter(
            line["message"]
            for path in self.fleet.folder.glob("edge-*.log")
            for line in map(loads, path.read_text().splitlines())
            if line["message"] in ("left rotation", "returned to rotation")
        )

    async def _out_of_rotation(self) -> list[str]:
        """Return the entries that do not return to rotation after the load."""
        out = []
        for entry in self.fleet.entries[:ENTRIES]:
            try:
                await until(lambda: self.fleet.is_ready(entry), RETURN_SECONDS)  # noqa: B023
            except TimeoutError:
                out.append(f"{entry.name} is out of rotation after the load")
        return out

    async def _calls_to_evacuated_zones(self) -> list[str]:
        """Evacuate each zone in turn; report those whose engines get calls.

        Requests that an engine refuses as meant for another one are not counted.
        """
        problems = []
        for zone in ZONES:
            self.fleet.evacuate(zone)
            await sleep(EVACUATION_SECONDS)
            engines = [each for each in self.fleet.engines if each.zone == zone]
            before = sum(len(engine.arrived_at) for engine in engines)
            for path, number in product(PATHS, range(ENTRIES)):
                await self.fleet.call(path, number)
            if sum(len(engine.arrived_at) for engine in engines) > before:
                problems.append(f"calls have reached the evacuated zone {zone}")
            self.fleet.end_evacuation(zone)
        return problems

    async def _serves(self, number: int) -> bool:
        outcome = await self.fleet.call(f"{self.newest_path}x", number)
        return bool(outcome.is_ok() and outcome.ok.status == 200)
