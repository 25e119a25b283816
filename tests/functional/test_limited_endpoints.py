"""Endpoints in need name in their answers how many requests a second they take.

The limit is one for all entries together, whoever heard of it.
"""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import Sequence
from signal import SIGCONT, SIGSTOP
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
from tests.lib.platform_fleet import BODY, Entry, Fleet
from tests.lib.waiting import ticks, until

ENTRIES = 3
ENGINES = 4
PAUSE = 0.025
WATCHED_SECONDS = STABILITY_SECONDS + 1.5 * WINDOW_SECONDS
PLAIN = ("/safe/x", "/once/x")
STREAMS = ("/stream/x", "/stream-once/x")
DISTURBANCES = 3
DISTURBANCE_SECONDS = 2.0
RETURN_SECONDS = 4.0
"""Seconds in which an endpoint whose limit has ended gets calls again."""


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


@pytest.mark.parametrize("fault", ["killed", "paused"])
async def test_the_limit_holds_while_who_grants_permits_is_gone(
    fleet: Fleet, fault: str
) -> None:
    """It is killed and started again, or stopped for two seconds, three times."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    gateway = await fleet.add_gateway("side-0")
    limited = fleet.engines_of("desk")[0]
    limited.server_limit = "1.8"
    disturbing = create_task(disturb(fleet, gateway, fault))
    calls = await load(fleet, PLAIN)
    await disturbing
    assert await served(calls) == len(calls)
    assert most_requests(limited) <= allowed_in_window(1.8)


async def disturb(fleet: Fleet, gateway: Entry, fault: str) -> None:
    """Kill or pause a gateway some times while calls go on."""
    for _ in range(DISTURBANCES):
        await sleep(DISTURBANCE_SECONDS / 2)
        if fault == "killed":
            gateway.process.kill()
            await gateway.process.wait()
            gateway = await fleet.add_gateway("side-0")
            continue
        gateway.process.send_signal(SIGSTOP)
        await sleep(DISTURBANCE_SECONDS)
        gateway.process.send_signal(SIGCONT)


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


@pytest.mark.parametrize("fault", ["", "full", "fail", "other"])
async def test_a_limit_is_read_in_answers_of_every_kind(
    fleet: Fleet, fault: str
) -> None:
    """Successes, requests that are turned away unrun, failures, and 421 of itself."""
    await fleet.start(engines=2)
    limited = fleet.engines_of("desk")[0]
    limited.server_limit, limited.fault = "0.4", fault
    async for _ in ticks(PAUSE, lambda: bool(limited.reached_at)):
        await fleet.call("/once/x")
    await until(lambda: has_logged(fleet, "endpoint limited"))


async def test_an_endpoint_whose_limit_ends_is_no_longer_limited(fleet: Fleet) -> None:
    """Also if it took nothing: one call in a while finds out."""
    await fleet.start(entries=ENTRIES, engines=2)
    limited = fleet.engines_of("desk")[0]
    limited.server_limit = "0"
    calls: list[Sent] = []
    async for number in ticks(PAUSE, lambda: has_logged(fleet, "endpoint limited")):
        calls.append(send(fleet, "/safe/x", number % ENTRIES, BODY))
    limited.server_limit = None
    async for number in ticks(PAUSE, lambda: has_logged(fleet, "endpoint limit ended")):
        calls.append(send(fleet, "/safe/x", number % ENTRIES, BODY))
    before = len(limited.reached_at)
    loop = get_running_loop()
    back_at = loop.time() + RETURN_SECONDS
    async for number in ticks(PAUSE, lambda: loop.time() > back_at):
        calls.append(send(fleet, "/safe/x", number % ENTRIES, BODY))
    assert await served(calls) == len(calls)
    assert len(limited.reached_at) - before >= RETURN_SECONDS


def has_logged(fleet: Fleet, message: str) -> bool:
    """Return whether an entry has logged a line with a message."""
    lines = (line for entry in fleet.entries for line in entry.lines())
    return any(line.get("message") == message for line in lines)
