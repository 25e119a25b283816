"""Bodies of requests that come in very small chunks."""

from asyncio import create_task, sleep
from time import process_time

import pytest

from clementinebend_transport.http_types import Request, Response
from tests.unit.transport.loopback import connect, read_all, read_until, serving

BODY_BYTES = 4 * 2**20
CHUNKED = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
MAX_SECONDS = 0.5
"""Processor time for a body that is given up, a fraction of what it takes whole."""

MAX_TURN_SECONDS = 0.05
"""Longest time for which other tasks wait: that of an event-stream's second event."""


async def length(request: Request) -> Response:
    return Response(200, (), str(len(request.body)).encode())


def chunks(size: int, total: int) -> bytes:
    """Return a request whose body of ``total`` bytes has chunks of ``size``."""
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return CHUNKED + chunk * (total // size) + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 7])
async def test_a_body_in_tiny_chunks_is_given_up_early(size: int) -> None:
    """Guards against a caller that takes an entry's processor for seconds."""
    async with serving(length) as server:
        began = process_time()
        reader, writer = await connect(server.port)
        writer.write(chunks(size, 512 * 1024))
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert process_time() - began < MAX_SECONDS


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
