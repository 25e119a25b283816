"""Clients that do not keep to the limits, at an entry with little memory.

The crowd is a process of its own. Nothing here depends on how fast the machine is:
the entry lives, its memory and its descriptors stay within the limits of its machine,
and ordinary callers are answered.
"""

from asyncio import create_task, sleep, subprocess, timeout
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from resource import RLIMIT_NOFILE, prlimit
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from sys import executable

import pytest

from clementinebend_transport.http_client import Answer, HttpClient
from clementinebend_transport.http_types import Request
from tests.lib.crowd import MAX_BODY_BYTES, SCRIPTS, Manner, chunk, many_fields
from tests.lib.platform_engine import WHOLE_STREAM
from tests.lib.platform_fleet import HOST, KEY, Entry, Fleet
from tests.lib.process_use import UseWatch
from tests.lib.raw_calls import HEAD_END, RawAnswer, send_raw
from tests.lib.waiting import until

pytestmark = pytest.mark.crowd

MEMORY_MB = 120
MEBIBYTE = 2**20
MAX_FDS = 4100
CLIENTS = 200
FEW_FDS = 500
"""Descriptors of a machine of which files may take 200: 300 sockets."""

MANY_CLIENTS = 600
LARGE_BODY = b"x" * MEBIBYTE
WAIT_SECONDS = 30.0
"""Longest wait for an answer to a caller that comes back until it has one."""

RETURN_SECONDS = 0.2
RELOADS = 5
IN_PROGRESS = "in-progress"
NOT_RUN = (429, 503)
FREEZE_SECONDS = 3.0
SLOW_EVENT_SECONDS = 0.2
"""Pause before each of the eight events of a stream that a stop finds in progress."""

TINY_BODY = b"0123456789" * 10_000
SMALL_CHUNKS = [1, 2, 7, 9]


