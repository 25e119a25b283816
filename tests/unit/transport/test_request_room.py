"""Requests that are begun and not finished, and what a server holds of them."""

from asyncio import Event, StreamReader, StreamWriter, create_task, sleep
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from clementinebend_transport.body_room import BodyRoom, reject_body, request_bodies
from clementinebend_transport.http_reader import FIELD_BYTES, SLOW_BYTES_PER_SECOND
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import Request, Response, ServerLimits
from clementinebend_transport.room import GRACE_SECONDS, Room, UnfinishedRequest
from tests.unit.transport.loopback import (
    GET,
    HOST,
    PATIENCE,
    connect,
    read_all,
    read_until,
    until,
)

KIB = 1024
BODY_LIMIT = 256 * KIB
RECEIVED_LIMIT = 512 * KIB
BODY = b"x" * (200 * KIB)
HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
FIELDS = 100
FIELD_LINES = b"".join(b"f%d:\r\n" % each for each in range(FIELDS))
LONG_LINE = b"f: " + b"v" * (20 * KIB)
TINY_CHUNKS = HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000
OVER_SIZE = HEAD + b"content-length: 99999999\r\n\r\n" + b"x" * (100 * KIB)
FEW_CONNECTIONS = 4
CROWD = 40


class Server:
    """A server with little room, which answers when it is told to."""

    def __init__(self) -> None:
        self.clock_time = 0.0
        self.bodies = BodyRoom(BODY_LIMIT, lambda: self.clock_time)
        self.received: Room[UnfinishedRequest] = Room(
            RECEIVED_LIMIT, lambda: self.clock_time
        )
        self.may_answer = Event()
        self.requests: list[Request] = []
        self.server: HttpServer
        self.opened: list[StreamWriter] = []

    async def handle(self, request: Request) -> Response:
        self.requests.append(request)
        if request.target == "/slow":
            await sleep(PATIENCE)
        await self.may_answer.wait()
        return Response(200, (), b"whole")

    async def start(self, limits: ServerLimits | None = None) -> None:
        rooms = request_bodies(self.bodies, reject_body)
        self.server = await serve_http(
            self.handle,
            HOST,
            0,
            limits or ServerLimits(),
            bodies=rooms._replace(received=self.received),
        )

    async def send(self, data: bytes) -> tuple[StreamReader, StreamWriter]:
        """Send bytes on a new connection."""
        reader, writer = await connect(self.server.port)
        writer.write(data)
        self.opened.append(writer)
        return reader, writer

    def pass_grace(self) -> None:
        """Let requests that were begun give way."""
        self.clock_time += GRACE_SECONDS + len(BODY) / SLOW_BYTES_PER_SECOND


def sized(body: bytes) -> bytes:
    """Return a request whose body has a length."""
    return HEAD + b"content-length: %d\r\n\r\n" % len(body) + body


@pytest_asyncio.fixture
async def server() -> AsyncIterator[Server]:
    made = Server()
    yield made
    made.may_answer.set()
    await made.server.close()


@pytest.mark.parametrize("stopped", [sized(BODY)[:-1], sized(BODY)[: 20 * KIB]])
async def test_a_body_that_stops_short_of_its_end_gives_way(
    server: Server, stopped: bytes
) -> None:
    """Guards against callers that keep others out by sending nothing more."""
    await server.start()
    server.may_answer.set()
    stopping, _ = await server.send(stopped)
    await until(lambda: server.bodies.held >= len(BODY))
    early, _ = await server.send(sized(BODY))
    assert (await read_all(early)).startswith(b"HTTP/1.1 503 ")
    server.pass_grace()
    other, _ = await server.send(sized(BODY))
    assert (await read_until(other, b"whole")).startswith(b"HTTP/1.1 200 ")
    answer = await read_all(stopping)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1\r\n" in answer
    assert len(server.requests) == 1


async def test_a_body_that_trickles_gives_way(server: Server) -> None:
    """Guards against a caller that sends a byte now and then."""
    await server.start()
    server.may_answer.set()
    head, body = sized(BODY)[:100], BODY
    trickling, writer = await server.send(head)

    async def trickle() -> None:
        for byte in body:
            writer.write(bytes((byte,)))
            await sleep(0.001)

    sending = create_task(trickle())
    await until(lambda: server.bodies.held >= len(BODY))
    server.pass_grace()
    other, _ = await server.send(sized(BODY))
    assert (await read_until(other, b"whole")).startswith(b"HTTP/1.1 200 ")
    assert (await read_until(trickling, b"\r\n")).startswith(b"HTTP/1.1 503 ")
    sending.cancel()
    writer.close()


