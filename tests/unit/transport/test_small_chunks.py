"""Bodies of requests that come in very small chunks."""

from asyncio import create_task, sleep
from time import process_time

import pytest

from clementinebend_transport.http_server import HttpServer
from clementinebend_transport.http_types import Request, Response, ServerLimits
from tests.unit.transport.loopback import connect, read_until, serving, until

BODY_BYTES = 4 * 2**20
CHUNKED = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
TURNS_BYTES = 10_000
"""Size of a body that takes many turns in chunks of a byte."""

LAST_CHUNK_BYTES = 5
CROWD = 40
WATCHED_TURNS = 200

MAX_TURN_SECONDS = 0.05
"""Longest time for which other tasks wait: that of an event-stream's second event."""


def is_parsing(server: HttpServer, connections: int) -> bool:
    """Return whether some connections all have a body that is being parsed."""
    found = server.connections.values()
    return sum(not each.reader.is_idle for each in found) == connections


async def length(request: Request) -> Response:
    return Response(200, (), str(len(request.body)).encode())


def chunks(size: int, total: int) -> bytes:
    """Return a request whose body of ``total`` bytes has chunks of ``size``."""
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return CHUNKED + chunk * (total // size) + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7])
async def test_a_body_in_tiny_chunks_is_read_whole(size: int) -> None:
    """Guards against a refusal of what is inside the limits, however it is cut."""
    total = 70_000
    async with serving(length) as server:
        reader, writer = await connect(server.port)
        writer.write(chunks(size, total))
        answer = await read_until(reader, b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await reader.readexactly(5) == b"%d" % total


@pytest.mark.parametrize("connections", [1, CROWD])
async def test_other_tasks_wait_for_one_turn_of_all_bodies_in_small_chunks(
    connections: int,
) -> None:
    """Guards against callers that take an entry's processor together."""
    taken: list[float] = []

    async def watch() -> None:
        while True:
            began = process_time()
            await sleep(0)
            taken.append(process_time() - began)

    async with serving(length) as server:
        opened = [await connect(server.port) for _ in range(connections)]
        for _, writer in opened:
            writer.write(chunks(1, TURNS_BYTES)[:-LAST_CHUNK_BYTES])
        await until(lambda: is_parsing(server, connections))
        watching = create_task(watch())
        await until(lambda: len(taken) > WATCHED_TURNS)
        watching.cancel()
        for _, writer in opened:
            writer.close()
    assert sorted(taken)[len(taken) // 2] < MAX_TURN_SECONDS / 10


async def test_a_body_whose_time_is_over_is_not_parsed_on() -> None:
    """Guards against a caller that is never late, as it always sends."""
    async with serving(length, ServerLimits(body_timeout=0.05)) as server:
        reader, writer = await connect(server.port)
        writer.write(chunks(1, 20 * TURNS_BYTES))
        assert (await read_until(reader, b"\r\n")).startswith(b"HTTP/1.1 408 ")
        writer.close()


async def test_other_tasks_take_turns_with_a_body_in_small_chunks() -> None:
    """Guards against other callers that wait while a body is parsed."""
    longest = 0.0

    async def watch() -> None:
        nonlocal longest
        while True:
            began = process_time()
            await sleep(0)
            longest = max(longest, process_time() - began)

    async with serving(length) as server:
        reader, writer = await connect(server.port)
        watching = create_task(watch())
        writer.write(chunks(8, 256 * 1024))
        assert (await read_until(reader, b"\r\n")).startswith(b"HTTP/1.1 200 ")
        watching.cancel()
    assert longest < MAX_TURN_SECONDS


@pytest.mark.parametrize(("size", "total"), [(1, 2_000), (16, 2**20), (1000, 2**20)])
async def test_bodies_in_chunks_are_read_whole(size: int, total: int) -> None:
    """Guards against callers that are refused though they write little at a time."""
    async with serving(length) as server:
        reader, writer = await connect(server.port)
        writer.write(chunks(size, total))
        answer = await read_until(reader, b"\r\n\r\n")
        expected = str(total // size * size).encode()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await reader.readexactly(len(expected)) == expected
