"""Servers that send bytes without end until their client closes."""

from asyncio import StreamReader, StreamWriter, create_task, get_running_loop, sleep
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import repeat

import pytest

from clementinebend_transport.client_connection import (
    EVENTS_PER_TURN,
    LATE_READ_SECONDS,
    MAX_ANSWER_HEADER_BYTES,
    MAX_INFORMATIONAL_ANSWERS,
    MAX_JOINED_CHUNKS,
    MAX_OVERHEAD_BYTES,
)
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import HttpClient, HttpFailure, read_answer
from clementinebend_transport.http_events import MAX_SMALL_PIECES
from tests.unit.transport.loopback import (
    HOST,
    PATIENCE,
    Script,
    read_until,
    scripted,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OK_LINE = b"HTTP/1.1 200 OK\r\n"
OK = OK_LINE + b"content-length: 2\r\n\r\nok"
CHUNKED = OK_LINE + b"transfer-encoding: chunked\r\n\r\n"
BARE = OK_LINE + b"\r\n"
PIECE = b"x" * 16 * 1024
SHORT_SECONDS = 0.3
"""Time limit of an answer whose server always sends."""

TRICKLE_PAUSE = 0.01
PIECES_READ = 20


def endless(head: bytes, piece: bytes, pause: float = 0.0) -> Script:
    """Return a script that sends a head and then a piece again and again."""

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        await read_until(reader, b"\r\n\r\n")
        writer.write(head)
        for data in repeat(piece):
            writer.write(data)
            await writer.drain()
            await sleep(pause)

    return script


def once(answer: bytes) -> Script:
    """Return a script that sends an answer."""

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        await read_until(reader, b"\r\n\r\n")
        writer.write(answer)
        await reader.read()

    return script


@asynccontextmanager
async def client_of(script: Script) -> AsyncIterator[tuple[HttpClient, str]]:
    """Give a client and the URL of a server."""
    client = HttpClient()
    async with scripted(script) as port:
        try:
            yield client, f"http://{HOST}:{port}/"
        finally:
            await client.close()


async def failure_of(script: Script, timeout: float) -> HttpFailure:
    """Return how a whole answer fails, which must be within ``PATIENCE``."""
    async with client_of(script) as (client, url), time_limit(PATIENCE):
        failure = (await client.request("GET", url, timeout=timeout)).error
        assert not client.busy
        assert not any(client.idle.values())
    return failure


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (OK_LINE, b"x-field: value\r\n" * 1000),
        (OK_LINE + b"x-line: ", PIECE),
        (b"", CONTINUE * 1000),
        (b"", CONTINUE),
        (b"", PIECE),
    ],
    ids=["fields", "line", "informational", "informational, one by one", "no answer"],
)
async def test_a_head_without_end_is_given_up_at_once(
    head: bytes, piece: bytes
) -> None:
    """Guards against servers that hold a call until its time limit."""
    failure = await failure_of(endless(head, piece), timeout=2 * PATIENCE)
    assert failure.broke_off
    assert failure.sent


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (CHUNKED + b"1;x=", PIECE),
        (CHUNKED + b"0\r\n", b"x-field: value\r\n" * 1000),
        (CHUNKED, b"1\r\nx\r\n" * 1000),
        (CHUNKED, b"1;x=" + b"x" * 1000 + b"\r\nx\r\n"),
    ],
    ids=["chunk header", "trailer", "small chunks", "long chunk headers"],
)
async def test_framing_without_end_is_given_up_at_once(
    head: bytes, piece: bytes
) -> None:
    """Guards against answers that are hardly any body."""
    failure = await failure_of(endless(head, piece), timeout=2 * PATIENCE)
    assert failure.received <= MAX_OVERHEAD_BYTES
    assert failure.sent


async def test_the_chunks_that_are_joined_are_counted() -> None:
    chunks = b"8\r\nxxxxxxxx\r\n" * 100 + b"0\r\n\r\n"
    async with client_of(once(CHUNKED + chunks)) as (client, url):
        opened = (await client.open("GET", url)).ok
        piece = await anext(opened.chunks)
        assert opened.chunk_count() == len(piece) / 8
        assert len([each async for each in opened.chunks]) < 100
        assert opened.chunk_count() == 0


