"""A part of prompts in the soak under which engines end, and herds of channels."""

from asyncio import gather, sleep
from collections.abc import Callable
from itertools import count
from random import Random

from clementinebend_relay.quarantine.subjects import part_subject
from clementinebend_transport.http_types import Request
from tests.lib.bare_engine import BareEngine
from tests.lib.crashing_engines import CrashingEngines
from tests.lib.platform_engine import EngineStandin, shared_parts
from tests.lib.platform_fleet import Fleet
from tests.soak.promises import Seen

PATH = "/stream/x"
PROMPT = 20
PART = "dead"
SUBJECT = part_subject(PART)
MIDDLES = 4
SHORTEST_PAUSE = 0.2
LONGEST_PAUSE = 1.0
HERD_SHARE = 0.1
"""Part of the turns in which many new channels lead to one entry."""

HERD_CALLS = 20
BARE_SHARE = 0.3
"""Part of the later boots of engines whose answers end with their channel."""


class SoakEngines(CrashingEngines):
    """Engines that end under one request, and under one part of prompts.

    ``part_arrivals`` counts the requests with the part that reached an engine.
    """

    def __init__(self, fleet: Fleet, service: str, way: str, random: Random) -> None:
        self.random = random
        super().__init__(fleet, service, way)

    def new_engine(self, service: str, zone: str) -> EngineStandin:
        """Return a later boot of an engine, of which some have bare answers.

        These end inside an event: nobody can tell a close between two events from the
        end of the answer.
        """
        if self.random.random() >= BARE_SHARE:
            return EngineStandin(service, zone)
        engine = BareEngine(service, zone)
        engine.ends_in_event = True
        return engine

    def part_arrivals(self) -> int:
        """Return how many requests with the part have reached an engine."""
        engines = self.fleet.engines_of(self.service)
        requests = (request for engine in engines for request in engine.requests)
        return sum(map(_has_part, requests))

    def _prepare(self, engine: EngineStandin) -> None:
        super()._prepare(engine)
        engine.fatal_parts = frozenset((PART,))


class PartClients:
    """Calls with the part, none alike, beside sound ones that share all else."""

    def __init__(
        self, seed: int, fleet: Fleet, calls: list[Seen], engines: SoakEngines
    ) -> None:
        self.random = Random(f"parts {seed}")
        self.fleet = fleet
        self.calls = calls
        self.engines = engines
        self.ids = count(1)

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Make calls until the load ends, at times as a herd at one entry."""
        while not has_stopped():
            entry = self.random.randrange(entries)
            calls = [self._send(entry, PART)]
            herd = self.random.random() < HERD_SHARE
            for _ in range(HERD_CALLS if herd else 2):
                middle = f"m{self.random.randrange(MIDDLES)}"
                calls.append(self._send(entry, middle))
            await gather(*calls)
            await sleep(self.random.uniform(SHORTEST_PAUSE, LONGEST_PAUSE))

    async def problems(self, entries: int) -> list[str]:
        """Return whether requests with a part that is kept back reach engines."""
        if not self.fleet.store.newest("quarantine").get(SUBJECT):
            return []
        arrived = self.engines.part_arrivals()
        for number in range(entries):
            await self._send(number, PART)
        # One entry may try it once.
        if self.engines.part_arrivals() > arrived + 1:
            return ["requests with a part that is kept back have reached engines"]
        return []

    async def _send(self, entry: int, middle: str) -> None:
        number = next(self.ids)
        request_id = f"part-{number}-{self.random.randrange(10**9)}"
        place = len(self.calls)
        seen = Seen(request_id, PATH, PROMPT, None, b"")
        self.calls.append(seen)
        outcome = await self.fleet.call(
            PATH,
            entry,
            (PROMPT, 24),
            f"call {number}".encode(),
            request_id=request_id,
            x_deadline_ms="1500",
            x_prefix_hash=f"aa:5,{middle}:5,own{number}:10",
            connection="close",
        )
        if outcome.is_ok():
            answer = outcome.ok
            self.calls[place] = seen._replace(status=answer.status, body=answer.body)


def _has_part(request: Request) -> bool:
    return PART in shared_parts(request)
