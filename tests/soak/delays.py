"""Entries in the soak whose event loops run late: stopped for a moment."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from signal import SIGCONT, SIGSTOP

from tests.lib.platform_fleet import Fleet

SHORTEST_DELAY, LONGEST_DELAY = 0.05, 0.8
LONGEST_GAP = 1.0
"""Seconds between two delays, at most."""


class Delays:
    """Delays one entry after another; ``paused`` counts pauses by other faults."""

    def __init__(self, seed: int, fleet: Fleet, paused: Counter[str]) -> None:
        self.random = Random(f"delays {seed}")
        self.fleet = fleet
        self.paused = paused
        self.made = 0

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Delay entries until the load ends."""
        while not has_stopped():
            await sleep(self.random.uniform(0.0, LONGEST_GAP))
            await self._delay(self.random.randrange(entries))

    async def _delay(self, number: int) -> None:
        """Stop an entry for a moment, and wake it unless another fault pauses it."""
        entry = self.fleet.entries[number]
        seconds = self.random.uniform(SHORTEST_DELAY, LONGEST_DELAY)
        with suppress(ProcessLookupError):
            entry.process.send_signal(SIGSTOP)
            self.made += 1
            await sleep(seconds)
            if not self.paused[entry.name]:
                entry.process.send_signal(SIGCONT)
