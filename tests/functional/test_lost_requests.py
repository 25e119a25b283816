"""Whole requests on kept connections got neither an answer nor a refusal.

A timer that was due at the same time as their bytes came closed the connection. Here
callers send shortly before the idle limit while something delays the entry.
"""

from asyncio import create_task, gather, get_running_loop, open_connection, sleep
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from signal import SIGCONT, SIGSTOP, SIGTERM

import pytest

from tests.lib.kept_callers import KeptCallers, describe
from tests.lib.platform_fleet import HOST, KEY, ROUTES, Fleet, route
from tests.lib.waiting import until

CALLERS = 24
SECONDS = 6.0
"""For so many seconds callers call."""

IDLE_MS = 600
MILLISECONDS = 1000
LARGE_ROUTES = 1_400
CHANGE_SECONDS = 1.0
SHORTEST_STOP, LONGEST_STOP = 0.05, 0.8
LONGEST_GAP = 0.6
"""Seconds between two stops of the entry, at most."""

LIMITS_MS = (500, 700, 1000, 1500)
PREPAID = 1_000_000
TARGETS = ("/safe/x", "/once/x", "/stream/x")
EVENT_PAUSE = 0.04
"""Seconds between events: streams are answered while the entry is stopped."""

LARGE = tuple(
    route(f"/idle-{number}/", "safe", "desk") for number in range(LARGE_ROUTES)
)

ANSWERED_SECONDS, STOPPED_SECONDS, CONTINUED_SECONDS = 0.9, 0.7, 1.3
"""When an endpoint answers, and when the entry is stopped and goes on."""

LIMIT_SECONDS = 1.0
REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n"
    "x-request-id: r\r\nx-deadline-ms: 3000\r\ncontent-length: 0\r\n\r\n"
).encode()

Disturbance = Callable[[Fleet, Random], Awaitable[None]]


async def publish_large(fleet: Fleet, _: Random) -> None:
    """Write a large configuration each second."""
    fleet.configure(PREPAID, (*ROUTES, *LARGE))
    await sleep(CHANGE_SECONDS)


async def delay_entry(fleet: Fleet, random: Random) -> None:
    """Stop the entry's process for a moment."""
    process = fleet.entries[0].process
    with suppress(ProcessLookupError):
        process.send_signal(SIGSTOP)
        await sleep(random.uniform(SHORTEST_STOP, LONGEST_STOP))
        process.send_signal(SIGCONT)
    await sleep(random.uniform(0.0, LONGEST_GAP))


async def change_limit(fleet: Fleet, random: Random) -> None:
    """Raise or lower the idle limit."""
    fleet.idle_timeout_ms = random.choice(LIMITS_MS)
    fleet.configure(PREPAID)
    await sleep(random.uniform(0.2, CHANGE_SECONDS))


async def all_at_once(fleet: Fleet, random: Random) -> None:
    """Change limits in large configurations and delay the entry beside."""
    fleet.idle_timeout_ms = random.choice(LIMITS_MS)
    await gather(publish_large(fleet, random), delay_entry(fleet, random))


async def start(fleet: Fleet, seed: int) -> KeptCallers:
    """Start an entry with a short idle limit, and give callers of it."""
    fleet.idle_timeout_ms = IDLE_MS
    await fleet.start()
    for engine in fleet.engines:
        engine.pause = EVENT_PAUSE

    def idle_limit() -> float:
        return (fleet.idle_timeout_ms or 0) / MILLISECONDS

    return KeptCallers(fleet, seed, TARGETS, idle_limit)


def check(callers: KeptCallers) -> None:
    """Check that each request that the entry may have read was answered."""
    callers.delay.stop()
    lost = callers.lost()
    told = f"{len(lost)} of {len(callers.sent)} lost, {callers.reused} sent again"
    assert not lost, "\n".join((told, *describe(lost)))
    assert callers.reused > CALLERS, told


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "disturb", [publish_large, delay_entry, change_limit, all_at_once]
)
async def test_requests_sent_before_the_idle_limit_are_answered(
    fleet: Fleet, disturb: Disturbance, seed: int
) -> None:
    callers = await start(fleet, seed)
    random, clock = Random(seed), get_running_loop().time
    end = clock() + SECONDS
    calling = [
        create_task(callers.run(1, lambda: clock() >= end)) for _ in range(CALLERS)
    ]
    while clock() < end:
        await disturb(fleet, random)
    await gather(*calling)
    check(callers)


@pytest.mark.parametrize("stops", [False, True], ids=["on time", "delayed"])
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_requests_sent_in_a_planned_stop_are_answered(
    fleet: Fleet, seed: int, stops: bool
) -> None:
    callers = await start(fleet, seed)
    random, process = Random(seed), fleet.entries[0].process
    ended = create_task(process.wait())
    calling = [create_task(callers.run(1, ended.done)) for _ in range(CALLERS)]
    await until(lambda: callers.reused > CALLERS)
    process.send_signal(SIGTERM)
    while stops and not ended.done():
        await sleep(random.uniform(0.0, LONGEST_GAP))
        if not ended.done():
            await delay_entry(fleet, random)
    assert await ended == 0
    await gather(*calling)
    check(callers)


@pytest.mark.parametrize("path", ["/once/x", "/safe/x", "/stream-once/x", "/stream/x"])
async def test_an_answer_that_comes_within_the_time_limit_is_delivered(
    fleet: Fleet, path: str
) -> None:
    """The entry reads it only as its own time limit has passed."""
    await fleet.start(engines=1)
    process = fleet.entries[0].process
    for engine in fleet.engines:
        engine.reading_seconds = ANSWERED_SECONDS
    limit = str(int(LIMIT_SECONDS * MILLISECONDS))
    calling = create_task(fleet.call(path, request_id="r", x_deadline_ms=limit))
    await until(lambda: fleet.runs("r") == 1)
    await sleep(STOPPED_SECONDS)
    process.send_signal(SIGSTOP)
    await sleep(CONTINUED_SECONDS - STOPPED_SECONDS)
    process.send_signal(SIGCONT)
    assert (await calling).ok.status == 200


async def test_a_request_to_a_program_that_is_stopped_while_it_loads_is_answered(
    fleet: Fleet,
) -> None:
    """A program listens for callers before it has loaded its modules."""
    await fleet.start()
    old = fleet.entries[0]
    old.process.kill()
    await old.process.wait()
    await fleet.restart_entry(0)
    process = fleet.entries[0].process
    await until(lambda: is_listening(old.port))
    reader, writer = await open_connection("127.0.0.1", old.port)
    writer.write(REQUEST)
    process.send_signal(SIGTERM)
    assert (await reader.read()).startswith(b"HTTP/1.1 ")
    writer.close()
    assert await process.wait() == 0


async def is_listening(port: int) -> bool:
    try:
        _, writer = await open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True
