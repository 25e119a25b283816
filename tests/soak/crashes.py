"""Engines that end in the soak: under one request, and by themselves."""

from asyncio import sleep
from collections.abc import Callable
from itertools import count
from random import Random

from clementinebend_relay.fingerprints import fingerprint_of
from clementinebend_relay.models import Call
from tests.lib.crashing_engines import ALLOWED_ENDS, FATAL
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import HOST, TEAM, Fleet
from tests.soak.parts import SUBJECT, SoakEngines
from tests.soak.promises import Seen

PATH = "/stream/x"
WAYS = ("reset", "head", "event")
SERVICE = "pool"
PROMPT = 20

ENDS_SHARE = 0.2
"""Part of the turns in which an engine is disturbed, too."""

LONGEST_LEAVING = 1.0
LONGEST_PAUSE = 2.0

FATAL_CALL = Call("", "POST", PATH, HOST, (), FATAL, None, None, (), 0, 0, None)


class Crashes:
    """One request that ends what runs it, among many that harm nothing."""

    def __init__(self, seed: int, fleet: Fleet, calls: list[Seen]) -> None:
        self.random = Random(f"crashes {seed}")
        self.fleet = fleet
        self.calls = calls
        self.ids = count(1)
        way = self.random.choice(WAYS)
        self.engines = SoakEngines(fleet, SERVICE, way, self.random)

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Send the fatal request, and end engines, until the load ends."""
        while not has_stopped():
            await self._send(self.random.randrange(entries))
            if self.random.random() < ENDS_SHARE:
                await self._disturb(self.random.choice(self.fleet.engines_of(SERVICE)))
            await sleep(self.random.uniform(0.05, 0.6))

    async def _disturb(self, engine: EngineStandin) -> None:
        """Let an engine end, leave with a word before, or ask for a pause."""
        match self.random.choice(("end", "leave", "pause")):
            case "end":
                await engine.crash()
            case "leave":
                engine.says_leaving = True
                await sleep(self.random.uniform(0.1, LONGEST_LEAVING))
                await engine.crash()
            case "pause":
                engine.wants_pause = self.random.uniform(0.1, LONGEST_PAUSE)
                await sleep(engine.wants_pause)
                engine.wants_pause = None

    async def problems(self, entries: int) -> list[str]:
        """Return what is kept back falsely, and what is not kept back, at the end."""
        fatal = fingerprint_of(FATAL_CALL, TEAM)
        recorded = {
            key for key, value in self.fleet.store.newest("quarantine").items() if value
        }
        problems = [
            f"{name} harms nothing, kept back" for name in recorded - {fatal, SUBJECT}
        ]
        if fatal in recorded:
            arrived = len(self.engines.arrivals())
            for number in range(entries):
                await self._send(number)
            if len(self.engines.arrivals()) > arrived:
                problems.append("a request that is kept back has reached an engine")
            if len(self.engines.ends) < ALLOWED_ENDS:
                problems.append("a request was kept back after fewer ends than allowed")
        await self.engines.stop()
        return problems

    async def _send(self, entry: int) -> None:
        request_id = f"fatal-{next(self.ids)}"
        place = len(self.calls)
        seen = Seen(request_id, PATH, PROMPT, None, b"")
        self.calls.append(seen)
        outcome = await self.fleet.call(
            PATH,
            entry,
            (PROMPT, 24),
            FATAL,
            request_id=request_id,
            x_deadline_ms="1500",
        )
        if outcome.is_ok():
            answer = outcome.ok
            self.calls[place] = seen._replace(status=answer.status, body=answer.body)
