"""Engines that end as they begin to write on a part of a prompt, and its requests."""

from asyncio import create_task, get_running_loop
from itertools import count
from random import Random

from clementinebend_transport.http_types import Request
from tests.lib.crashing_engines import CrashingEngines, Sent
from tests.lib.platform_engine import EngineStandin, shared_parts
from tests.lib.platform_fleet import Fleet

PART = "dead"
SOUND_MIDDLES = 5
WINDOW_SECONDS = 3.0
SOUND_SECONDS = 2 * WINDOW_SECONDS
"""Seconds after the fifth end, or the last one, from which on sound requests must begin
at their first attempt."""

MIN_SOUND_SHARE = 0.5
READING_SECONDS = 0.1


class CrashingParts(CrashingEngines):
    """The engines of one service; each ends under a request with one of ``parts``."""

    allowed_ends = 5

    def __init__(
        self, fleet: Fleet, service: str, way: str, parts: tuple[str, ...] = (PART,)
    ) -> None:
        self.parts = frozenset(parts)
        super().__init__(fleet, service, way)

    def is_fatal(self, request: Request) -> bool:
        """Tell whether the engines end under a request."""
        return bool(self.parts & shared_parts(request))

    def late_arrivals(self) -> int:
        """Return how many requests with the parts reached engines too late."""
        if len(self.ends) < self.allowed_ends:
            return 0
        return self.arrivals_after_window()

    def sound_from(self) -> float:
        """Return from when on sound requests must begin at their first attempt."""
        return max(self.ends[: self.allowed_ends], default=0.0) + SOUND_SECONDS

    def _prepare(self, engine: EngineStandin) -> None:
        super()._prepare(engine)
        engine.fatal_body = None
        engine.fatal_parts = self.parts
        engine.reading_seconds = READING_SECONDS


class PartCalls:
    """Calls whose prompts share all parts but one with one another.

    No two of them are alike; they come at entries at random.
    """

    def __init__(self, fleet: Fleet, path: str, entries: int, seed: int = 1) -> None:
        self.fleet = fleet
        self.path = path
        self.entries = entries
        self.random = Random(seed)
        self.numbers = count(1)
        self.fatal: list[Sent] = []
        self.sound: list[Sent] = []

    def send_fatal(self, part: str = PART) -> None:
        """Make a call with a part under which engines end."""
        self.fatal.append(self._send(part))

    def send_sound(self) -> None:
        """Make a call that shares all other parts."""
        self.sound.append(self._send(f"m{self.random.randrange(SOUND_MIDDLES)}"))

    def _send(self, middle: str) -> Sent:
        number = next(self.numbers)
        call = self.fleet.call(
            self.path,
            entry=self.random.randrange(self.entries),
            body=f"call {number}".encode(),
            x_prefix_hash=f"aa:50,{middle}:30,own{number}:20",
        )
        return Sent(get_running_loop().time(), create_task(call))


async def begun(calls: list[Sent]) -> int:
    """Return how many calls were served at their first attempt."""
    outcomes = [await call.outcome for call in calls]
    return sum(outcome.is_ok() and outcome.ok.status == 200 for outcome in outcomes)
