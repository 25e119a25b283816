"""How late the event loop of the test's own process runs."""

from asyncio import Task, create_task, get_running_loop, sleep
from typing import NamedTuple

TICK_SECONDS = 0.01
REACTION_SECONDS = 0.05
"""Seconds that a late iteration is looked for before an event that was seen."""


class Tick(NamedTuple):
    """When a timer fired, and how many seconds late."""

    at: float
    delay: float


class LoopDelay:
    """Measures the delay of the running event loop until it is stopped."""

    def __init__(self) -> None:
        self.clock = get_running_loop().time
        self.ticks: list[Tick] = []
        self.task: Task[None] = create_task(self._measure())

    def stop(self) -> None:
        """Measure no more."""
        self.task.cancel()

    def longest(self) -> float:
        """Return the longest delay in seconds, 0 before the first tick."""
        return max((tick.delay for tick in self.ticks), default=0.0)

    def before(self, at: float) -> float:
        """Return by how many seconds an event that was seen at ``at`` may be older."""
        since = at - REACTION_SECONDS
        ticks = (tick for tick in reversed(self.ticks) if tick.at <= at)
        recent = [tick.delay for tick in ticks if tick.at >= since]
        return max(recent, default=at - self._last_at(at))

    def _last_at(self, at: float) -> float:
        ticks = (tick.at for tick in reversed(self.ticks) if tick.at <= at)
        return next(ticks, at)

    async def _measure(self) -> None:
        while True:
            due = self.clock() + TICK_SECONDS
            await sleep(TICK_SECONDS)
            now = self.clock()
            self.ticks.append(Tick(now, now - due))
