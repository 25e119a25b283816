"""The bytes of one TCP connection, with bounded buffers in both directions.

What is posted within one iteration of the event loop leaves in one write.
asyncio sets ``TCP_NODELAY`` on every TCP connection, so nothing waits for an
acknowledgement.
"""

from asyncio import (
    BaseTransport,
    Event,
    Handle,
    Protocol,
    Transport,
    get_running_loop,
    sleep,
    timeout,
    timeout_at,
)
from collections.abc import Callable
from fcntl import ioctl
from select import POLLERR, POLLHUP, POLLIN, poll
from socket import SO_LINGER, SOL_SOCKET
from struct import calcsize, pack, unpack
from termios import FIONREAD, TIOCOUTQ
from time import monotonic
from typing import cast

from clementinebend_transport.connection_ends import LATE_READS
from clementinebend_transport.exceptions import SlowReaderError
from clementinebend_transport.metrics import counter
from clementinebend_transport.traffic import traffic

READ_BUFFER_BYTES = 128 * 1024
"""Bytes received and not read, above which reading pauses; while a caller's request is
being answered, the connection ends instead."""

WRITE_BUFFER_BYTES = 64 * 1024

RECEIVE_ITERATIONS = 2
"""Event loop iterations after which the bytes held by the socket are received."""

RESET_ON_CLOSE = pack("ii", 1, 0)
"""The ``struct linger`` that makes close send a reset; source: socket(7)."""

QUEUE_FORMAT = "i"
"""How the system tells the size of a socket's queues; source: tcp(7)."""

_late_reads = counter(
    LATE_READS, "Reads that found their bytes only after their timeout had expired."
)


