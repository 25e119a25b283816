"""Streams of messages between the fleet's own processes, over TCP.

A message is one msgpack array; see ``clementinebend_records.codec``. Messages
posted within one iteration of the event loop leave in one write. A peer that
vanishes without a word is noticed by TCP keepalive only while nothing is in
flight; otherwise the kernel retransmits for minutes (tcp(7), tcp_retries2).
Callers that need to know sooner watch for regular messages and close the
stream. ``TCP_USER_TIMEOUT`` is not set: it also ends connections to live peers
that read slowly.
"""

from asyncio import Server, Task, create_task, get_running_loop, sleep, wait
from asyncio import timeout as time_limit
from collections import deque
from collections.abc import Awaitable, Callable
from logging import getLogger
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any

from expression import Error, Ok, Result
from msgpack import Unpacker
from msgpack.exceptions import BufferFull

from clementinebend_records.codec import DecodeFailure, decode_message, encode_message
from clementinebend_records.messages import MESSAGE_TYPES, Message
from clementinebend_transport.channel import RECEIVE_ITERATIONS, Channel
from clementinebend_transport.late_waits import late_waits, set_up_within
from clementinebend_transport.metrics import counter

logger = getLogger(__name__)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""The largest message, and the most that is kept of an unfinished one."""

MAX_ITEMS = 1024 * 1024
"""The most items in an array or map: room for them is made before they come."""

INBOX_BYTES = 4 * 1024 * 1024
"""Received bytes not yet taken by the owner, above which reading pauses."""

MAX_POSTED_BYTES = 64 * 1024 * 1024
"""Unsent bytes above which a peer that does not read is cut off."""

KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
CLOSE_SECONDS = 2.0

_skipped = counter(
    "clementinebend_messages_skipped_total",
    "Messages of a kind that only a newer version knows.",
)
_garbage = counter(
    "clementinebend_message_streams_unreadable_total",
    "Streams closed because their bytes were no messages.",
)
_truncated = counter(
    "clementinebend_message_streams_truncated_total",
    "Streams that ended in the middle of a message.",
)
_stuck = counter(
    "clementinebend_message_streams_stuck_total",
    "Streams cut off because the peer did not read.",
)

StreamHandler = Callable[["MessageStream"], Awaitable[None]]


class MessageChannel(Channel):
    """A channel that unpacks what it receives."""

    def __init__(self, on_connected: Callable[[Channel], None] | None = None) -> None:
        super().__init__(on_connected)
        self.unpacker = Unpacker(
            max_buffer_size=MAX_MESSAGE_BYTES,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
        )
        self.inbox: deque[Message] = deque()
        self.inbox_bytes = 0
        self.fed_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Unpack the messages that are whole."""
        if self.ended:
            return
        self.inbox_bytes += len(data)
        self.fed_bytes += len(data)
        try:
            self.unpacker.feed(data)
            for fields in self.unpacker:
                self._take(fields)
        except (ValueError, BufferFull, RecursionError) as error:
            self._give_up(str(error) or type(error).__name__)
        if self.inbox:
            self.readable.set()
        if self.inbox_bytes > INBOX_BYTES and self.inbox:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a message that will never be whole."""
        if self.unpacker.tell() < self.fed_bytes:
            _truncated.inc()
        super().connection_lost(exc)

    async def next_message(self) -> Message | None:
        """Return the next message; ``None`` once the stream has ended."""
        while not self.inbox:
            if self.ended:
                return None
            self.readable.clear()
            await self.readable.wait()
        message = self.inbox.popleft()
        if not self.inbox:
            self._resume()
        return message

    async def has_next(self) -> bool:
        """Return whether a message or the end has arrived, also if in the socket."""
        if not self.inbox and not self.ended and self.has_arrivals():
            for _ in range(RECEIVE_ITERATIONS):
                await sleep(0)
        return bool(self.inbox) or self.ended

    def _take(self, fields: Any) -> None:
        message = decode_message(fields)
        if not isinstance(message, DecodeFailure):
            self.inbox.append(message)
        elif _is_newer(fields):
            _skipped.inc()
        else:
            raise ValueError(message.reason)

    def _resume(self) -> None:
        if self.inbox_bytes > INBOX_BYTES and not self.ended:
            self.transport.resume_reading()
        self.inbox_bytes = 0

    def _give_up(self, reason: str) -> None:
        _garbage.inc()
        peer = self.transport.get_extra_info("peername")
        logger.warning("stream unreadable", extra={"peer": peer, "reason": reason})
        self.fed_bytes = 0
        self._end()
        self.abort()


class MessageStream:
    """Messages to and from one peer; any task may send, one receives."""

    def __init__(self, channel: MessageChannel) -> None:
        self.channel = channel
        self.peer = _peer_name(channel)
        _keep_alive(channel)

    @property
    def is_closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self.channel.ended or self.channel.transport.is_closing()

    def post(self, message: Message) -> None:
        """Send without waiting; on a closed stream the message is dropped.

        A peer that leaves ``MAX_POSTED_BYTES`` unread is cut off.
        """
        if self.is_closed:
            return
        self.channel.post(encode_message(message))
        if self.channel.unsent_bytes() > MAX_POSTED_BYTES:
            _stuck.inc()
            logger.warning("peer does not read", extra={"peer": self.peer})
            self.channel.abort()

    async def send(self, message: Message) -> None:
        """Send, and wait while the peer reads more slowly than we send."""
        self.post(message)
        await self.channel.drain()

    async def receive(self) -> Message | None:
        """Return the next message; ``None`` means that the stream is closed."""
        return await self.channel.next_message()

    async def receive_within(self, seconds: float) -> Message | None:
        """Return the next message, or ``None`` if the stream is closed.

        Raises ``TimeoutError`` if none has come after some seconds.
        """
        try:
            async with time_limit(seconds):
                return await self.receive()
        except TimeoutError:
            if not await self.has_next():
                raise
        late_waits.inc()
        return await self.receive()

    async def has_next(self) -> bool:
        """Return whether ``receive`` returns at once.

        After a late iteration of the event loop, a timeout and the message that it
        waits for are due at once.
        """
        return await self.channel.has_next()

    async def close(self) -> None:
        """Send what was posted, then close."""
        await self.channel.close(CLOSE_SECONDS)


class MessageServer:
    """Accepts streams; each is served by a task of its own."""

    def __init__(self, handler: StreamHandler) -> None:
        self.handler = handler
        self.host = ""
        self.port = 0
        self.listener: Server | None = None
        self.streams: dict[Task[None], MessageStream] = {}

    async def close(self) -> None:
        """Stop accepting, close all streams and wait for their handlers.

        Handlers that do not end by themselves are cancelled.
        """
        if self.listener is not None:
            self.listener.close()
        for stream in self.streams.values():
            stream.channel.flush()
            stream.channel.transport.close()
        tasks = tuple(self.streams)
        if not tasks:
            return
        _, pending = await wait(tasks, timeout=CLOSE_SECONDS)
        for task in pending:
            task.cancel()
        await wait(tasks)

    def _on_connected(self, channel: Channel) -> None:
        assert isinstance(channel, MessageChannel)
        stream = MessageStream(channel)
        task = create_task(_serve(self.handler, stream))
        self.streams[task] = stream
        task.add_done_callback(self._on_done)

    def _on_done(self, task: Task[None]) -> None:
        del self.streams[task]
        if not task.cancelled() and task.exception() is not None:
            logger.error("stream handler failed", exc_info=task.exception())


async def serve_messages(handler: StreamHandler, host: str, port: int) -> MessageServer:
    """Accept streams on ``host`` and ``port`` (0: a free one).

    Raises ``OSError`` if the address cannot be bound.
    """
    server = MessageServer(handler)
    listener = await get_running_loop().create_server(
        lambda: MessageChannel(server._on_connected), host, port
    )
    server.listener = listener
    server.host, server.port = listener.sockets[0].getsockname()[:2]
    return server


async def connect_messages(
    host: str, port: int, timeout: float
) -> Result[MessageStream, str]:
    """Open a stream, within ``timeout`` seconds."""
    try:
        channel = await set_up_within(
            _open_channel(host, port), timeout, MessageChannel.abort
        )
    except TimeoutError:
        return Error(f"no connection to {host}:{port} within {timeout} s")
    except OSError as error:
        return Error(f"cannot connect to {host}:{port}: {error}")
    return Ok(MessageStream(channel))


async def _open_channel(host: str, port: int) -> MessageChannel:
    loop = get_running_loop()
    _, channel = await loop.create_connection(MessageChannel, host, port)
    return channel


async def _serve(handler: StreamHandler, stream: MessageStream) -> None:
    try:
        await handler(stream)
    finally:
        await stream.close()


def _is_newer(fields: Any) -> bool:
    """Return whether the message is of a kind added after this version."""
    is_tagged = isinstance(fields, list) and bool(fields) and type(fields[0]) is int
    return is_tagged and fields[0] >= len(MESSAGE_TYPES)


def _peer_name(channel: Channel) -> str:
    peer = channel.transport.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else "unknown"


def _keep_alive(channel: Channel) -> None:
    socket = channel.transport.get_extra_info("socket")
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
