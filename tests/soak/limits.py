"""Engines in need in the soak: they name how many requests a second they take."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from tests.lib.limit_rule import (
    STABILITY_SECONDS,
    allowed_in_window,
    most_in_window,
)
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet

RATES = (0.0, 0.4, 1.8, 1_000_000.0)
ALL_SHARE = 0.25
"""Share of the spans in which all engines of a service are in need."""

SHORTEST, LONGEST = 3.5, 7.0
MAX_PAUSE = 2.0


class LimitedSpan(NamedTuple):
    """A span in which one engine named a limit in all its answers."""

    engine: EngineStandin
    rate: float
    began: float
    ended: float


class Limits:
    """Lets one engine, or all of a service, name a limit for a while, in turn."""

    def __init__(self, seed: int, fleet: Fleet) -> None:
        self.random = Random(f"limits {seed}")
        self.fleet = fleet
        self.clock = get_running_loop().time
        self.spans: list[LimitedSpan] = []

    async def run(self, has_stopped: Callable[[], bool]) -> None:
        """Let engines name limits until the load ends."""
        while not has_stopped():
            engines = self._choose()
            rate, began = self.random.choice(RATES), self.clock()
            for engine in engines:
                engine.server_limit = str(rate)
            await sleep(self.random.uniform(SHORTEST, LONGEST))
            for engine in engines:
                engine.server_limit = None
                self.spans.append(LimitedSpan(engine, rate, began, self.clock()))
            await sleep(self.random.uniform(0.0, MAX_PAUSE))

    def _choose(self) -> list[EngineStandin]:
        engine = self.random.choice(self.fleet.engines)
        if self.random.random() >= ALL_SHARE:
            return [engine]
        return self.fleet.engines_of(engine.service)

    def problems(self, cuts: list[tuple[float, float]]) -> list[str]:
        """Return the engines that got more than their limit allows.

        A span is left out if an engine's link was cut then: requests that were held up
        arrive together.
        """
        return [
            f"{span.engine.name} got {most} requests at a limit of {span.rate}"
            for span in self.spans
            if not any(_overlaps(cut, span) for cut in cuts)
            and (most := _most(span)) > allowed_in_window(span.rate)
        ]


def _most(span: LimitedSpan) -> int:
    times = [at for at in span.engine.reached_at if span.began <= at <= span.ended]
    return most_in_window(times, times[0]) if times else 0


def _overlaps(cut: tuple[float, float], span: LimitedSpan) -> bool:
    began, ended = cut
    return began < span.ended and ended > span.began - STABILITY_SECONDS
