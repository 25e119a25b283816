"""What endpoints say of themselves in their answers: that they leave, or want a pause.

The store and the announcements in it say something else all the while.
"""

from asyncio import get_running_loop

import pytest

from tests.lib.crashing_engines import send, served
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import BODY, Fleet
from tests.lib.waiting import ticks

ENTRIES = 2
ENGINES = 2
PAUSE = 0.03
PATHS = ("/safe/x", "/once/x")
LEAVING_SECONDS = 2.0
"""Seconds after an answer that says so from which on no call may reach the endpoint."""

WATCHED_SECONDS = 4.0
WANTED_PAUSE = 2.0
GRACE_SECONDS = 0.5
"""Seconds of a wanted pause in which calls that were under way may still come."""

ALLOWED_IN_PAUSE = 2


def elapsed_since(start: float) -> float:
    """Return the seconds since ``start``."""
    return get_running_loop().time() - start


def reached(engine: EngineStandin, first: float, last: float) -> int:
    """Return how many requests reached an engine in a span after its first one."""
    start = engine.reached_at[0] if engine.reached_at else 0.0
    return sum(first < at - start < last for at in engine.reached_at)


@pytest.mark.parametrize(
    ("service", "paths"), [("desk", PATHS), ("pool", ("/stream/x", "/stream-once/x"))]
)
async def test_an_endpoint_that_says_it_leaves_gets_no_calls_two_seconds_later(
    fleet: Fleet, service: str, paths: tuple[str, ...]
) -> None:
    """Its announcement says that it is ready, and is renewed."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    assert (await fleet.call(paths[0])).is_ok()
    leaving = next(each for each in fleet.engines_of(service) if each.reached_at)
    leaving.reached_at.clear()
    leaving.says_leaving = True
    start = get_running_loop().time()
    calls = []
    async for number in ticks(PAUSE, lambda: elapsed_since(start) > WATCHED_SECONDS):
        fleet.store.put("servers", leaving.name, leaving.entry())
        path = paths[number % len(paths)]
        calls.append(send(fleet, path, number % ENTRIES, BODY))
    assert await served(calls) == len(calls)
    assert leaving.reached_at
    assert reached(leaving, LEAVING_SECONDS, WATCHED_SECONDS) == 0


async def test_an_endpoint_that_says_it_leaves_is_left_while_the_store_is_silent(
    fleet: Fleet,
) -> None:
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    leaving = fleet.engines_of("desk")[0]
    fleet.store.fault = "silent"
    leaving.says_leaving = True
    start = get_running_loop().time()
    calls = []
    async for number in ticks(PAUSE, lambda: elapsed_since(start) > WATCHED_SECONDS):
        calls.append(send(fleet, "/safe/x", number % ENTRIES, BODY))
    assert await served(calls) == len(calls)
    assert leaving.reached_at
    assert reached(leaving, LEAVING_SECONDS, WATCHED_SECONDS) == 0


async def test_an_endpoint_that_asks_for_a_pause_gets_it(fleet: Fleet) -> None:
    await fleet.start(engines=ENGINES)
    pausing = fleet.engines_of("desk")[0]
    pausing.wants_pause = WANTED_PAUSE
    start = get_running_loop().time()
    calls = []
    async for _ in ticks(PAUSE, lambda: elapsed_since(start) > WATCHED_SECONDS):
        calls.append(send(fleet, "/safe/x", 0, BODY))
    assert await served(calls) == len(calls)
    assert pausing.reached_at
    assert reached(pausing, GRACE_SECONDS, WANTED_PAUSE) <= ALLOWED_IN_PAUSE


async def test_callers_hear_at_once_when_all_endpoints_want_a_pause(
    fleet: Fleet,
) -> None:
    await fleet.start(engines=ENGINES)
    for engine in fleet.engines_of("desk"):
        engine.wants_pause = WANTED_PAUSE
    start = get_running_loop().time()
    calls = []
    async for _ in ticks(PAUSE, lambda: elapsed_since(start) > WANTED_PAUSE - PAUSE):
        calls.append(send(fleet, "/once/x", 0, BODY))
    answers = [(call.at - start, (await call.outcome).ok) for call in calls]
    assert {answer.status for _, answer in answers} == {503}
    told_by = max(engine.reached_at[0] for engine in fleet.engines_of("desk")) - start
    early = [
        float(answer.headers["retry-after"])
        for at, answer in answers
        if told_by + PAUSE < at < told_by + GRACE_SECONDS
    ]
    assert min(early) >= WANTED_PAUSE - GRACE_SECONDS - PAUSE
    assert len(set(early)) > len(early) / 2
    for engine in fleet.engines_of("desk"):
        assert reached(engine, GRACE_SECONDS, WANTED_PAUSE) <= ALLOWED_IN_PAUSE
