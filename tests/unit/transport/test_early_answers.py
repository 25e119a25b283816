"""Answers without a length to requests that are still on their way.

Such an answer ends with its connection. It is whole only if the server took the whole
request, as one that resets the connection may end it first.
"""

from asyncio import (
    Event,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    create_task,
    sleep,
)
from collections.abc import Awaitable, Callable
from contextlib import suppress
from socket import SHUT_WR, SO_LINGER, SOL_SOCKET

import pytest
from expression import Result

from clementinebend_transport.channel import RESET_ON_CLOSE
from clementinebend_transport.http_client import Answer, HttpClient, HttpFailure
from tests.unit.transport.loopback import HOST, read_until, scripted

UPLOAD = b"u" * 6_000_000
"""More than the buffers of both ends hold."""

PART = b"part of an answer"
BARE_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
FIRST_READ = 65_536
RESET_DELAY = 0.05
SHORT_SECONDS = 0.3

Ending = Callable[[StreamReader, StreamWriter], Awaitable[None]]


async def close_unread(reader: StreamReader, writer: StreamWriter) -> None:
    """Close with the rest of the request unread."""
    writer.close()


async def reset(reader: StreamReader, writer: StreamWriter) -> None:
    """Reset the connection."""
    socket = writer.get_extra_info("socket")
    socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.close()


async def reset_after_end(reader: StreamReader, writer: StreamWriter) -> None:
    """End this side, and reset the connection a moment later."""
    writer.get_extra_info("socket").shutdown(SHUT_WR)
    await sleep(RESET_DELAY)
    await reset(reader, writer)


async def read_after_end(reader: StreamReader, writer: StreamWriter) -> None:
    """End this side, and read the rest of the request."""
    writer.get_extra_info("socket").shutdown(SHUT_WR)
    await sleep(RESET_DELAY)
    with suppress(IncompleteReadError):
        await reader.readexactly(len(UPLOAD) - FIRST_READ)


async def stand_after_end(reader: StreamReader, writer: StreamWriter) -> None:
    """End this side, and read nothing more."""
    writer.get_extra_info("socket").shutdown(SHUT_WR)
    await sleep(10 * SHORT_SECONDS)


async def answer_to_upload(
    head: bytes, ending: Ending, seconds: float = 5.0
) -> Result[Answer, HttpFailure]:
    """Return the outcome of an upload that is answered before it is read."""

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        await read_until(reader, b"\r\n\r\n")
        await reader.readexactly(FIRST_READ)
        writer.write(head + PART)
        await writer.drain()
        await ending(reader, writer)

    client = HttpClient()
    try:
        async with scripted(script) as port:
            address = f"http://{HOST}:{port}/"
            return await client.request("POST", address, body=UPLOAD, timeout=seconds)
    finally:
        await client.close()


@pytest.mark.parametrize("ending", [close_unread, reset, reset_after_end])
async def test_a_part_before_a_reset_is_not_taken_for_the_whole(ending: Ending) -> None:
    """Guards against an end of an answer that a reset of the connection follows."""
    outcome = await answer_to_upload(BARE_HEAD, ending)
    assert outcome.is_error()
    assert outcome.error.sent


async def test_an_early_end_is_the_whole_if_the_request_is_read_on() -> None:
    outcome = await answer_to_upload(BARE_HEAD, read_after_end)
    assert outcome.is_ok()
    assert outcome.ok.body == PART


async def test_an_early_end_is_awaited_no_longer_than_the_answer() -> None:
    outcome = await answer_to_upload(BARE_HEAD, stand_after_end, SHORT_SECONDS)
    assert outcome.is_error()
    assert "took too long" in outcome.error.message


@pytest.mark.parametrize("ending", [close_unread, reset_after_end])
async def test_an_early_answer_of_a_named_length_is_whole(ending: Ending) -> None:
    """A server may answer before it has read a body; the length proves the whole."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(PART)
    outcome = await answer_to_upload(head, ending)
    assert outcome.is_ok()
    assert outcome.ok.body == PART


async def test_a_reader_that_gives_up_closes_the_connection() -> None:
    client = HttpClient()
    ended = Event()

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        await read_until(reader, b"\r\n\r\n")
        writer.write(BARE_HEAD + PART)
        writer.get_extra_info("socket").shutdown(SHUT_WR)
        await sleep(RESET_DELAY)
        with suppress(ConnectionError):
            await reader.read()
        ended.set()

    async with scripted(script) as port:
        address = f"http://{HOST}:{port}/"
        request = client.request("POST", address, body=UPLOAD, timeout=5.0)
        asking = create_task(request)
        await sleep(RESET_DELAY / 2)
        asking.cancel()
        await ended.wait()
    assert not client.busy
    await client.close()
