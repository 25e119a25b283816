"""What callers do wrong, and what a planned stop does to those who do not."""

from asyncio import (
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    sleep,
)
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator
from itertools import repeat
from socket import SO_RCVBUF, SOL_SOCKET, create_connection
from socket import socket as create_socket
from typing import NamedTuple

import pytest
from msgspec.json import decode

from clementinebend_transport.channel import Channel
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_server import Request, Response, ServerLimits
from tests.unit.transport.loopback import (
    GET,
    HOST,
    PATIENCE,
    connect,
    read_all,
    read_until,
    serving,
    talk,
    until,
)

SMALL = ServerLimits(max_header_bytes=1000, max_body_bytes=1000)
HASTY = SMALL._replace(header_timeout=0.05, body_timeout=0.05, write_timeout=0.2)
POST = b"POST /a HTTP/1.1\r\nhost: x\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
CLOSE = b"GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
SLOW_BUFFER = 4096
SETTLED_SECONDS = 0.2
"""Seconds without a byte delivered after which the buffers of both sockets are full."""

LARGE_BYTES = 16 * 1024 * 1024
"""More than the buffers of two sockets take of an answer that is not read."""
LAST_CHUNK = b"0\r\n\r\n"


async def echo(request: Request) -> Response:
    return Response(200, (("x-target", request.target),), request.body)


class Gate(NamedTuple):
    """A handler's progress, steered by the test."""

    entered: Event
    leave: Event
    cancelled: Event

    async def handle(self, request: Request) -> Response:
        self.entered.set()
        try:
            await self.leave.wait()
        except CancelledError:
            self.cancelled.set()
            raise
        return Response(200, (), b"whole")

    async def pieces(self) -> AsyncIterator[bytes]:
        yield b"first"
        self.entered.set()
        try:
            await self.leave.wait()
        finally:
            self.cancelled.set()
        yield b"second"

    async def stream(self, request: Request) -> Response:
        return Response(200, (), self.pieces())


def new_gate() -> Gate:
    return Gate(Event(), Event(), Event())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (POST + b"content-length: -1\r\n\r\n", 400),
        (CHUNKED + b"zz\r\nab\r\n", 400),
        (POST + b"X: " + b"a" * 1100 + b"\r\n\r\n", 431),
        (POST + b"X: " + b"a" * 200_000, 431),
        (POST + b"Content-Length: 1001\r\n\r\n", 413),
        (POST + b"content-length: 900000\r\n\r\n" + b"a" * 900_000, 413),
        (CHUNKED + b"400\r\n" + b"a" * 1024 + b"\r\n", 413),
        (b"GET /a HT", 408),
        (POST + b"content-length: 10\r\n\r\nabc", 408),
        (CHUNKED + b"5\r\nab", 408),
    ],
)
async def test_unreadable_requests_get_an_answer(data: bytes, status: int) -> None:
    async with serving(echo, HASTY if status == 408 else SMALL) as server:
        answer = await talk(server.port, data)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in head.lower()
    assert decode(body)["error"]["type"] == "bad_request"


@pytest.mark.parametrize(
    "data", [b"", b"GET /a", POST + b"content-length: 9\r\n\r\nab"]
)
async def test_half_a_request_is_never_handled(data: bytes) -> None:
    handled: list[Request] = []

    async def handler(request: Request) -> Response:
        handled.append(request)
        return Response(200, (), b"")

    async with serving(handler) as server:
        reader, writer = await connect(server.port)
        await until(lambda: len(server.connections) == 1)
        writer.write(data)
        writer.write_eof()
        assert await read_all(reader) == b""
        await until(lambda: not server.connections)
        writer.close()
    assert handled == []


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with serving(echo) as server:
        answer = await talk(server.port, GET + GET.replace(b"/a", b"/b") + CLOSE)
    targets = [line for line in answer.split(b"\r\n") if line.startswith(b"x-target")]
    assert targets == [b"x-target: /a", b"x-target: /b", b"x-target: /last"]


