"""What happens to answers after which a connection is closed."""

from asyncio import Event, create_task, get_running_loop, sleep
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator
from math import inf
from socket import SO_RCVBUF, SOL_SOCKET, socket

import pytest

from clementinebend_transport.connection_ends import EndReason
from clementinebend_transport.http_connection import DRAIN_GRACE_SECONDS
from clementinebend_transport.http_server import HttpServer, Request, Response
from tests.unit.transport.loopback import (
    GET,
    HOST,
    PATIENCE,
    connect,
    read_all,
    serving,
    talk,
    until,
)
from tests.unit.transport.test_http_server import (
    CLOSE,
    LARGE_BYTES,
    SLOW_BUFFER,
    new_gate,
)

STOP_SECONDS = 5.0
BODY_BYTES = 200_000
"""More than the caller's socket takes of an answer that is not read."""


async def answer_large(request: Request) -> Response:
    return Response(200, (), bytes(BODY_BYTES))


async def slow_caller(server: HttpServer, sent: bytes) -> socket:
    """Return the socket of a caller that has sent something and reads nothing."""
    caller = socket()
    caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SLOW_BUFFER)
    caller.setblocking(False)
    await get_running_loop().sock_connect(caller, (HOST, server.port))
    await get_running_loop().sock_sendall(caller, sent)
    return caller


async def receive_all(caller: socket) -> bytes:
    received = bytearray()
    async with time_limit(PATIENCE):
        while data := await get_running_loop().sock_recv(caller, 1 << 16):
            received += data
    return bytes(received)


async def test_bytes_that_come_after_the_last_answer_do_not_destroy_it() -> None:
    """Guards against a reset that drops the rest of an answer on its way."""
    async with serving(answer_large) as server:
        caller = await slow_caller(server, CLOSE)
        await until(lambda: bool(server.connections))
        (connection,) = server.connections.values()
        await until(lambda: connection.end_reason is EndReason.LAST_ANSWER)
        await until(lambda: not connection.channel.unsent_bytes())
        await get_running_loop().sock_sendall(caller, GET)
        answer = await receive_all(caller)
        caller.close()
    assert answer.endswith(bytes(BODY_BYTES))


INVALID = Response(200, (("x-value", "two\nlines"),), b"body")


@pytest.mark.parametrize(
    "invalid",
    [
        INVALID,
        INVALID._replace(headers=(("\u20ac", "name"),)),
        INVALID._replace(status=99),
    ],
    ids=["header", "name", "status"],
)
@pytest.mark.parametrize("is_streamed", [False, True])
async def test_an_answer_that_cannot_be_sent_is_replaced_by_a_failure(
    invalid: Response, is_streamed: bool
) -> None:
    """Guards against a connection that is closed without an answer."""
    closed = Event()

    async def pieces() -> AsyncIterator[bytes]:
        try:
            yield b"body"
        finally:
            closed.set()

    async def handle(request: Request) -> Response:
        return invalid._replace(body=pieces()) if is_streamed else invalid

    async with serving(handle) as server:
        answer = await talk(server.port, CLOSE)
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"body" not in answer
    assert closed.is_set() == is_streamed


async def test_a_request_in_progress_is_answered_as_the_process_ends() -> None:
    """Guards against a request that is cut off without an answer."""
    gate = new_gate()
    async with serving(gate.handle) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        assert not await server.drain(0.01)
        await server.close()
        answer = await read_all(reader)
        writer.close()
    assert gate.cancelled.is_set()
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b"connection: close" in answer.lower()


async def test_a_stop_ends_a_connection_whose_answer_is_taken_after_the_grace() -> None:
    """Guards against a stop that waits for connections without a request."""

    async def handle(request: Request) -> Response:
        return Response(200, (), bytes(LARGE_BYTES))

    async with serving(handle) as server:
        caller = await slow_caller(server, b"")
        await until(lambda: bool(server.connections))
        (connection,) = server.connections.values()
        connection.channel.transport.set_write_buffer_limits(high=2 * LARGE_BYTES)
        await get_running_loop().sock_sendall(caller, GET)
        await until(lambda: connection.idle_since < inf)
        drained = create_task(server.drain(STOP_SECONDS))
        await sleep(2 * DRAIN_GRACE_SECONDS)
        assert connection.channel.unsent_bytes()
        answer = await receive_all(caller)
        assert await drained
        caller.close()
    assert answer.endswith(bytes(LARGE_BYTES))
