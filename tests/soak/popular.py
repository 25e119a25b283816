"""A harmless request that everyone sends in the soak, and kills where it runs."""

from asyncio import sleep
from collections.abc import Callable
from itertools import count
from random import Random

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet
from tests.soak.promises import Seen

PATH = "/stream/x"
BODY = b"popular"
SERVICE = "pool"
PROMPT = 20
TURN_SECONDS = 0.3
SERIES_SHARE = 0.1
"""Part of the turns in which a series of kills begins."""

LONGEST_SERIES = 3
SHORTEST_GAP = 0.5
LONGEST_GAP = 3.0
LONGEST_PAUSE = 0.3


class PopularCalls:
    """Calls of one request at all entries, whose engines end in series."""

    def __init__(self, seed: int, fleet: Fleet, calls: list[Seen]) -> None:
        self.random = Random(f"popular {seed}")
        self.fleet = fleet
        self.calls = calls
        self.ids = count(1)
        self.kills = 0

    async def call(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Make calls, one after the other, until the load ends."""
        while not has_stopped():
            await self._send(self.random.randrange(entries))
            await sleep(self.random.uniform(0.0, LONGEST_PAUSE))

    async def kill(self, has_stopped: Callable[[], bool]) -> None:
        """Kill engines in series where the request ran last, until the load ends."""
        while not has_stopped():
            await sleep(TURN_SECONDS)
            if self.random.random() < SERIES_SHARE:
                await self._kill_in_series()

    async def _kill_in_series(self) -> None:
        gap = self.random.uniform(SHORTEST_GAP, LONGEST_GAP)
        for _ in range(self.random.randint(2, LONGEST_SERIES)):
            engine = max(self.fleet.engines_of(SERVICE), key=_last_popular_run)
            self.kills += not engine.has_ended
            await engine.crash()
            await sleep(gap)

    async def _send(self, entry: int) -> None:
        request_id = f"popular-{next(self.ids)}-{self.random.randrange(10**9)}"
        place = len(self.calls)
        seen = Seen(request_id, PATH, PROMPT, None, b"")
        self.calls.append(seen)
        outcome = await self.fleet.call(
            PATH,
            entry,
            (PROMPT, 24),
            BODY,
            request_id=request_id,
            x_deadline_ms="4000",
        )
        if outcome.is_ok():
            answer = outcome.ok
            self.calls[place] = seen._replace(status=answer.status, body=answer.body)


def _last_popular_run(engine: EngineStandin) -> float:
    """Return when an engine last got the request, 0 if never or if it has ended."""
    if engine.has_ended:
        return 0.0
    times = (
        at
        for at, request in zip(engine.arrived_at, engine.requests, strict=True)
        if request.body == BODY
    )
    return max(times, default=0.0)
