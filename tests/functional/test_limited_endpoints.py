"""Endpoints in need name in their answers how many requests a second they take.

The limit is one for all entries together, whoever heard of it.
"""

from asyncio import create_task, get_running_loop
from collections.abc import Sequence
from typing import Any

import pytest

from tests.lib.crashing_engines import Sent, send, served
from tests.lib.limit_rule import (
    STABILITY_SECONDS,
    WINDOW_SECONDS,
    allowed_in_window,
    most_in_window,
)
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import BODY, Fleet
from tests.lib.waiting import ticks

ENTRIES = 3
ENGINES = 4
PAUSE = 0.025
WATCHED_SECONDS = STABILITY_SECONDS + 1.5 * WINDOW_SECONDS
PLAIN = ("/safe/x", "/once/x")
STREAMS = ("/stream/x", "/stream-once/x")
PROMPT_ANSWER_SECONDS = 0.3
"""Seconds within which a caller that can't be served hears so."""


async def load(fleet: Fleet, paths: Sequence[str]) -> list[Sent]:
    """Send calls to all entries in turn for ``WATCHED_SECONDS``, each of a session."""
    loop = get_running_loop()
    start = loop.time()
    calls = []
    async for number in ticks(PAUSE, lambda: loop.time() > start + WATCHED_SECONDS):
        path = paths[number % len(paths)]
        session = f"s{number}:50,o{number}:50"
        headers = {"x_prefix_hash": session} if "stream" in path else {}
        call = fleet.call(path, number % ENTRIES, (100, 24), BODY, **headers)
        calls.append(Sent(loop.time(), create_task(call)))
    return calls


def most_requests(engine: EngineStandin) -> int:
    """Return the most requests that an engine got in a window of the rule.

    All requests of the load count, also those of entries that were not told.
    """
    return most_in_window(engine.reached_at, engine.reached_at[0])


@pytest.mark.parametrize("gateways", [0, 1])
@pytest.mark.parametrize(
    ("service", "paths"), [("desk", PLAIN), ("pool", STREAMS)], ids=["plain", "streams"]
)
@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
async def test_an_endpoint_gets_no_more_than_the_limit_that_it_names(
    fleet: Fleet, service: str, paths: tuple[str, ...], limit: float, gateways: int
) -> None:
    """The other endpoints take what it can't; nobody is turned away."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    for number in range(gateways):
        await fleet.add_gateway(f"side-{number}")
    assert (await fleet.call(paths[0])).is_ok()
    limited = next(each for each in fleet.engines_of(service) if each.reached_at)
    limited.reached_at.clear()
    limited.server_limit = str(limit)
    calls = await load(fleet, paths)
    assert await served(calls) == len(calls)
    assert limited.reached_at
    assert most_requests(limited) <= allowed_in_window(limit)


async def test_the_sum_of_the_limits_is_served_when_all_endpoints_are_in_need(
    fleet: Fleet,
) -> None:
    """Who can't be served hears so at once, and when to return."""
    limit = 2.0
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    await fleet.add_gateway("side-0")
    engines = fleet.engines_of("desk")
    for engine in engines:
        engine.server_limit = str(limit)
    calls = await load(fleet, ("/once/x",))
    answers = [(call, (await call.outcome).ok) for call in calls]
    assert {answer.status for _, answer in answers} == {200, 503}
    for engine in engines:
        assert most_requests(engine) <= allowed_in_window(limit)
    start = calls[0].at + STABILITY_SECONDS
    sums = [sum(at >= start for at in engine.reached_at) for engine in engines]
    seconds = WATCHED_SECONDS - STABILITY_SECONDS
    assert sum(sums) >= 0.9 * limit * len(engines) * seconds
    pauses = {
        answer.headers["retry-after"] for _, answer in answers if answer.status == 503
    }
    assert len(pauses) > len(engines)


@pytest.mark.parametrize("text", ["soon", "nan", "-1", "1" * 400, "inf"])
async def test_a_limit_that_is_no_number_changes_nothing(
    fleet: Fleet, text: str
) -> None:
    await fleet.start(engines=2)
    for engine in fleet.engines_of("desk"):
        engine.server_limit = text
    calls: list[Any] = []
    async for _ in ticks(PAUSE, lambda: len(calls) >= 40):
        calls.append(send(fleet, "/once/x", 0, BODY))
    assert await served(calls) == len(calls)
    lines = fleet.entries[0].lines()
    assert any(line["message"] == "endpoint limit refused" for line in lines)
    assert not any(line["message"] == "endpoint limited" for line in lines)