async def test_a_body_gives_way_to_one_of_half_its_size(server: Server) -> None:
    """Guards against large bodies that always return, and keep smaller ones out."""
    await server.start()
    server.may_answer.set()
    stopping, _ = await server.send(sized(BODY)[:-1])
    await until(lambda: server.bodies.held >= len(BODY))
    other, _ = await server.send(sized(BODY[: len(BODY) // 2]))
    assert (await read_until(other, b"whole")).startswith(b"HTTP/1.1 200 ")
    assert (await read_all(stopping)).startswith(b"HTTP/1.1 503 ")


async def test_a_chunked_body_is_read_in_a_room_smaller_than_the_largest(
    server: Server,
) -> None:
    """Guards against room that is asked for in vain, whatever a body needs."""
    server.bodies.limit = 8 * len(BODY)
    await server.start()
    server.may_answer.set()
    body = b"%x\r\n%b\r\n" % (len(BODY), BODY) * 2 + b"0\r\n\r\n"
    reader, _ = await server.send(HEAD + b"transfer-encoding: chunked\r\n\r\n" + body)
    assert (await read_until(reader, b"\r\n")).startswith(b"HTTP/1.1 200 ")
    assert [each.body for each in server.requests] == [2 * BODY]


async def test_a_request_that_is_answered_does_not_give_way(server: Server) -> None:
    """Guards against answers that are lost for a body that comes later."""
    await server.start()
    answering, _ = await server.send(sized(BODY))
    await until(lambda: len(server.requests) == 1)
    server.pass_grace()
    other, _ = await server.send(sized(BODY))
    assert (await read_all(other)).startswith(b"HTTP/1.1 503 ")
    server.may_answer.set()
    assert (await read_until(answering, b"whole")).startswith(b"HTTP/1.1 200 ")


async def test_fields_count_until_their_request_is_answered(server: Server) -> None:
    """Guards against heads within the limit that take 25 times their size."""
    await server.start()
    reader, writer = await server.send(HEAD + FIELD_LINES + b"\r\n")
    await until(lambda: len(server.requests) == 1)
    assert server.received.held >= FIELDS * FIELD_BYTES
    server.may_answer.set()
    await read_until(reader, b"whole")
    await until(lambda: server.received.held == 0)
    writer.close()


@pytest.mark.parametrize(
    "unfinished",
    [
        HEAD + LONG_LINE,
        HEAD + FIELD_LINES + b"content-length: 9\r\n\r\n",
        TINY_CHUNKS,
        b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n" + BODY,
    ],
    ids=["partial head", "fields", "tiny chunks", "behind a request"],
)
async def test_what_is_received_stays_bounded(
    server: Server, unfinished: bytes
) -> None:
    """Guards against many callers whose bytes together exceed a process's memory."""
    await server.start()
    server.may_answer.set()
    opened = [await server.send(unfinished) for _ in range(CROWD)]
    most = 0

    async def watch() -> None:
        nonlocal most
        while True:
            most = max(most, server.received.held)
            await sleep(0)

    watching = create_task(watch())
    for _ in range(5):
        server.pass_grace()
        ordinary, _ = await server.send(GET)
        assert (await read_until(ordinary, b"whole")).startswith(b"HTTP/1.1 200 ")
    watching.cancel()
    assert most <= RECEIVED_LIMIT + 128 * KIB
    for _, writer in opened:
        writer.transport.abort()
    await until(lambda: server.received.held < KIB)


@pytest.mark.parametrize("refused", [OVER_SIZE, TINY_CHUNKS])
async def test_a_refused_caller_that_stays_holds_nothing(
    server: Server, refused: bytes
) -> None:
    """Guards against what is kept while the answer to a refused caller is taken."""
    await server.start(ServerLimits(max_body_bytes=10 * KIB))
    reader, writer = await server.send(refused)
    assert (await read_until(reader, b"\r\n")).startswith(b"HTTP/1.1 413 ")
    await until(lambda: server.received.held == 0)
    assert server.bodies.held == 0
    assert server.server.connections
    writer.close()


async def test_a_connection_that_waits_gives_way_to_a_new_one(server: Server) -> None:
    """Guards against callers that keep others out by connecting and sending nothing."""
    await server.start(ServerLimits(max_connections=FEW_CONNECTIONS))
    answering, _ = await server.send(GET)
    await until(lambda: len(server.requests) == 1)
    waiting = [await server.send(b"GET /") for _ in range(FEW_CONNECTIONS - 1)]
    await sleep(GRACE_SECONDS)
    ordinary = [await server.send(GET) for _ in range(FEW_CONNECTIONS - 1)]
    await until(lambda: len(server.requests) == FEW_CONNECTIONS)
    server.may_answer.set()
    for reader, _ in [(answering, None), *ordinary]:
        assert (await read_until(reader, b"whole")).startswith(b"HTTP/1.1 200 ")
    for reader, _ in waiting:
        assert await read_all(reader) == b""


async def test_a_new_connection_is_refused_if_none_has_waited(server: Server) -> None:
    """Guards against callers that are closed before their request can come."""
    await server.start(ServerLimits(max_connections=FEW_CONNECTIONS))
    opened = [await server.send(b"") for _ in range(FEW_CONNECTIONS)]
    await until(lambda: len(server.server.connections) == FEW_CONNECTIONS)
    refused, _ = await server.send(b"")
    assert (await read_all(refused)).startswith(b"HTTP/1.1 503 ")
    server.may_answer.set()
    for reader, writer in opened:
        writer.write(GET)
        assert (await read_until(reader, b"whole")).startswith(b"HTTP/1.1 200 ")
