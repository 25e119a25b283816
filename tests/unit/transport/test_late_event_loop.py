"""Requests that arrive while the event loop is late, together with a timeout."""

from asyncio import create_task, get_running_loop, sleep, wrap_future
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator, Iterator
from concurrent.futures import ThreadPoolExecutor
from socket import create_connection, create_server, socket
from threading import Thread
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

LIMIT_SECONDS = 1.0
LIMITS = ServerLimits(
    idle_timeout=LIMIT_SECONDS, header_timeout=LIMIT_SECONDS, body_timeout=LIMIT_SECONDS
)
LATE_SECONDS = 1.5 * LIMIT_SECONDS
"""How long one iteration of the event loop takes."""

CALLERS = 20


async def connect_callers(server: HttpServer, sent: bytes) -> list[socket]:
    """Return connections on which ``sent`` has been read, and answered if whole."""
    sockets = [create_connection((HOST, server.port)) for _ in range(CALLERS)]
    for each in sockets:
        each.sendall(sent)
        each.setblocking(False)
    await until(lambda: len(server.connections) == CALLERS)
    if sent == GET:
        for each in sockets:
            assert (await receive(each)).startswith(b"HTTP/1.1 200 ")
    is_begun = sent not in (b"", GET)
    await until(lambda: set(is_waiting(server)) == {not is_begun})
    return sockets


def is_waiting(server: HttpServer) -> Iterator[bool]:
    """Return of each connection whether it waits for a request to begin."""
    return (connection.reader.is_idle for connection in server.connections.values())


async def receive(caller: socket) -> bytes:
    """Return what arrives next on a connection."""
    async with time_limit(PATIENCE):
        return await get_running_loop().sock_recv(caller, 1000)


def send_during_delay(sockets: list[socket], data: bytes, seconds: float) -> None:
    """Keep the event loop from running; send ``data`` after a third of the time."""
    delay_event_loop(seconds / 3)
    for each in sockets:
        each.sendall(data)
    delay_event_loop(2 * seconds / 3)


async def statuses(sockets: list[socket]) -> list[bytes]:
    """Return the beginning of the answer on each connection, and close it."""
    answers = [await receive(each) for each in sockets]
    for each in sockets:
        each.close()
    return [answer[:12] for answer in answers]


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
        send_during_delay(sockets, late, LATE_SECONDS)
        answered = await statuses(sockets)
    assert answered == [b"HTTP/1.1 200"] * CALLERS


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
        server.change_limits(LIMITS._replace(idle_timeout=PATIENCE))
        await sleep(1.5 * LIMIT_SECONDS)
        writer.write(GET)
        assert (await read_until(reader, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.close()


async def test_requests_that_arrive_as_a_planned_stop_closes_idle_connections() -> None:
    """Guards against a stop that closes connections with a request in the socket."""
    async with serving(echo) as server:
        sockets = await connect_callers(server, GET)
        drained = create_task(server.drain(PATIENCE))
        await until(lambda: server.is_draining)
        send_during_delay(sockets, GET, 2 * DRAIN_GRACE_SECONDS)
        assert await drained
        answered = await statuses(sockets)
    assert answered == [b"HTTP/1.1 200"] * CALLERS


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
