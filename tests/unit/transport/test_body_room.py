"""Bodies of requests that together need more memory than a server has for them."""

from asyncio import Event, StreamReader, StreamWriter, gather, sleep
from collections.abc import Callable

import pytest

from clementinebend_transport.body_room import (
    SMALL_BODY_BYTES,
    BodyRoom,
    reject_body,
    request_bodies,
)
from clementinebend_transport.http_connection import LINGER_SECONDS
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import Request, Response
from tests.unit.transport.loopback import HOST, connect, read_all, read_until, until

KIB = 1024
LIMIT = 256 * KIB
LARGE = b"x" * (100 * KIB)
SMALL = b"x" * SMALL_BODY_BYTES
CALLS = 40


class Server:
    """A server that answers when it is told to."""

    def __init__(self) -> None:
        self.room = BodyRoom(LIMIT)
        self.may_answer = Event()
        self.requests: list[Request] = []
        self.server: HttpServer | None = None

    async def handle(self, request: Request) -> Response:
        self.requests.append(request)
        await self.may_answer.wait()
        return Response(200, (), str(len(request.body)).encode())

    async def start(self) -> int:
        bodies = request_bodies(self.room, reject_body)
        self.server = await serve_http(self.handle, HOST, 0, bodies=bodies)
        return self.server.port

    async def stop(self) -> None:
        self.may_answer.set()
        assert self.server is not None
        await self.server.close()


def sized(body: bytes, *fields: str) -> bytes:
    """Return a request whose body has a length."""
    more = "".join(f"{field}\r\n" for field in fields)
    head = f"POST /a HTTP/1.1\r\nhost: x\r\n{more}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chunked(body: bytes, size: int = 10 * KIB) -> bytes:
    """Return a request whose body has chunks."""
    head = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    starts = range(0, len(body), size)
    pieces = [body[start : start + size] for start in starts]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


async def send(port: int, data: bytes) -> tuple[StreamReader, StreamWriter]:
    reader, writer = await connect(port)
    writer.write(data)
    return reader, writer


@pytest.fixture
async def server() -> Server:
    return Server()


@pytest.mark.parametrize("framed", [sized, chunked])
async def test_a_body_without_room_is_rejected_at_once_and_may_come_later(
    server: Server, framed: Callable[[bytes], bytes]
) -> None:
    """Guards against a process that is ended for its memory by allowed requests."""
    port = await server.start()
    connections = [await send(port, framed(LARGE)) for _ in range(2)]
    await until(lambda: len(server.requests) == 2)
    rejected, _ = await send(port, framed(LARGE))
    answer = await read_all(rejected)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1\r\n" in answer
    assert server.room.held <= LIMIT
    server.may_answer.set()
    for reader, writer in connections:
        assert (await read_until(reader, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.close()
    await until(lambda: server.room.held == 0)
    later, _ = await send(port, framed(LARGE))
    assert (await read_until(later, b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    await server.stop()


async def test_rejected_bodies_take_no_log_lines_of_other_ends(
    server: Server, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against rejections that use up the lines of requests left unanswered."""
    port = await server.start()
    server.room.held = LIMIT
    for _ in range(CALLS):
        reader, writer = await send(port, sized(LARGE))
        assert (await read_all(reader)).startswith(b"HTTP/1.1 503 ")
        writer.close()
    await until(lambda: server.server is not None and not server.server.connections)
    assert not caplog.records
    await server.stop()


async def test_a_caller_that_sends_slowly_gets_its_rejection(server: Server) -> None:
    """Guards against a reset while a body is on its way, in place of the answer."""
    port = await server.start()
    server.room.held = LIMIT
    request = sized(LARGE)
    reader, writer = await send(port, request[:1000])
    pieces = 5
    size = (len(request) - 1000) // pieces
    for number in range(pieces):
        await sleep(0.6 * LINGER_SECONDS)
        start = 1000 + number * size
        writer.write(request[start : start + size])
        await writer.drain()
    assert (await read_all(reader)).startswith(b"HTTP/1.1 503 ")
    writer.close()
    await server.stop()


async def test_small_bodies_are_read_whatever_others_hold(server: Server) -> None:
    """Guards against all callers refused for a few with large bodies."""
    port = await server.start()
    server.room.held = LIMIT
    _, writer = await send(port, sized(SMALL))
    await until(lambda: len(server.requests) == 1)
    assert server.room.held == LIMIT + len(SMALL)
    writer.close()
    await server.stop()


async def test_callers_that_leave_release_their_room(server: Server) -> None:
    """Guards against room that is lost for good, and a server that takes no body."""
    port = await server.start()
    part = sized(LARGE)[: 50 * KIB]
    _, in_body = await send(port, part)
    _, in_answer = await send(port, sized(LARGE))
    await until(lambda: server.room.held == 2 * len(LARGE))
    in_body.close()
    in_answer.close()
    await until(lambda: server.room.held == 0)
    await server.stop()


async def test_a_caller_that_waits_to_be_asked_sends_no_rejected_body(
    server: Server,
) -> None:
    """Guards against a body that is asked for and then rejected."""
    port = await server.start()
    server.room.held = LIMIT
    head = sized(LARGE, "expect: 100-continue").partition(b"\r\n\r\n")[0]
    reader, _ = await send(port, head + b"\r\n\r\n")
    assert (await read_all(reader)).startswith(b"HTTP/1.1 503 ")
    await server.stop()


async def test_a_kept_connection_releases_each_body(server: Server) -> None:
    """Guards against room that grows with each request of a connection."""
    port = await server.start()
    server.may_answer.set()
    reader, writer = await connect(port)
    for _ in range(10):
        writer.write(sized(LARGE))
        await read_until(reader, b"\r\n\r\n")
        await reader.readexactly(len(str(len(LARGE))))
    assert server.room.held <= len(LARGE)
    writer.close()
    await until(lambda: server.room.held == 0)
    await server.stop()


async def test_what_is_held_stays_bounded_under_many_requests(server: Server) -> None:
    """Guards against bodies that exceed the bound as they come at the same time."""
    port = await server.start()
    most = 0

    async def watch() -> None:
        nonlocal most
        while not server.may_answer.is_set():
            most = max(most, server.room.held)
            await sleep(0)

    async def call(body: bytes) -> bytes:
        reader, writer = await send(port, body)
        answer = await read_until(reader, b"\r\n")
        writer.close()
        return answer

    async def release() -> None:
        await until(lambda: len(server.requests) >= LIMIT // len(LARGE))
        server.may_answer.set()

    bodies = [(sized, chunked)[each % 2](LARGE) for each in range(CALLS)]
    answers, *_ = await gather(gather(*map(call, bodies)), watch(), release())
    statuses = {answer.split()[1] for answer in answers}
    assert statuses == {b"200", b"503"}
    assert most <= LIMIT + CALLS * SMALL_BODY_BYTES
    await until(lambda: server.room.held == 0)
    await server.stop()