@asynccontextmanager
async def crowd(
    port: int, script: str, clients: int, manner: Manner = Manner.STAY
) -> AsyncIterator[Process]:
    """Run a crowd at a port, from the moment at which it is placed."""
    words = (str(port), script, str(clients), manner)
    process = await subprocess.create_subprocess_exec(
        executable,
        "-m",
        "tests.lib.crowd",
        *words,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        assert await process.stdout.readline()
        yield process
    finally:
        process.kill()
        await process.communicate()


async def start(
    fleet: Fleet, memory_mb: int = MEMORY_MB, max_fds: int = MAX_FDS
) -> Entry:
    """Start an entry on a small machine, whose system enforces the descriptors."""
    await fleet.start(entries=0)
    entry = await fleet.add_entry("edge-0", "z0", memory_mb=memory_mb, max_fds=max_fds)
    prlimit(entry.process.pid, RLIMIT_NOFILE, (max_fds, max_fds))
    return entry


async def status(fleet: Fleet, path: str, body: bytes) -> int:
    """Return the status of a call on a new connection, 0 without an answer."""
    kept, fleet.client = fleet.client, HttpClient()
    try:
        outcome = await fleet.call(path, body=body)
    finally:
        await fleet.client.close()
        fleet.client = kept
    return outcome.ok.status if outcome.is_ok() else 0


async def is_served(fleet: Fleet, path: str, body: bytes = b"{}") -> bool:
    """Call until the call is served, as ordinary callers do."""
    async with timeout(WAIT_SECONDS):
        for _ in count():
            if await status(fleet, path, body) == 200:
                return True
            await sleep(RETURN_SECONDS)
    return False


async def assert_harmless(
    fleet: Fleet,
    port: int,
    script: str,
    clients: int,
    manner: Manner = Manner.STAY,
) -> None:
    """Assert that a crowd leaves an entry alive, within its limits, and serving."""
    entry = fleet.entries[0]
    pid = entry.process.pid
    max_fds = prlimit(pid, RLIMIT_NOFILE)[0]
    async with UseWatch(pid, port) as watch:
        async with crowd(port, script, clients, manner):
            assert await is_served(fleet, "/safe/x"), entry.state()
            assert await is_served(fleet, "/stream/x"), entry.state()
            assert await is_served(fleet, "/safe/x", LARGE_BODY), entry.state()
        assert await is_served(fleet, "/safe/x", LARGE_BODY), entry.state()
    assert entry.process.returncode is None, entry.state()
    assert watch.most_memory <= MEMORY_MB * MEBIBYTE
    assert watch.most.descriptors < max_fds


@pytest.mark.parametrize("script", SCRIPTS)
async def test_a_crowd_that_stays_leaves_an_entry_serving(
    fleet: Fleet, script: str
) -> None:
    """Guards against a process that is ended for its memory by what it is sent."""
    entry = await start(fleet)
    await assert_harmless(fleet, entry.port, script, CLIENTS)


@pytest.mark.parametrize("manner", [Manner.RETURN, Manner.TRICKLE])
@pytest.mark.parametrize(
    "script",
    [
        "announced_short_of_end",
        "large_chunks_short_of_end",
        "small_chunks_short_of_end",
    ],
)
async def test_a_crowd_that_does_not_rest_leaves_an_entry_serving(
    fleet: Fleet, script: str, manner: Manner
) -> None:
    """Guards against clients that are refused, and take what others would get."""
    entry = await start(fleet)
    await assert_harmless(fleet, entry.port, script, CLIENTS, manner)


@pytest.mark.parametrize("script", ["nothing", "head_short_of_end", "many_fields"])
@pytest.mark.parametrize("manner", [Manner.STAY, Manner.RETURN])
async def test_more_clients_than_descriptors_leave_an_entry_serving(
    fleet: Fleet, script: str, manner: Manner
) -> None:
    """Guards against an entry that cannot connect to endpoints, or accept callers."""
    entry = await start(fleet, max_fds=FEW_FDS)
    await assert_harmless(fleet, entry.port, script, MANY_CLIENTS, manner)


@pytest.mark.parametrize(
    "script", ["large_chunks_short_of_end", "small_chunks_short_of_end", "many_fields"]
)
async def test_a_frozen_entry_wakes_beside_a_crowd(fleet: Fleet, script: str) -> None:
    """Guards against what waits in sockets, and is received at once."""
    entry = await start(fleet)
    async with UseWatch(entry.process.pid, entry.port) as watch:
        entry.process.send_signal(SIGSTOP)
        freezing = create_task(sleep(FREEZE_SECONDS))
        async with crowd(entry.port, script, CLIENTS, Manner.RETURN):
            await freezing
            entry.process.send_signal(SIGCONT)
            assert await is_served(fleet, "/safe/x"), entry.state()
    assert entry.process.returncode is None, entry.state()
    assert watch.most_memory <= MEMORY_MB * MEBIBYTE


@pytest.mark.parametrize(
    "script", ["announced_short_of_end", "small_chunks_short_of_end"]
)
async def test_settings_are_reloaded_beside_a_crowd(fleet: Fleet, script: str) -> None:
    """Guards against a reload that ends a process, or lifts its bounds."""
    entry = await start(fleet)
    async with (
        UseWatch(entry.process.pid, entry.port) as watch,
        crowd(entry.port, script, CLIENTS, Manner.RETURN),
    ):
        for _ in range(RELOADS):
            entry.process.send_signal(SIGHUP)
            assert await is_served(fleet, "/safe/x"), entry.state()
    assert entry.process.returncode is None, entry.state()
    assert watch.most_memory <= MEMORY_MB * MEBIBYTE


async def call_stream(fleet: Fleet) -> Answer:
    """Return the answer to a stream that is called until it is served."""
    for _ in count():
        outcome = await fleet.call("/stream/x", request_id=IN_PROGRESS)
        if outcome.is_ok() and outcome.ok.status not in NOT_RUN:
            return outcome.ok
        await sleep(RETURN_SECONDS)
    raise AssertionError


@pytest.mark.parametrize(
    "script", ["announced_short_of_end", "small_chunks_short_of_end"]
)
async def test_a_planned_stop_beside_a_crowd_cuts_no_stream(
    fleet: Fleet, script: str
) -> None:
    """Guards against a stop that a crowd holds up, at the cost of ordinary callers."""
    entry = await start(fleet)
    assert await is_served(fleet, "/stream/x")
    for engine in fleet.engines:
        engine.pause = SLOW_EVENT_SECONDS
    fleet.client = HttpClient()
    async with (
        UseWatch(entry.process.pid, entry.port) as watch,
        crowd(entry.port, script, CLIENTS),
        timeout(WAIT_SECONDS),
    ):
        stream = create_task(call_stream(fleet))
        await until(
            lambda: bool(fleet.runs(IN_PROGRESS)) or stream.done(), WAIT_SECONDS
        )
        entry.process.send_signal(SIGTERM)
        answer = await stream
        code = await entry.process.wait()
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)
    assert code != -SIGKILL
    assert watch.most_memory <= MEMORY_MB * MEBIBYTE