class Channel(Protocol):
    """One end of a connection; used by one reading task at a time."""

    def __init__(self, on_connected: Callable[["Channel"], None] | None = None) -> None:
        self.on_connected = on_connected
        self.on_end: Callable[[], object] | None = None
        self.received: list[bytes] = []
        self.received_bytes = 0
        self.received_at = 0.0
        """When the last byte came, by ``time.monotonic``."""
        self.discarded_bytes = 0
        """Bytes that were dropped unread so far."""
        self.dropped_unsent_bytes = 0
        """Unsent bytes that were dropped as the connection was aborted."""
        self.parsing_bytes = 0
        """Upper bound of the bytes that a parser has been given and not returned."""
        self.written_bytes = 0
        """Bytes handed to the transport so far."""
        self.outgoing: list[bytes] = []
        self.outgoing_bytes = 0
        self.flushing: Handle | None = None
        self.discarding = False
        self.overrun = False
        self.keeps_sending = False
        """Whether the connection outlives the other side's end until all is sent."""
        self.ended = False
        self.failure: Exception | None = None
        self.readable = Event()
        self.writable = Event()
        self.writable.set()
        self.lost = Event()
        self.transport: Transport

    # Called by asyncio.

    def connection_made(self, transport: BaseTransport) -> None:
        """Take over a new connection."""
        self.transport = cast(Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.received_at = monotonic()
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read; above the limit stop receiving."""
        traffic.received += len(data)
        self.received_at = monotonic()
        if self.discarding:
            self.discarded_bytes += len(data)
            return
        self.received.append(data)
        self.received_bytes += len(data)
        self.readable.set()
        if self.received_bytes <= READ_BUFFER_BYTES:
            return
        if self.on_end is None:
            self.transport.pause_reading()
        else:
            self._overrun()

    def eof_received(self) -> bool:
        """Take the other side's end as the connection's end.

        With ``keeps_sending`` it stays open while the other side has not taken all that
        was sent: whether it does shows if its end was a proper one.
        """
        self._end()
        return self.keeps_sending and self.undelivered_bytes() > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everyone who waits on this connection."""
        self.failure = exc
        self.lost.set()
        self.writable.set()
        self._end()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.writable.set()

    # Called by the owner.

    async def read(self, until: float | None = None) -> bytes:
        """Return the bytes that have come, at least one; none at the end.

        Raises ``TimeoutError`` if nothing has come by ``until``, in the time of the
        event loop. If the loop is late, bytes that have arrived by then are returned.
        """
        while not self.received and not self.ended:
            self.readable.clear()
            try:
                async with timeout_at(until):
                    await self.readable.wait()
            except TimeoutError:
                if not await self._take_arrivals():
                    raise
                _late_reads.inc()
        data = self.received[0] if len(self.received) == 1 else b"".join(self.received)
        self.received.clear()
        if self.received_bytes > READ_BUFFER_BYTES and not self.ended:
            self.transport.resume_reading()
        self.received_bytes = 0
        return data

    def set_parsing(self, size: int) -> None:
        """Set how many bytes a parser has been given and not returned, at most."""
        self.parsing_bytes = size

    def post(self, data: bytes) -> None:
        """Send ``data`` at the end of this iteration of the event loop."""
        self.outgoing.append(data)
        self.outgoing_bytes += len(data)
        if self.flushing is None:
            self.flushing = get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Hand everything posted to the socket, in one write."""
        if self.flushing is not None:
            self.flushing.cancel()
            self.flushing = None
        if self.outgoing and not self.transport.is_closing():
            traffic.sent += self.outgoing_bytes
            self.written_bytes += self.outgoing_bytes
            self.transport.writelines(self.outgoing)
        self.outgoing.clear()
        self.outgoing_bytes = 0

    async def drain(self, limit: float | None = None) -> bool:
        """Wait until more may be posted; return whether it still can be sent.

        A source that is always ready lets other tasks run here, too. Raises
        ``SlowReaderError`` if the other side takes nothing for ``limit``
        seconds.
        """
        if self.outgoing_bytes >= WRITE_BUFFER_BYTES:
            self.flush()
            await sleep(0)
        if not self.writable.is_set():
            await self._wait_writable(limit)
        return not self.transport.is_closing()

    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be taken by the socket."""
        return self.outgoing_bytes + self.transport.get_write_buffer_size()

    def undelivered_bytes(self) -> int:
        """Return how many bytes the other side's system has not taken yet."""
        return self.unsent_bytes() + _queue_bytes(self.transport, TIOCOUTQ)

    def is_reset(self) -> bool:
        """Return whether the connection has failed, as by a reset."""
        if self.failure is not None:
            return True
        if self.transport.is_closing():
            return False
        return bool(self._poll() & (POLLERR | POLLHUP))

    def delivered_bytes(self) -> int:
        """Return how many bytes the other side's system has taken so far.

        The socket's own buffer holds some MB on a fast path, so that a slow reader
        shows here long before the socket takes more.
        """
        return (
            self.written_bytes
            - self.transport.get_write_buffer_size()
            - _queue_bytes(self.transport, TIOCOUTQ)
        )

    def unread_bytes(self) -> int:
        """Return how many bytes have come, and were dropped or are not read yet."""
        waiting = _queue_bytes(self.transport, FIONREAD)
        return self.discarded_bytes + self.received_bytes + waiting

    def pause_receiving(self, is_paused: bool) -> None:
        """Stop receiving while nothing is read, or go on.

        Else up to ``READ_BUFFER_BYTES`` and what one receive adds to them arrive.
        """
        if self.transport.is_closing():
            return
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def is_quiet(self) -> bool:
        """Return whether nothing was received, and nothing waits to be sent."""
        return not (self.received or self.ended or self.unsent_bytes())

    def has_arrivals(self) -> bool:
        """Return whether the socket holds bytes, or an end, not received yet."""
        return not self.transport.is_closing() and self._poll() != 0

    def discard(self) -> None:
        """Drop everything that was received and all that will be."""
        self.discarding = True
        if self.received_bytes > READ_BUFFER_BYTES and not self.ended:
            self.transport.resume_reading()
        self.received.clear()
        self.discarded_bytes += self.received_bytes
        self.received_bytes = 0

    async def close(self, limit: float) -> bool:
        """Send what was posted and close; after ``limit`` seconds, drop it.

        Returns whether the connection ended within the limit.
        """
        self.flush()
        self.transport.close()
        try:
            async with timeout(limit):
                await self.lost.wait()
        except TimeoutError:
            self.abort()
            return False
        return True

    def abort(self) -> None:
        """Close at once; what is buffered is dropped."""
        if not self.lost.is_set():
            self.dropped_unsent_bytes += self.unsent_bytes()
        self.outgoing.clear()
        self.outgoing_bytes = 0
        self.transport.abort()

    def reset(self) -> None:
        """Close at once so that the other side sees a reset, not an end."""
        socket = self.transport.get_extra_info("socket")
        if socket is not None and not self.lost.is_set():
            socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def _poll(self) -> int:
        """Return the events of the open socket, as ``select.poll`` names them."""
        poller = poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), POLLIN)
        return next((events for _, events in poller.poll(0)), 0)

    async def _take_arrivals(self) -> bool:
        """Receive what the socket holds; return whether there is data or the end.

        After a late iteration of the event loop, a timeout and the bytes that it waits
        for are due at once.
        """
        if not self.received and not self.ended and self.has_arrivals():
            for _ in range(RECEIVE_ITERATIONS):
                await sleep(0)
        return bool(self.received) or self.ended

    async def _wait_writable(self, limit: float | None) -> None:
        while not self.writable.is_set():
            unsent = self.transport.get_write_buffer_size()
            try:
                async with timeout(limit):
                    await self.writable.wait()
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= unsent:
                    message = f"nothing could be sent for {limit} s"
                    raise SlowReaderError(message) from None

    def _overrun(self) -> None:
        self.overrun = True
        self.discard()

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.readable.set()
        if self.on_end is not None:
            self.on_end()


def _queue_bytes(transport: BaseTransport, queue: int) -> int:
    """Return the bytes in a queue of the socket, 0 if unknown.

    ``FIONREAD``: not received yet; ``TIOCOUTQ``: not acknowledged by the other side.
    """
    socket = transport.get_extra_info("socket")
    if socket is None or socket.fileno() < 0:
        return 0
    try:
        queued = ioctl(socket.fileno(), queue, bytes(calcsize(QUEUE_FORMAT)))
    except OSError:
        return 0
    return int(unpack(QUEUE_FORMAT, queued)[0])
