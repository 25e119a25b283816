"""Message streams: framing, wrong bytes, lost connections, slow peers."""

from asyncio import Event, StreamReader, StreamWriter, create_task
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgpack import packb

from clementinebend_records.codec import encode_message
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.messages import (
    MESSAGE_TYPES,
    Message,
    PointerDelete,
    RunCancel,
    RunChunk,
)
from clementinebend_transport import message_stream
from clementinebend_transport.channel import Channel
from clementinebend_transport.message_stream import (
    MAX_MESSAGE_BYTES,
    MessageChannel,
    MessageServer,
    MessageStream,
    StreamHandler,
    connect_messages,
    serve_messages,
)
from clementinebend_transport.metrics import registry
from tests.unit.transport.loopback import HOST, PATIENCE, connect, scripted, until

RUN = RunId("run")
CHUNK = RunChunk(RUN, 0, b"data")


def count_of(name: str) -> float:
    return registry.get_sample_value(f"clementinebend_{name}") or 0.0


@asynccontextmanager
async def listening(handler: StreamHandler) -> AsyncIterator[MessageServer]:
    server = await serve_messages(handler, HOST, 0)
    try:
        yield server
    finally:
        await server.close()


async def open_stream(port: int) -> MessageStream:
    return (await connect_messages(HOST, port, PATIENCE)).ok


async def receive(stream: MessageStream) -> Message | None:
    async with time_limit(PATIENCE):
        return await stream.receive()


async def echo(stream: MessageStream) -> None:
    while (message := await stream.receive()) is not None:
        await stream.send(message)


MESSAGES = st.one_of(
    st.builds(RunChunk, st.text().map(RunId), st.integers(0, 2**63), st.binary()),
    st.builds(PointerDelete, st.text().map(RequestKey), st.just(RUN)),
    st.just(None),
)
"""``None`` stands for a message that only a newer version knows."""


@settings(derandomize=True)
@given(st.lists(MESSAGES), st.data())
def test_messages_survive_any_split(sent: list[Message | None], data: Any) -> None:
    newer = packb([len(MESSAGE_TYPES) + 3, "of", {"a": "newer version"}])
    wire = b"".join(encode_message(item) if item else newer for item in sent)
    cuts = data.draw(st.lists(st.integers(0, len(wire))).map(sorted))
    channel = MessageChannel()
    channel.connection_made(Mock())
    before = count_of("messages_skipped_total")
    for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        channel.data_received(wire[start:end])
    assert list(channel.inbox) == [item for item in sent if item]
    assert count_of("messages_skipped_total") - before == sent.count(None)
    assert not channel.ended


@pytest.mark.parametrize(
    "garbage",
    [
        b"\xc1",
        packb(7),
        packb([]),
        packb([-1, "run"]),
        packb(["12", "run"]),
        packb([MESSAGE_TYPES.index(RunChunk), "run"]),
        packb([MESSAGE_TYPES.index(RunChunk), "run", "zero", b""]),
        packb([MESSAGE_TYPES.index(RunCancel), b"\xff"]),
        packb({"a": 1}),
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\x7f\xff\xff\xff" + b"a" * (MAX_MESSAGE_BYTES + 1),
        b"\x91" * 5000,
    ],
)
async def test_garbage_closes_the_stream_after_what_was_whole(garbage: bytes) -> None:
    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        writer.write(encode_message(CHUNK) + garbage)
        await reader.read()

    before = count_of("message_streams_unreadable_total")
    async with scripted(script) as port:
        stream = await open_stream(port)
        assert await receive(stream) == CHUNK
        assert await receive(stream) is None
        await stream.send(CHUNK)
        await stream.close()
    assert count_of("message_streams_unreadable_total") - before == 1


async def test_a_connection_lost_inside_a_message_ends_the_stream() -> None:
    received: list[Message] = []
    ended = Event()

    async def handler(stream: MessageStream) -> None:
        while (message := await stream.receive()) is not None:
            received.append(message)
        ended.set()

    before = count_of("message_streams_truncated_total")
    async with listening(handler) as server:
        _, writer = await connect(server.port)
        writer.write(encode_message(CHUNK) + encode_message(CHUNK)[:-1])
        await until(lambda: bool(received))
        writer.transport.abort()
        async with time_limit(PATIENCE):
            await ended.wait()
        await until(lambda: not server.streams)
    assert received == [CHUNK]
    assert count_of("message_streams_truncated_total") - before == 1


async def test_messages_posted_together_leave_in_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    writes: list[int] = []
    flush = Channel.flush

    def counting_flush(channel: Channel) -> None:
        writes.append(len(channel.outgoing))
        flush(channel)

    async with listening(echo) as server:
        stream = await open_stream(server.port)
        monkeypatch.setattr(Channel, "flush", counting_flush)
        for sequence in range(50):
            stream.post(CHUNK._replace(sequence=sequence))
        echoes = [await receive(stream) for _ in range(50)]
        await stream.close()
    assert echoes == [CHUNK._replace(sequence=sequence) for sequence in range(50)]
    assert writes[0] == 50


async def test_a_slow_peer_makes_the_sender_wait_and_gets_all_in_order() -> None:
    release = Event()
    received: list[int] = []

    async def handler(stream: MessageStream) -> None:
        await release.wait()
        while (message := await stream.receive()) is not None:
            assert isinstance(message, RunChunk)
            received.append(message.sequence)

    async def send_all(stream: MessageStream) -> None:
        for sequence in range(400):
            await stream.send(RunChunk(RUN, sequence, b"a" * 65536))

    async with listening(handler) as server:
        stream = await open_stream(server.port)
        sender = create_task(send_all(stream))
        await until(lambda: not stream.channel.writable.is_set())
        (accepted,) = server.streams.values()
        await until(lambda: not accepted.channel.transport.is_reading())
        assert not sender.done()
        assert accepted.channel.inbox_bytes < 2 * message_stream.INBOX_BYTES
        assert stream.channel.unsent_bytes() < 1024 * 1024
        release.set()
        async with time_limit(PATIENCE):
            await sender
        await until(lambda: len(received) == 400)
        await stream.close()
    assert received == list(range(400))


async def test_a_peer_that_never_reads_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(message_stream, "MAX_POSTED_BYTES", 1024 * 1024)

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await Event().wait()

    before = count_of("message_streams_stuck_total")
    async with scripted(script) as port:
        stream = await open_stream(port)
        for _ in range(400):
            stream.post(RunChunk(RUN, 0, b"a" * 65536))
        assert await receive(stream) is None
    assert count_of("message_streams_stuck_total") - before == 1


async def test_the_largest_bodies_pass_without_delay() -> None:
    message = RunChunk(RUN, 0, b"a" * (8 * 1024 * 1024))
    async with listening(echo) as server:
        stream = await open_stream(server.port)
        socket = stream.channel.transport.get_extra_info("socket")
        assert socket.getsockopt(IPPROTO_TCP, TCP_NODELAY)
        await stream.send(message)
        assert await receive(stream) == message
        await stream.close()


async def test_a_failing_handler_closes_its_own_stream_only() -> None:
    async def handler(stream: MessageStream) -> None:
        while (message := await stream.receive()) != RunCancel(RUN):
            assert message is not None
            stream.post(message)
        raise ValueError("a fault")

    async with listening(handler) as server:
        failing, other = await open_stream(server.port), await open_stream(server.port)
        await failing.send(RunCancel(RUN))
        assert await receive(failing) is None
        await other.send(CHUNK)
        assert await receive(other) == CHUNK
        await server.close()
        assert await receive(other) is None
    assert (await connect_messages(HOST, server.port, PATIENCE)).is_error()