async def test_small_pieces_without_end_are_given_up_at_once() -> None:
    """Guards against taking each of the bytes that an answer may have by itself."""
    script = endless(CHUNKED, b"1\r\nx\r\n" * 1000)
    failure = await failure_of(script, timeout=2 * PATIENCE)
    assert failure.received <= 2 * MAX_SMALL_PIECES


async def test_chunks_of_eight_bytes_without_end_are_given_up_at_once() -> None:
    """Guards against a store that takes an entry's processor time for seconds."""
    script = endless(CHUNKED, b"8\r\nxxxxxxxx\r\n" * 1000)
    failure = await failure_of(script, timeout=2 * PATIENCE)
    assert failure.broke_off


async def test_informational_answers_before_an_answer_are_skipped() -> None:
    answer = CONTINUE * MAX_INFORMATIONAL_ANSWERS + OK
    async with client_of(once(answer)) as (client, url):
        assert (await client.request("GET", url)).ok.body == b"ok"


async def test_a_head_that_arrives_whole_is_bounded_too() -> None:
    fields = b"x-field: value\r\n" * (MAX_ANSWER_HEADER_BYTES // 10)
    failure = await failure_of(once(OK_LINE + fields + b"\r\n"), timeout=PATIENCE)
    assert failure.broke_off


async def test_a_keep_alive_of_any_length_is_read() -> None:
    """Guards against a conversion that raises for numbers of so many digits."""
    fields = b"keep-alive: timeout=" + b"9" * 5000 + b"\r\ncontent-length: 2\r\n"
    async with client_of(once(OK_LINE + fields + b"\r\nok")) as (client, url):
        assert (await client.request("GET", url)).ok.body == b"ok"


async def test_a_body_in_small_chunks_is_read() -> None:
    chunks = b"10\r\nid: 1\ndata: xyz\n\r\n" * 20_000 + b"0\r\n\r\n"
    async with client_of(once(CHUNKED + chunks)) as (client, url):
        body = (await client.request("GET", url)).ok.body
    assert len(body) == 16 * 20_000


@pytest.mark.parametrize("head", [BARE, CHUNKED], ids=["bare", "chunks"])
async def test_a_server_that_always_sends_does_not_outlast_a_time_limit(
    head: bytes,
) -> None:
    """Guards against preferring what has come to the time limit for ever."""
    body = b"x" * 100 if head == BARE else b"64\r\n" + b"x" * 100 + b"\r\n"
    async with client_of(endless(head, body * 100)) as (client, url):
        opened = (await client.open("GET", url, timeout=PATIENCE)).ok
        began = get_running_loop().time()
        failure = (await read_answer(opened, SHORT_SECONDS)).error
        elapsed = get_running_loop().time() - began
    assert failure.sent
    assert elapsed < SHORT_SECONDS + 2 * LATE_READ_SECONDS + TRICKLE_PAUSE


@pytest.mark.parametrize("end", [b"x\r\n", b"2\r\nab--"], ids=["size", "footer"])
async def test_chunks_before_wrong_ones_are_returned(end: bytes) -> None:
    chunks = b"2\r\nab\r\n" * 3 + end
    async with client_of(once(CHUNKED + chunks)) as (client, url):
        opened = (await client.open("GET", url)).ok
        received = await anext(opened.chunks)
        with pytest.raises(TruncatedAnswer):
            received += b"".join([piece async for piece in opened.chunks])
        assert not client.busy
    assert received.startswith(b"ab" * 3)


async def test_an_answer_in_small_pieces_lets_other_tasks_run() -> None:
    """Guards against reading all that is here of a body in one turn."""
    chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await sleep(0)

    async with client_of(once(CHUNKED + chunks)) as (client, url):
        opened = (await client.open("GET", url)).ok
        assert await anext(opened.chunks) == b"x" * MAX_JOINED_CHUNKS
        before = turns
        counting = create_task(count_turns())
        for _ in range(PIECES_READ):
            await anext(opened.chunks)
        counting.cancel()
    assert turns - before >= PIECES_READ // EVENTS_PER_TURN
