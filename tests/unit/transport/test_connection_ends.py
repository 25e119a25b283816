"""Why connections of callers end, as counters and log lines tell it."""

from asyncio import StreamReader, StreamWriter, open_connection
from collections.abc import AsyncIterator, Callable
from logging import LogRecord
from socket import create_connection
from threading import Timer

import pytest

from clementinebend_transport.connection_ends import (
    LATE_READS,
    MAX_LOG_LINES_PER_SECOND,
    UNANSWERED,
    EndReason,
    LogRateLimit,
)
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_server import (
    HttpServer,
    Request,
    Response,
    ServerLimits,
    serve_http,
)
from clementinebend_transport.metrics import registry
from tests.unit.transport.loopback import (
    GET,
    HOST,
    PATIENCE,
    connect,
    delay_event_loop,
    read_all,
    read_until,
    serving,
    talk,
    until,
)
from tests.unit.transport.test_http_server import (
    CLOSE,
    LARGE_BYTES,
    connect_slowly,
    echo,
    new_gate,
)

ENDED = "clementinebend_http_connections_ended_total"
SHORT = ServerLimits(idle_timeout=0.05)
HEAD_END = b"\r\n\r\n"


def value(name: str, reason: EndReason | None = None) -> float:
    labels = {} if reason is None else {"reason": reason.value}
    return registry.get_sample_value(name, labels) or 0.0


def unanswered() -> float:
    return sum(value(UNANSWERED, reason) for reason in EndReason)


async def idle_limit(server: HttpServer) -> None:
    reader, writer = await connect(server.port)
    writer.write(GET)
    await read_all(reader)
    writer.close()


async def caller_left(server: HttpServer) -> None:
    reader, writer = await connect(server.port)
    writer.write(GET)
    await read_until(reader, HEAD_END)
    writer.close()


async def last_answer(server: HttpServer) -> None:
    await talk(server.port, CLOSE)


async def planned_stop(server: HttpServer) -> None:
    reader, writer = await connect(server.port)
    writer.write(GET)
    await read_until(reader, HEAD_END)
    assert await server.drain(PATIENCE)
    writer.close()


async def left_rotation(server: HttpServer) -> None:
    reader, writer = await connect(server.port)
    writer.write(GET)
    await read_until(reader, HEAD_END)
    await until(lambda: server.close_idle(1.0, 0.0) == 1)
    writer.close()


async def unreadable_request(server: HttpServer) -> None:
    await talk(server.port, b"no request\r\n\r\n")


async def process_closing(server: HttpServer) -> None:
    reader, writer = await connect(server.port)
    writer.write(GET)
    await read_until(reader, HEAD_END)
    await server.close()
    writer.close()


@pytest.mark.parametrize(
    ("end", "limits"),
    [
        (idle_limit, SHORT),
        (caller_left, None),
        (last_answer, None),
        (planned_stop, None),
        (left_rotation, None),
        (unreadable_request, None),
        (process_closing, None),
    ],
)
async def test_each_end_is_counted_by_its_reason(
    end: Callable[[HttpServer], object], limits: ServerLimits | None
) -> None:
    reason = EndReason(end.__name__)
    before = {each: value(ENDED, each) for each in EndReason}
    left = unanswered()
    async with serving(echo, limits) as server:
        await end(server)  # type: ignore[misc]
        await until(lambda: not server.connections)
    counted = {each for each in EndReason if value(ENDED, each) > before[each]}
    assert counted == {reason}
    assert unanswered() == left


async def test_a_connection_above_the_limit_is_counted() -> None:
    before = value(ENDED, EndReason.TOO_MANY)
    async with serving(echo, ServerLimits(max_connections=0)) as server:
        await talk(server.port, GET)
    assert value(ENDED, EndReason.TOO_MANY) == before + 1


class CutBody:
    """An answer whose source fails after its first piece."""

    async def handle(self, request: Request) -> Response:
        return Response(200, (), self.pieces())

    async def pieces(self) -> AsyncIterator[bytes]:
        yield b"first"
        raise AnswerCutError("on purpose")


def lines(caplog: pytest.LogCaptureFixture, message: str) -> list[LogRecord]:
    return [each for each in caplog.records if each.message == message]