async def test_too_much_pipelining_ends_the_connection_after_the_answer() -> None:
    gate = new_gate()
    async with serving(gate.handle) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        writer.write(GET * 10_000)
        (connection,) = server.connections.values()
        await until(lambda: connection.channel.overrun)
        gate.leave.set()
        answer = await read_all(reader)
        writer.close()
    assert answer.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in answer.lower()


async def test_a_caller_that_pipelines_does_not_keep_others_waiting() -> None:
    order: list[str] = []

    async def handler(request: Request) -> Response:
        order.append(request.target)
        return Response(204, (), b"")

    async with serving(handler) as server:
        sockets = [create_connection((HOST, server.port)) for _ in range(2)]
        sockets[0].sendall(GET * 1000)
        sockets[1].sendall(GET.replace(b"/a", b"/b"))
        await until(lambda: len(order) == 1001)
        for each in sockets:
            each.close()
    assert order.index("/b") < 100


async def test_a_failing_handler_gives_500_and_the_connection_lives() -> None:
    async def handler(request: Request) -> Response:
        if request.target == "/a":
            raise TimeoutError("a fault")
        return Response(200, (), b"fine")

    async with serving(handler) as server:
        answer = await talk(server.port, GET + CLOSE)
    assert answer.startswith(b"HTTP/1.1 500 ")
    assert b"a fault" not in answer
    assert answer.endswith(b"fine")


async def test_each_piece_is_sent_at_once() -> None:
    gate = new_gate()
    async with serving(gate.stream) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        assert await read_until(reader, b"first\r\n")
        gate.leave.set()
        assert await read_until(reader, LAST_CHUNK) == b"6\r\nsecond\r\n" + LAST_CHUNK
        writer.close()


async def test_pieces_ready_together_leave_in_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    writes: list[int] = []
    flush = Channel.flush

    def counting_flush(channel: Channel) -> None:
        writes.append(len(channel.outgoing))
        flush(channel)

    async def pieces() -> AsyncIterator[bytes]:
        for piece in repeat(b"piece", 20):
            yield piece

    async def handler(request: Request) -> Response:
        return Response(200, (), pieces())

    monkeypatch.setattr(Channel, "flush", counting_flush)
    async with serving(handler) as server:
        answer = await talk(server.port, CLOSE)
    assert answer.count(b"piece") == 20
    assert len([count for count in writes if count]) == 1


@pytest.mark.parametrize("failure", [AnswerCutError("on purpose"), ValueError("fault")])
async def test_a_failing_source_cuts_the_answer(failure: Exception) -> None:
    async def pieces() -> AsyncIterator[bytes]:
        yield b"some"
        raise failure

    async def handler(request: Request) -> Response:
        return Response(200, (), pieces())

    async with serving(handler) as server:
        answer = await talk(server.port, GET)
        assert answer.endswith(b"4\r\nsome\r\n")
        with pytest.raises(ConnectionResetError):
            await talk(server.port, b"GET /a HTTP/1.0\r\n\r\n")


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_caller_that_leaves_cancels_its_request(
    is_streamed: bool, is_reset: bool
) -> None:
    gate = new_gate()
    handler = gate.stream if is_streamed else gate.handle
    async with serving(handler) as server:
        _, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        if is_reset:
            writer.transport.abort()
        writer.close()
        async with time_limit(PATIENCE):
            await gate.cancelled.wait()
        await until(lambda: not server.connections)


async def test_a_slow_reader_is_cut_and_holds_no_memory() -> None:
    produced: list[int] = []
    closed = Event()

    async def pieces() -> AsyncIterator[bytes]:
        try:
            for number in range(100_000):
                produced.append(number)
                yield b"a" * 65536
        finally:
            closed.set()

    source = pieces()

    async def handler(request: Request) -> Response:
        return Response(200, (), source)

    async with serving(handler, HASTY) as server:
        reader, writer = await connect(server.port)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(GET)
        async with time_limit(PATIENCE):
            await closed.wait()
        await until(lambda: not server.connections)
        writer.transport.abort()
    assert len(produced) < 1000