@pytest.mark.parametrize("door", ["ready_port", "metrics_port"])
@pytest.mark.parametrize(
    "script", ["announced_short_of_end", "small_chunks_short_of_end", "nothing"]
)
async def test_a_crowd_at_another_door_leaves_an_entry_serving(
    fleet: Fleet, door: str, script: str
) -> None:
    """Guards against the ports for readiness and metrics, which have limits, too."""
    entry = await start(fleet, max_fds=FEW_FDS)
    await assert_harmless(fleet, getattr(entry, door), script, MANY_CLIENTS)
    assert await fleet.is_ready(entry)


@pytest.mark.parametrize("script", ["nothing", "announced_short_of_end"])
async def test_a_crowd_at_a_gateway_leaves_it_forwarding(
    fleet: Fleet, script: str
) -> None:
    """Guards against a gateway without descriptors, or without memory."""
    await fleet.start(entries=0)
    gateway = await fleet.add_gateway("gateway-0")
    await until(lambda: fleet.reaches_store(gateway))
    prlimit(gateway.process.pid, RLIMIT_NOFILE, (FEW_FDS, FEW_FDS))
    async with UseWatch(gateway.process.pid, gateway.port) as watch:
        async with crowd(gateway.port, script, MANY_CLIENTS):
            pass
        fleet.client = HttpClient()
        await until(lambda: fleet.reaches_store(gateway), WAIT_SECONDS)
    assert gateway.process.returncode is None, gateway.state()
    assert watch.most_memory <= MEMORY_MB * MEBIBYTE
    assert watch.most.descriptors < FEW_FDS


def chunked_request(body: bytes, size: int, *fields: str) -> bytes:
    """Return an ordinary request whose body comes in chunks of a size."""
    lines = (
        "POST /once/x HTTP/1.1",
        f"host: {HOST}",
        f"authorization: Bearer {KEY}",
        "x-request-id: calm",
        "x-deadline-ms: 4000",
        "connection: close",
        "transfer-encoding: chunked",
        *fields,
    )
    pieces = (body[start : start + size] for start in range(0, len(body), size))
    chunks = b"".join(map(chunk, pieces))
    return "\r\n".join(lines).encode() + HEAD_END + chunks + b"0\r\n\r\n"


async def send_calm(fleet: Fleet, request: bytes) -> RawAnswer:
    """Send one request to an entry without a crowd."""
    entry = await start(fleet)
    return await send_raw(entry.port, request)


@pytest.mark.parametrize("size", SMALL_CHUNKS)
async def test_a_body_in_small_chunks_is_served_in_calm(
    fleet: Fleet, size: int
) -> None:
    """Guards against a refusal of what is inside the limits, however it is cut."""
    answer = await send_calm(fleet, chunked_request(TINY_BODY, size))
    assert answer.status == 200
    assert [each.body for each in run_requests(fleet)] == [TINY_BODY]


async def test_the_largest_body_is_served_in_calm(fleet: Fleet) -> None:
    """Guards against a bound that the largest allowed body meets."""
    body = b"y" * MAX_BODY_BYTES
    answer = await send_calm(fleet, chunked_request(body, 64))
    assert answer.status == 200
    assert [each.body for each in run_requests(fleet)] == [body]


async def test_a_head_with_many_fields_is_served_in_calm(fleet: Fleet) -> None:
    """Guards against a bound that a head within the limit meets."""
    fields = [f"g{each}:" for each in range(1_500)]
    assert many_fields().count(b"\r\n") > len(fields)
    answer = await send_calm(fleet, chunked_request(b"z", 1, *fields))
    assert answer.status == 200
    assert [each.body for each in run_requests(fleet)] == [b"z"]


def run_requests(fleet: Fleet) -> list[Request]:
    """Return the requests that engines have run, for plain services."""
    return [each for engine in fleet.engines_of("desk") for each in engine.requests]
