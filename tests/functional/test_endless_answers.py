"""Engines that send bytes without end, beside sound ones, before the entry program."""

from asyncio import create_task, gather, get_running_loop
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

import pytest

from tests.functional.test_slow_readers import peak_memory
from tests.lib.endless_engine import (
    PLAIN_WAYS,
    STREAM_WAYS,
    EndlessEngine,
    Way,
)
from tests.lib.platform_engine import WHOLE_ANSWER, WHOLE_STREAM
from tests.lib.platform_fleet import MILLISECONDS, Entry, Fleet
from tests.lib.waiting import until

MEMORY_MB = 128
CALLS = 50
FEW_CALLS = 8
LIMIT_SECONDS = 4.0
"""Time limit of each call."""

PROMPT_SECONDS = 2.0
"""Seconds within which calls that may run once are answered, or refused."""

CLOSED_SECONDS = 2.0
SERVED_SECONDS = 5.0
SERVED = 0.9
"""Least part of the streams that are served; others may be refused under load."""

SERVED_BESIDE = 0.5
"""The same of streams beside calls without end, one after another."""

MAX_LINES = 8 * (CALLS + FEW_CALLS)
"""Most log lines of an entry: some for each call."""

UNDETECTED_ONCE = ("slow body",)
"""Ways that a call which may run once cannot tell from a slow answer in time."""


class Outcome(NamedTuple):
    """The outcome of a call, and how many seconds it took."""

    result: Any
    seconds: float


async def start(fleet: Fleet, way: Way, sound: int = 1) -> list[EndlessEngine]:
    """Start an entry of the smallest size before an engine without end of each service.

    ``sound`` is the number of sound engines of each service.
    """
    await fleet.start(entries=0, engines=sound)
    engines = []
    for service in ("pool", "desk"):
        engine = EndlessEngine(service)
        engine.way = way
        await engine.start()
        fleet.engines.append(engine)
        fleet.store.put("servers", engine.name, engine.entry())
        engines.append(engine)
    await fleet.add_entry("edge-0", "z0", memory_mb=MEMORY_MB)
    return engines


async def timed(fleet: Fleet, target: str) -> Outcome:
    """Send a call and take its time."""
    time = get_running_loop().time
    began = time()
    limit = str(round(LIMIT_SECONDS * MILLISECONDS))
    result = await fleet.call(target, x_deadline_ms=limit)
    return Outcome(result, time() - began)


async def call_at_once(fleet: Fleet, target: str, calls: int) -> list[Outcome]:
    """Return the outcomes of some calls that are sent at once."""
    return await gather(*(timed(fleet, target) for _ in range(calls)))


def statuses(outcomes: Iterable[Outcome]) -> list[int]:
    """Return the statuses of answers, 0 of those that broke off."""
    results = (outcome.result for outcome in outcomes)
    return [0 if result.is_error() else result.ok.status for result in results]


def longest(outcomes: Iterable[Outcome]) -> float:
    """Return the seconds that the slowest call took."""
    return max(outcome.seconds for outcome in outcomes)


def bodies(outcomes: Iterable[Outcome]) -> set[bytes]:
    """Return the bodies of successful answers."""
    results = [outcome.result for outcome in outcomes]
    return {each.ok.body for each in results if each.is_ok() and each.ok.status == 200}


async def all_closed(engines: list[EndlessEngine]) -> None:
    """Wait until no channel is open on which an engine sends."""
    await until(lambda: not any(engine.open for engine in engines), CLOSED_SECONDS)


def check_bounds(entry: Entry) -> None:
    """Check the memory of an entry, and the number of its log lines."""
    assert peak_memory(entry) < MEMORY_MB
    assert len(entry.lines()) < MAX_LINES


@pytest.mark.parametrize("way", PLAIN_WAYS)
async def test_plain_calls_are_served_beside_an_engine_without_end(
    fleet: Fleet, way: str
) -> None:
    """Guards against endless answers that hold calls until their time limits."""
    engines = await start(fleet, PLAIN_WAYS[way])
    once = await call_at_once(fleet, "/once/x", FEW_CALLS)
    safe = await call_at_once(fleet, "/safe/x", CALLS)
    await all_closed(engines)
    assert engines[1].runs
    assert Counter(statuses(safe)) == {200: CALLS}
    assert bodies(safe) | bodies(once) == {WHOLE_ANSWER}
    assert max(fleet.runs(f"r{number}") for number in range(1, FEW_CALLS + 1)) == 1
    if way in UNDETECTED_ONCE:
        assert set(statuses(once)) <= {200, 504}
    else:
        assert set(statuses(once)) <= {200, 502, 503}
        assert longest(once) < PROMPT_SECONDS
    check_bounds(fleet.entries[0])


@pytest.mark.parametrize("way", ["fields", "no answer", "body", "chunks", "failure"])
async def test_many_calls_that_may_run_once_keep_within_the_memory(
    fleet: Fleet, way: str
) -> None:
    """Guards against an entry that keeps endless bytes and ends with all its calls."""
    engines = await start(fleet, PLAIN_WAYS[way], sound=0)
    once = await call_at_once(fleet, "/once/x", CALLS)
    await all_closed(engines)
    assert engines[1].runs
    assert set(statuses(once)) <= {502, 503}
    assert max(engines[1].runs.values()) == 1
    check_bounds(fleet.entries[0])


@pytest.mark.parametrize("way", STREAM_WAYS)
async def test_streams_go_on_beside_an_engine_without_end(
    fleet: Fleet, way: str
) -> None:
    """Guards against endless answers that hold streams until their time limits."""
    engines = await start(fleet, STREAM_WAYS[way])
    once = await call_at_once(fleet, "/stream-once/x", FEW_CALLS)
    resumed = await call_at_once(fleet, "/stream/x", CALLS)
    await all_closed(engines)
    assert engines[0].runs
    assert longest(once) < PROMPT_SECONDS
    assert all(body.endswith(WHOLE_STREAM) for body in bodies(resumed) | bodies(once))
    counted = Counter(statuses(resumed))
    assert counted[200] >= SERVED * CALLS
    assert counted[200] + counted[429] + counted[503] == CALLS
    check_bounds(fleet.entries[0])


async def test_streams_are_served_while_an_engine_sends_without_end(
    fleet: Fleet,
) -> None:
    """Guards against endless answers that take all processor time of an entry."""
    engines = await start(fleet, PLAIN_WAYS["small chunks"], sound=0)
    await engines[0].stop()
    fleet.store.put("servers", engines[0].name, b"")
    await fleet.add_engine("pool")
    await until(lambda: is_served(fleet), SERVED_SECONDS)
    endless = create_task(call_at_once(fleet, "/safe/x", CALLS))
    beside = [await timed(fleet, "/stream/x")]
    while not endless.done():
        beside.append(await timed(fleet, "/stream/x"))
    assert set(statuses(endless.result())) <= {502, 503, 504}
    assert set(statuses(beside)) <= {200, 429, 503}
    assert statuses(beside).count(200) >= SERVED_BESIDE * len(beside)
    assert longest(beside) < LIMIT_SECONDS
    check_bounds(fleet.entries[0])


async def is_served(fleet: Fleet) -> bool:
    """Tell whether a stream is served."""
    return statuses([await timed(fleet, "/stream/x")]) == [200]