async def test_connections_above_the_limit_are_refused() -> None:
    gate = new_gate()
    async with serving(gate.handle, ServerLimits(max_connections=1)) as server:
        reader, writer = await connect(server.port)
        writer.write(CLOSE)
        await gate.entered.wait()
        refusal = await talk(server.port, GET)
        gate.leave.set()
        assert (await read_all(reader)).endswith(b"whole")
        writer.close()
    head, _, body = refusal.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert decode(body)["error"]["type"] == "not_run"


async def test_a_planned_stop_ends_requests_whole() -> None:
    whole, streamed = new_gate(), new_gate()

    async def handler(request: Request) -> Response:
        is_first = request.target == "/a"
        return await (whole.handle if is_first else streamed.stream)(request)

    async with serving(handler) as server:
        _, idle_writer = idle = await connect(server.port)
        (reader, writer), (stream_reader, stream_writer) = await gather(
            connect(server.port), connect(server.port)
        )
        writer.write(GET)
        stream_writer.write(GET.replace(b"/a", b"/b"))
        await whole.entered.wait()
        await streamed.entered.wait()
        drained = create_task(server.drain(PATIENCE))
        assert await read_all(idle[0]) == b""
        with pytest.raises(ConnectionRefusedError):
            await connect(server.port)
        whole.leave.set()
        answer = await read_all(reader)
        assert not drained.done()
        streamed.leave.set()
        assert (await read_all(stream_reader)).endswith(LAST_CHUNK)
        assert await drained
        for each in (idle_writer, writer, stream_writer):
            each.close()
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"whole")


async def test_a_request_on_its_way_when_the_stop_begins_is_answered() -> None:
    async with serving(echo) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await read_until(reader, b"\r\n\r\n")
        drained = create_task(server.drain(PATIENCE))
        await until(lambda: server.is_draining)
        writer.write(GET)
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await drained
        writer.close()


async def test_no_request_is_taken_after_an_answer_that_outlasts_the_grace() -> None:
    """It could not end before the process does: it is rejected, not left unanswered."""
    gate = new_gate()
    targets = []

    async def handler(request: Request) -> Response:
        targets.append(request.target)
        return await gate.stream(request)

    async with serving(handler) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        drained = create_task(server.drain(PATIENCE))
        await until(lambda: all(each.is_last for each in server.connections.values()))
        writer.write(GET.replace(b"/a", b"/late"))
        gate.leave.set()
        answer, rejection = (await read_all(reader)).split(LAST_CHUNK)
        assert await drained
        writer.close()
    assert answer.startswith(b"HTTP/1.1 200 ")
    head, _, body = rejection.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in head.lower()
    assert decode(body)["error"]["type"] == "not_run"
    assert targets == ["/a"]


async def test_a_stop_that_takes_too_long_is_told_and_close_cancels() -> None:
    gate = new_gate()
    async with serving(gate.handle) as server:
        _, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        assert not await server.drain(0.01)
        assert not gate.cancelled.is_set()
    assert gate.cancelled.is_set()
    assert server.host == HOST
    writer.close()


