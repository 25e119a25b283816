"""Requests that arrive while the event loop is late, together with a timeout."""

from asyncio import create_task, sleep, wrap_future
from collections.abc import AsyncIterator
from concurrent.futures import ThreadPoolExecutor
from socket import create_connection, create_server, socket
from threading import Thread, Timer
from time import sleep as block

import pytest

from clementinebend_transport.channel import WRITE_BUFFER_BYTES
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_connection import (
    DRAIN_GRACE_SECONDS,
    HttpConnection,
)
from clementinebend_transport.http_server import (
    HttpServer,
    Request,
    Response,
    ServerLimits,
)
from tests.unit.transport.loopback import (
    GET,
    HOST,
    PATIENCE,
    connect,
    delay_event_loop,
    read_all,
    read_until,
    serving,
    until,
)
from tests.unit.transport.test_http_server import LAST_CHUNK, POST, echo

LIMIT_SECONDS = 0.2
LIMITS = ServerLimits(
    idle_timeout=LIMIT_SECONDS, header_timeout=LIMIT_SECONDS, body_timeout=LIMIT_SECONDS
)
LATE_SECONDS = 2 * LIMIT_SECONDS
"""How long one iteration of the event loop takes."""


async def connect_callers(server: HttpServer, sent: bytes) -> list[socket]:
    """Return connections on which ``sent`` has arrived, answered if it is whole."""
    sockets = [create_connection((HOST, server.port), 10.0) for _ in range(20)]
    for each in sockets:
        each.sendall(sent)
    await sleep(LIMIT_SECONDS / 4)
    if sent == GET:
        for each in sockets:
            assert each.recv(1000).startswith(b"HTTP/1.1 200 ")
    return sockets


@pytest.mark.parametrize(
    ("before", "late"),
    [
        (GET, GET),
        (b"", GET),
        (GET[:10], GET[10:]),
        (POST + b"content-length: 4\r\n\r\nbo", b"dy"),
    ],
    ids=["kept connection", "new connection", "rest of a head", "rest of a body"],
)
async def test_a_request_that_arrives_in_a_late_iteration_is_answered(
    before: bytes, late: bytes
) -> None:
    """Guards against a timeout that closes a connection with a request in it."""
    async with serving(echo, LIMITS) as server:
        sockets = await connect_callers(server, before)
        timers = [Timer(LIMIT_SECONDS / 4, each.sendall, [late]) for each in sockets]
        for timer in timers:
            timer.start()
        delay_event_loop(LATE_SECONDS)
        await sleep(LIMIT_SECONDS / 2)
        answers = [each.recv(1000) for each in sockets]
        for each in sockets:
            each.close()
    assert [answer[:13] for answer in answers] == [b"HTTP/1.1 200 "] * 20


async def test_a_silent_caller_is_still_disconnected_after_a_late_iteration() -> None:
    async with serving(echo, LIMITS) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await read_until(reader, b"\r\n\r\n")
        delay_event_loop(LATE_SECONDS)
        assert await read_all(reader) == b""
        writer.close()


async def test_a_longer_idle_limit_holds_for_connections_that_are_idle() -> None:
    """Guards against closing connections that callers reuse by the new limit."""
    async with serving(echo, LIMITS) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await read_until(reader, b"\r\n\r\n")
        server.change_limits(LIMITS._replace(idle_timeout=20 * LIMIT_SECONDS))
        await sleep(2 * LIMIT_SECONDS)
        writer.write(GET)
        assert (await read_until(reader, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.close()


async def test_requests_that_arrive_as_a_planned_stop_closes_idle_connections() -> None:
    """Guards against a stop that closes connections with a request in the socket."""
    async with serving(echo) as server:
        sockets = await connect_callers(server, GET)
        drained = create_task(server.drain(PATIENCE))
        await sleep(DRAIN_GRACE_SECONDS / 4)
        timers = [
            Timer(DRAIN_GRACE_SECONDS / 4, each.sendall, [GET]) for each in sockets
        ]
        for timer in timers:
            timer.start()
        delay_event_loop(2 * DRAIN_GRACE_SECONDS)
        assert await drained
        answers = [each.recv(1000) for each in sockets]
        for each in sockets:
            each.close()
    assert [answer[:13] for answer in answers] == [b"HTTP/1.1 200 "] * 20


async def test_a_caller_that_has_read_on_is_not_cut_after_a_late_iteration() -> None:
    """Guards against a timeout that is due as room to write comes back."""

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(100):
            yield b"a" * WRITE_BUFFER_BYTES

    async def handler(request: Request) -> Response:
        return Response(200, (), pieces())

    limits = LIMITS._replace(write_timeout=LIMIT_SECONDS)
    async with serving(handler, limits) as server:
        caller = create_connection((HOST, server.port), PATIENCE)
        caller.sendall(GET)
        (connection,) = await connections(server, 1)
        await until(lambda: not connection.channel.writable.is_set())
        answer = bytearray()
        reading = Thread(target=read_to_last_chunk, args=(caller, answer))
        reading.start()
        delay_event_loop(LATE_SECONDS)
        await until(lambda: not reading.is_alive())
        caller.close()
    assert answer.endswith(LAST_CHUNK)


def read_to_last_chunk(caller: socket, answer: bytearray) -> None:
    while not answer.endswith(LAST_CHUNK) and (data := caller.recv(1 << 20)):
        answer.extend(data)


async def connections(server: HttpServer, count: int) -> list[HttpConnection]:
    await until(lambda: len(server.connections) == count)
    return list(server.connections.values())


ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"


@pytest.mark.parametrize(
    "split", [0, 20, 40], ids=["all", "rest of a head", "rest of a body"]
)
async def test_an_answer_that_arrives_in_a_late_iteration_is_read(split: int) -> None:
    """Guards against an answer that is here, and taken for one that did not come."""
    with create_server((HOST, 0)) as listener, ThreadPoolExecutor(1) as pool:

        def answer() -> None:
            caller, _ = listener.accept()
            caller.recv(1000)
            caller.sendall(ANSWER[:split])
            block(LIMIT_SECONDS / 2)
            caller.sendall(ANSWER[split:])
            caller.recv(1000)
            caller.close()

        answering = pool.submit(answer)
        client = HttpClient()
        url = f"http://{HOST}:{listener.getsockname()[1]}/"
        calling = create_task(client.request("GET", url, timeout=LIMIT_SECONDS))
        await sleep(LIMIT_SECONDS / 4)
        delay_event_loop(LATE_SECONDS)
        answered = await calling
        await client.close()
        await wrap_future(answering)
    assert answered.is_ok() and answered.ok.body == b"body", answered
