"""Requests that arrive while the event loop is late, together with a timeout."""

from asyncio import Event, create_task, get_running_loop, sleep, wrap_future
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
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


@pytest.mark.parametrize("iterations", [0, 4, 10])
async def test_an_answer_ready_as_a_planned_stop_gives_up_is_sent(
    iterations: int,
) -> None:
    """Guards against 504 for an answer that arrived within the grace time."""
    arrived = Event()

    async def handler(request: Request) -> Response:
        await arrived.wait()
        for _ in range(iterations):
            await sleep(0)
        return await echo(request)

    async with serving(handler) as server:
        caller = create_connection((HOST, server.port))
        caller.sendall(GET)
        caller.setblocking(False)
        (connection,) = await connections(server, 1)
        await until(lambda: connection.request is not None)
        drained = create_task(server.drain(LIMIT_SECONDS))
        get_running_loop().call_later(0.8 * LIMIT_SECONDS, block, LIMIT_SECONDS)
        get_running_loop().call_later(0.9 * LIMIT_SECONDS, arrived.set)
        await drained
        await server.close()
        assert await statuses([caller]) == [b"HTTP/1.1 200"]


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


CONNECT_SECONDS = 0.1
PASSES = range(1, 9)
"""Iterations of the event loop after which a connection is at a certain step."""


def answer_one(listener: socket) -> None:
    """Accept a connection and answer what it asks."""
    caller, _ = listener.accept()
    caller.recv(1000)
    caller.sendall(ANSWER)
    caller.recv(1000)
    caller.close()


def url_of(listener: socket) -> str:
    return f"http://{HOST}:{listener.getsockname()[1]}/"


async def run_event_loop(passes: int) -> None:
    for _ in range(passes):
        await sleep(0)


def open_files() -> int:
    return len(list(Path("/proc/self/fd").iterdir()))


@pytest.mark.parametrize("passes", PASSES)
async def test_a_connection_that_stands_in_a_late_iteration_is_used(
    passes: int,
) -> None:
    """Guards against a server that listens, and is taken for out of reach."""
    client = HttpClient()
    with create_server((HOST, 0)) as listener, ThreadPoolExecutor(1) as pool:
        answering = pool.submit(answer_one, listener)
        opening = create_task(
            client.open("GET", url_of(listener), connect_timeout=CONNECT_SECONDS)
        )
        await run_event_loop(passes)
        delay_event_loop(2 * CONNECT_SECONDS)
        opened = await opening
        await client.close()
        if opened.is_error():
            create_connection(listener.getsockname()).close()
        await wrap_future(answering)
    assert opened.is_ok() and opened.ok.status == 200, opened


async def test_a_request_without_time_left_is_not_sent_over_a_late_connection() -> None:
    """Guards against a request that is sent, and can only be given up."""
    client = HttpClient()
    with create_server((HOST, 0)) as listener:
        opening = create_task(
            client.open("GET", url_of(listener), timeout=CONNECT_SECONDS)
        )
        await run_event_loop(1)
        delay_event_loop(2 * CONNECT_SECONDS)
        opened = await opening
        caller, _ = listener.accept()
        caller.settimeout(PATIENCE)
        assert caller.recv(1000) == b""
        caller.close()
    assert opened.is_error() and not opened.error.sent
    await client.close()


async def test_a_connection_that_is_given_up_is_closed() -> None:
    """Guards against sockets that stay open as the server never accepts."""
    client = HttpClient()
    with ExitStack() as stack:
        listener = stack.enter_context(create_server((HOST, 0), backlog=0))
        stack.enter_context(create_connection(listener.getsockname()))
        before = open_files()
        for _ in range(3):
            opened = await client.open(
                "GET", url_of(listener), connect_timeout=CONNECT_SECONDS
            )
            assert opened.is_error() and not opened.error.sent
        await until(lambda: open_files() == before)
    await client.close()


@pytest.mark.parametrize("passes", PASSES)
async def test_a_connection_that_stands_as_its_caller_is_cancelled_is_closed(
    passes: int,
) -> None:
    """Guards against sockets that stay open as nobody waits for them."""
    client = HttpClient()
    with create_server((HOST, 0)) as listener:
        before = open_files()
        opening = create_task(client.open("GET", url_of(listener)))
        await run_event_loop(passes)
        opening.cancel()
        await until(lambda: opening.done() and open_files() == before)
    assert opening.cancelled()
    await client.close()
