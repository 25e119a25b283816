"""Streams of a service whose engines are replaced by later versions in the soak."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable
from itertools import count, cycle
from random import Random

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet, route
from tests.lib.resuming_client import ResumingClients
from tests.lib.streams_seen import StreamSeen, Verdict, verdict
from tests.soak.promises import Seen

SERVICE = "release"
PREFIX = "/stream/release/"
RELEASE = route(PREFIX, "streaming", SERVICE, resumable=True, timeout_ms=10_000)
ZONES = ("a", "b")
ENGINES = 4
CLIENTS = 8
EVENT_PAUSE = 0.12
SHORTEST_TURN, LONGEST_TURN = 0.2, 1.5
"""Seconds between two replacements of engines."""

DRAIN_SECONDS = 0.6
"""Seconds for which an engine that says that it leaves goes on serving."""

CRASH_SHARE = 0.4
"""Part of the replaced engines that crash instead of leaving."""

CUT_SHARE = 0.3
"""Part of the clients' attempts that lose their connection."""

SERIES = 3
"""Engines of one version that start before the next version."""


class VersionedStreams:
    """Clients that resume their streams, and engines that are replaced."""

    def __init__(self, seed: int, fleet: Fleet, calls: list[Seen]) -> None:
        self.random = Random(f"versions {seed}")
        self.fleet = fleet
        self.calls = calls
        self.seen: list[StreamSeen] = []
        self.zones = cycle(ZONES)
        self.started = count(0)
        self.ending: list[Task[None]] = []
        self.engines: list[EngineStandin] = []
        self.replaced = 0

    async def start(self) -> None:
        """Start the first engines."""
        for _ in range(ENGINES):
            await self._add_engine()

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Replace engines, and read streams, until the load ends."""
        clients = ResumingClients(
            self.fleet,
            entries,
            self.random.randrange(10**6),
            f"{PREFIX}x",
            SERVICE,
            self._on_attempt,
            CUT_SHARE,
        )
        reading = [self._read(clients, entries, has_stopped) for _ in range(CLIENTS)]
        await gather(self._replace(has_stopped), *reading)
        await gather(*self.ending)

    def problems(self) -> list[str]:
        """Return the streams that hold events of two versions, or not in order."""
        mixed = [stream for stream in self.seen if stream.is_mixed]
        broken = [stream for stream in self.seen if not stream.is_in_order]
        return [
            *(f"a stream holds events of two versions: {each}" for each in mixed),
            *(f"a stream lacks events or has one twice: {each}" for each in broken),
        ]

    def verdict(self) -> Verdict:
        """Return what the streams come to."""
        return verdict(self.seen)

    def resumed(self) -> int:
        """Return how many tries resumed a stream, whether or not it went on."""
        return sum(each.is_resumption for stream in self.seen for each in stream.tries)

    def went_on(self) -> int:
        """Return how many tries that resumed a stream brought an event."""
        tries = [each for stream in self.seen for each in stream.tries]
        return sum(each.is_resumption and each.events > 0 for each in tries)

    def _on_attempt(self, request_id: str) -> None:
        self.calls.append(Seen(request_id, PREFIX, 0, None, b""))

    async def _read(
        self, clients: ResumingClients, entries: int, has_stopped: Callable[[], bool]
    ) -> None:
        while not has_stopped():
            self.seen.append(await clients.stream(self.random.randrange(entries)))
            await sleep(self.random.uniform(0.0, 0.2))

    async def _replace(self, has_stopped: Callable[[], bool]) -> None:
        """Replace the oldest engine by a new one, again and again."""
        while not has_stopped():
            await sleep(self.random.uniform(SHORTEST_TURN, LONGEST_TURN))
            await self._add_engine()
            oldest = self.engines.pop(0)
            self.replaced += 1
            if self.random.random() < CRASH_SHARE:
                await oldest.crash()
                self.fleet.store.put("servers", oldest.name, b"")
            else:
                self.ending.append(create_task(self._drain(oldest)))

    async def _drain(self, engine: EngineStandin) -> None:
        self.fleet.store.put("servers", engine.name, engine.entry("draining"))
        await sleep(DRAIN_SECONDS)
        await engine.crash()
        self.fleet.store.put("servers", engine.name, b"")

    async def _add_engine(self) -> None:
        version = f"v{next(self.started) // SERIES}"
        engine = await self.fleet.add_engine(SERVICE, next(self.zones), version)
        engine.shows_version = True
        engine.pause = EVENT_PAUSE
        self.engines.append(engine)