async def test_a_caller_may_wait_for_leave_to_send_its_body() -> None:
    async with serving(echo) as server:
        reader, writer = await connect(server.port)
        writer.write(POST + b"content-length: 2\r\nexpect: 100-continue\r\n\r\n")
        assert (await read_until(reader, b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(b"ok")
        assert (await read_until(reader, b"\r\n\r\nok")).startswith(b"HTTP/1.1 200 ")
        writer.close()


@pytest.mark.parametrize("status", [200, 204, 304])
async def test_answers_without_body_keep_the_connection_in_step(status: int) -> None:
    async def handler(request: Request) -> Response:
        return Response(status, (("content-length", "9"),), b"body")

    head = GET.replace(b"GET", b"HEAD")
    async with serving(handler) as server:
        answer = await talk(server.port, head + CLOSE.replace(b"GET", b"HEAD"))
    assert answer.count(b"HTTP/1.1 %d " % status) == 2
    assert b"body" not in answer


async def test_connections_made_before_the_stop_are_answered() -> None:
    """They are in the kernel's queue: the event loop has seen none of them."""
    async with serving(echo) as server:
        sockets = [create_connection((HOST, server.port)) for _ in range(50)]
        for each in sockets:
            each.sendall(GET)
        assert await server.drain(PATIENCE)
        answers = [each.recv(1000) for each in sockets]
        for each in sockets:
            each.close()
    assert [answer[:13] for answer in answers] == [b"HTTP/1.1 200 "] * 50


class TrackedBody(bytes):
    """A body that tells when it has been released."""

    released: Event

    def __del__(self) -> None:
        self.released.set()


async def test_what_a_caller_has_taken_of_a_body_is_released() -> None:
    """Held whole until its end, each answer that is not read takes its full size."""
    released = Event()

    async def handle(request: Request) -> Response:
        body = TrackedBody(LARGE_BYTES)
        body.released = released
        return Response(200, (), body)

    async with serving(handle) as server:
        reader, writer = await connect_slowly(server.port)
        async with time_limit(PATIENCE):
            await released.wait()
        (connection,) = server.connections.values()
        await until(lambda: 0 < connection.held_bytes() < LARGE_BYTES)
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(LARGE_BYTES)) == LARGE_BYTES
        await until(lambda: connection.held_bytes() == 0)
        writer.close()


async def test_a_slow_reader_shows_before_the_socket_takes_more() -> None:
    """Else a reader looks idle until it has read some MB of the socket's buffer."""

    async def handle(request: Request) -> Response:
        return Response(200, (), bytes(LARGE_BYTES))

    async with serving(handle) as server:
        reader, writer = await connect_slowly(server.port)
        await until(lambda: bool(server.connections))
        (connection,) = server.connections.values()
        channel = connection.channel
        await until(lambda: connection.held_bytes() > 0 and channel.written_bytes > 0)
        delivered = -1
        while delivered != channel.delivered_bytes():
            delivered = channel.delivered_bytes()
            await sleep(SETTLED_SECONDS)
        await reader.readexactly(2 * SLOW_BUFFER)
        await until(lambda: channel.delivered_bytes() > delivered)
        assert connection.held_bytes() > 0
        connection.disconnect()
        await until(lambda: not server.connections)
        writer.close()


async def connect_slowly(port: int) -> tuple[StreamReader, StreamWriter]:
    """Send a request over a socket that takes few bytes that are not read."""
    socket = create_socket()
    socket.setsockopt(SOL_SOCKET, SO_RCVBUF, SLOW_BUFFER)
    socket.connect((HOST, port))
    reader, writer = await open_connection(sock=socket, limit=SLOW_BUFFER)
    writer.write(GET)
    return reader, writer


class HoldingSource:
    """Pieces of an answer, whose source holds bytes until its end."""

    def __init__(self, leave: Event) -> None:
        self.pieces = iter((b"first", b"second"))
        self.leave = leave

    def __aiter__(self) -> "HoldingSource":
        return self

    async def __anext__(self) -> bytes:
        for piece in self.pieces:
            return piece
        await self.leave.wait()
        raise StopAsyncIteration

    def held_bytes(self) -> int:
        return LARGE_BYTES


async def test_what_the_source_of_a_stream_holds_counts_until_its_end() -> None:
    """Else streams that are not read look as if nothing were held of them."""
    leave = Event()

    async def handle(request: Request) -> Response:
        return Response(200, (), HoldingSource(leave))

    async with serving(handle) as server:
        reader, writer = await connect(server.port)
        writer.write(GET)
        await read_until(reader, b"second")
        (connection,) = server.connections.values()
        assert connection.held_bytes() == LARGE_BYTES
        leave.set()
        await read_until(reader, LAST_CHUNK)
        await until(lambda: connection.held_bytes() == 0)
        writer.close()
