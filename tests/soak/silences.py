"""Streams in the soak whose engines fall silent for about a second and go on.

No other fault concerns these engines: a stream that one of them has begun must end
whole.
"""

from asyncio import gather, sleep
from collections.abc import Callable
from random import Random

from tests.lib.kept_callers import KeptCallers
from tests.lib.kept_connections import Caller
from tests.lib.pausing_engine import PausingEngine
from tests.lib.platform_fleet import Fleet, route

SERVICE = "calm"
TEAM = "calm"
PREFIX = "/stream/calm/"
CALM = route(PREFIX, "streaming", SERVICE, resumable=True, timeout_ms=10_000)
CALLER = Caller(SERVICE, f"key-{TEAM}", 4000)
ZONE = "c"
"""A zone that is not evacuated."""

ENGINES = 3
CLIENTS = 8
EVENT_PAUSE = 0.1
SHORTEST_SILENCE, LONGEST_SILENCE = 0.8, 1.2
LONGEST_GAP = 2.5
"""Seconds between two silences, at most."""

KINDS = ("one", "all", "others full")
"""Who falls silent; others that are full run no new request meanwhile."""


class Silences:
    """Engines that fall silent in turn, and callers of streams on them."""

    def __init__(
        self, seed: int, fleet: Fleet, idle_limit: Callable[[], float]
    ) -> None:
        self.random = Random(f"silences {seed}")
        self.fleet = fleet
        self.engines = [PausingEngine(SERVICE, ZONE) for _ in range(ENGINES)]
        self.callers = KeptCallers(fleet, seed, (f"{PREFIX}x",), idle_limit, CALLER)
        self.callers.runs = self.runs
        self.silences = 0

    def runs(self, request_id: str) -> int:
        """Return how often these engines ran a request."""
        return sum(engine.runs[request_id] for engine in self.engines)

    def begun(self) -> int:
        """Return how many streams were answered with success, whole or not."""
        return sum(sent.status == 200 for sent in self.callers.sent)

    def whole(self) -> int:
        """Return how many streams came whole."""
        return sum(sent.status == 200 and sent.is_whole for sent in self.callers.sent)

    def ended_by_kill(self) -> int:
        """Return how many streams had begun as their entry was killed."""
        sent = self.callers.sent
        return sum(each.status == 200 and each.was_killed for each in sent)

    async def start(self) -> None:
        """Start the engines, and announce them."""
        for engine in self.engines:
            engine.pause = EVENT_PAUSE
            await engine.start()
            self.fleet.store.put("servers", engine.name, engine.entry())

    async def stop(self) -> None:
        """Stop the engines."""
        for engine in self.engines:
            await engine.stop()

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Read streams, and let engines fall silent, until the load ends."""
        calling = [self.callers.run(entries, has_stopped) for _ in range(CLIENTS)]
        await gather(self._fall_silent(has_stopped), *calling)
        self.callers.delay.stop()

    async def _fall_silent(self, has_stopped: Callable[[], bool]) -> None:
        while not has_stopped():
            await sleep(self.random.uniform(0.0, LONGEST_GAP))
            kind, first = self.random.choice(KINDS), self.random.choice(self.engines)
            others = [engine for engine in self.engines if engine is not first]
            for engine in others:
                engine.fault = "full" if kind == "others full" else ""
            silent = self.engines if kind == "all" else [first]
            seconds = self.random.uniform(SHORTEST_SILENCE, LONGEST_SILENCE)
            self.silences += 1
            await gather(*(engine.fall_silent(seconds) for engine in silent))
            for engine in others:
                engine.fault = ""