async def test_a_request_whose_answer_is_cut_is_logged_with_its_id(
    caplog: pytest.LogCaptureFixture,
) -> None:
    before = value(UNANSWERED, EndReason.SOURCE_CUT)
    server = await serve_http(CutBody().handle, HOST, 0, identify=host_header)
    await talk(server.port, GET)
    await server.close()
    assert value(UNANSWERED, EndReason.SOURCE_CUT) == before + 1
    (line,) = lines(caplog, "request left unanswered")
    fields = vars(line)
    assert (fields["reason"], fields["request_id"]) == ("source_cut", "x")
    assert fields["target"] == "/a"
    assert 0 <= fields["quiet_s"] < PATIENCE
    assert fields["peer"].startswith(HOST)


def host_header(request: Request) -> str | None:
    return request.headers.get("host")


async def test_a_caller_that_leaves_its_request_is_not_counted_as_unanswered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    gate = new_gate()
    before = unanswered()
    async with serving(gate.handle) as server:
        _, writer = await connect(server.port)
        writer.write(GET)
        await gate.entered.wait()
        writer.close()
        await until(lambda: not server.connections)
    assert unanswered() == before
    assert not lines(caplog, "request left unanswered")


async def test_a_caller_that_is_disconnected_for_memory_is_counted() -> None:
    async def handle(request: Request) -> Response:
        return Response(200, (), bytes(LARGE_BYTES))

    before = value(UNANSWERED, EndReason.MEMORY)
    async with serving(handle) as server:
        _, writer = await connect_slowly(server.port)
        await until(lambda: any(e.held_bytes() for e in server.connections.values()))
        (connection,) = server.connections.values()
        connection.disconnect()
        await until(lambda: not server.connections)
        writer.close()
    assert value(UNANSWERED, EndReason.MEMORY) == before + 1


async def test_a_read_that_finds_its_bytes_after_the_timeout_is_counted() -> None:
    before = value(LATE_READS)
    async with serving(echo, ServerLimits(idle_timeout=0.2)) as server:
        caller = create_connection((HOST, server.port), PATIENCE)
        reader, writer = await open_connection(sock=caller.dup())
        await wait_idle(server, reader, writer)
        Timer(0.1, caller.sendall, [GET]).start()
        delay_event_loop(0.4)
        assert (await read_until(reader, HEAD_END)).startswith(b"HTTP/1.1 200 ")
        writer.close()
        caller.close()
    assert value(LATE_READS) == before + 1


async def wait_idle(
    server: HttpServer, reader: StreamReader, writer: StreamWriter
) -> None:
    """Have a request answered, and wait until the next one is waited for."""
    writer.write(GET)
    await read_until(reader, HEAD_END)
    (connection,) = server.connections.values()
    await until(lambda: connection.reader.is_idle)


async def test_idle_ends_tell_how_late_the_event_loop_was() -> None:
    name = "clementinebend_http_idle_ends_late_seconds_sum"
    before = value(name)
    async with serving(echo, ServerLimits(idle_timeout=0.2)) as server:
        reader, writer = await connect(server.port)
        await wait_idle(server, reader, writer)
        delay_event_loop(0.5)
        assert await read_all(reader) == b""
        await until(lambda: not server.connections)
        writer.close()
    assert 0.2 < value(name) - before < PATIENCE


async def test_bytes_that_come_after_the_last_answer_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with serving(echo) as server:
        await talk(server.port, CLOSE + GET)
        await until(lambda: not server.connections)
    (line,) = lines(caplog, "connection closed with unread bytes")
    assert vars(line)["reason"] == "last_answer"
    assert vars(line)["unread"] == len(GET)


async def test_an_idle_end_has_no_line(caplog: pytest.LogCaptureFixture) -> None:
    async with serving(echo, SHORT) as server:
        reader, writer = await connect(server.port)
        assert await read_all(reader) == b""
        writer.close()
    assert not caplog.records


def test_lines_are_bounded_in_each_second() -> None:
    limit = LogRateLimit()
    allowed = [limit.allows(10.0) for _ in range(MAX_LOG_LINES_PER_SECOND + 5)]
    assert sum(allowed) == MAX_LOG_LINES_PER_SECOND
    assert limit.allows(11.0)
