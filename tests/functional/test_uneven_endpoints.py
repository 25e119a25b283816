"""Plain calls of entry programs to endpoints of uneven pace."""

from asyncio import Task, create_task, get_running_loop
from collections import Counter
from typing import NamedTuple

import pytest

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet
from tests.lib.waiting import ticks

pytestmark = pytest.mark.capacity

ENTRIES = 4
ENGINES = 8
SLOW = 2
WATCHED_SECONDS = 8.0
RECOVERY_SECONDS = 3.0
TICK_SECONDS = 0.005


class Sent(NamedTuple):
    """A call that was answered with ``status`` after ``elapsed`` seconds."""

    status: int
    elapsed: float


async def load(fleet: Fleet, rate: float, seconds: float) -> list[Sent]:
    """Send ``rate`` plain calls a second that may not be repeated, to all entries."""
    loop = get_running_loop()

    async def send(number: int) -> Sent:
        at = loop.time()
        answer = await fleet.call("/once/x", number % ENTRIES)
        status = answer.ok.status if answer.is_ok() else 0
        return Sent(status, loop.time() - at)

    start = loop.time()
    calls: list[Task[Sent]] = []
    async for _ in ticks(TICK_SECONDS, lambda: loop.time() > start + seconds):
        due = round((loop.time() - start) * rate)
        calls.extend(create_task(send(each)) for each in range(len(calls), due))
    return [await call for call in calls]


async def start(fleet: Fleet, work: float, factor: float) -> list[EngineStandin]:
    """Start entries and engines, ``SLOW`` of which take ``factor`` times as long."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    engines = fleet.engines_of("desk")
    for index, engine in enumerate(engines):
        engine.work_seconds = work * (factor if index < SLOW else 1.0)
    return engines


@pytest.mark.parametrize(
    ("rate", "work", "factor", "limit", "bound"),
    [(60, 0.05, 6.0, 0.25, 0.04), (75, 0.2, 3.0, 0.5, 0.09)],
    ids=["six times", "three times"],
)
async def test_few_calls_are_late_if_two_of_eight_endpoints_are_slow(
    fleet: Fleet, rate: float, work: float, factor: float, limit: float, bound: float
) -> None:
    """Guards against a choice by running calls alone: 13 % went to the slow ones."""
    engines = await start(fleet, work, factor)
    calls = await load(fleet, rate, WATCHED_SECONDS)
    assert Counter(call.status for call in calls) == {200: len(calls)}
    assert sum(call.elapsed > limit for call in calls) <= bound * len(calls)
    counts = [len(engine.arrived_at) for engine in engines]
    assert sum(counts[:SLOW]) <= bound * len(calls)


async def test_an_endpoint_that_recovers_gets_its_share_back(fleet: Fleet) -> None:
    engines = await start(fleet, 0.05, 6.0)
    await load(fleet, 60, 4.0)
    for engine in engines:
        engine.work_seconds = 0.05
    await load(fleet, 60, RECOVERY_SECONDS)
    before = [len(engine.arrived_at) for engine in engines]
    calls = await load(fleet, 60, 4.0)
    after = [len(engine.arrived_at) for engine in engines]
    for index in range(SLOW):
        assert (after[index] - before[index]) / len(calls) > 0.6 / ENGINES


async def test_a_slow_call_is_explained_by_its_entry(fleet: Fleet) -> None:
    """An entry logs what the choice for a call knew."""
    await start(fleet, 0.05, 6.0)
    await load(fleet, 60, 2.0)
    known = [line for entry in fleet.entries for line in entry.lines()]
    chosen = [line for line in known if line.get("expected_s") is not None]
    assert chosen
    assert all(line["usual_s"] <= line["expected_s"] for line in chosen)
    assert all(line["running"] >= 0 for line in chosen)
    assert any(line["service_age_s"] is not None for line in chosen)
