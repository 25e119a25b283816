"""How long a call to the store goes on: as long as its answer moves, and no longer."""

from asyncio import StreamReader, StreamWriter, get_running_loop, sleep

from clementinebend_platform_client.keyed_log import StoreFailure
from clementinebend_platform_client.store_calls import (
    MAX_STORE_ANSWER_BYTES,
    PIECE_SECONDS,
    StoreCalls,
)
from clementinebend_platform_client.store_metrics import discarded_bytes
from clementinebend_platform_client.store_paths import LEAST_LIMIT, StorePaths
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import Answer, HttpClient
from tests.lib.silent_address import silent_address
from tests.unit.transport.loopback import HOST, read_until, scripted

PIECES = 8
PIECE = b"x" * 1000
PAUSE = LEAST_LIMIT / 3
"""Seconds between the pieces of a slow answer, which takes three times the limit."""

MOST_AT_ONCE = 1024 * 1024
"""More bytes than one read returns."""

WAIT = 1.5
"""Seconds that a read may wait for a record."""

GATEWAY = Address("10.0.0.9", 1)
HEAD = f"HTTP/1.1 200 OK\r\ncontent-length: {PIECES * len(PIECE)}\r\n\r\n".encode()


def calls_of(port: int) -> StoreCalls:
    paths = StorePaths(Address(HOST, port), get_running_loop().time)
    paths.gateways = (GATEWAY,)
    paths.limit = LEAST_LIMIT
    return StoreCalls(paths, HttpClient())


async def slow(reader: StreamReader, writer: StreamWriter) -> None:
    """Answer piece by piece."""
    await read_until(reader, b"\r\n\r\n")
    writer.write(HEAD)
    for _ in range(PIECES):
        await sleep(PAUSE)
        writer.write(PIECE)
    await reader.read()


async def stopping(reader: StreamReader, writer: StreamWriter) -> None:
    """Answer half and say nothing more."""
    await read_until(reader, b"\r\n\r\n")
    writer.write(HEAD + PIECE * (PIECES // 2))
    await reader.read()


async def endless(reader: StreamReader, writer: StreamWriter) -> None:
    """Answer with bytes without end, as fast as they are taken."""
    await read_until(reader, b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        writer.write(PIECE * 64)
        await writer.drain()


async def test_an_answer_without_end_is_left_at_its_largest_size() -> None:
    """Guards against holding more of it than the smallest host has memory for."""
    async with scripted(endless) as port:
        calls = calls_of(port)
        calls.paths.is_overloaded = lambda: True
        before = discarded_bytes._value.get()
        failure = await calls.call("GET", "/endless")
        received = discarded_bytes._value.get() - before
        assert not calls.client.busy
        await calls.client.close()
    assert isinstance(failure, StoreFailure)
    assert failure.maybe_done
    assert MAX_STORE_ANSWER_BYTES < received < MAX_STORE_ANSWER_BYTES + MOST_AT_ONCE
    assert calls.paths.current == GATEWAY


async def test_an_answer_that_keeps_coming_is_not_cut_off() -> None:
    async with scripted(slow) as port:
        calls = calls_of(port)
        answer = await calls.call("GET", "/slow")
        await calls.client.close()
    assert isinstance(answer, Answer)
    assert answer.body == PIECES * PIECE
    assert calls.paths.current == calls.paths.direct
    assert calls.paths.limit == LEAST_LIMIT


async def test_an_answer_that_stops_half_way_is_left_in_under_a_second() -> None:
    async with scripted(stopping) as port:
        calls = calls_of(port)
        started_at = get_running_loop().time()
        failure = await calls.call("GET", "/stopping")
        seconds = get_running_loop().time() - started_at
        await calls.client.close()
    assert isinstance(failure, StoreFailure)
    assert failure.maybe_done
    assert f"{PIECES // 2 * len(PIECE)} bytes had come" in failure.message
    assert PIECE_SECONDS < seconds < 1.0
    assert calls.paths.current == GATEWAY


async def test_a_host_that_is_gone_is_not_given_the_wait_of_a_read() -> None:
    # A gateway that was gone held up the last entry that lacked a change for 1.95 s:
    # "no connection in time" for a read that could wait 1.5 s, its link idle meanwhile.
    with silent_address() as gone:
        calls = calls_of(gone.port)
        started_at = get_running_loop().time()
        failure = await calls.call("GET", "/gone", wait=WAIT)
        seconds = get_running_loop().time() - started_at
    assert isinstance(failure, StoreFailure)
    assert not failure.maybe_done
    assert seconds < WAIT
    assert calls.paths.current == GATEWAY
