"""The server's end of a caller's connection, which counts what it holds.

Bytes are received into one buffer that all connections share, so that a connection
takes no memory for what has not come.
"""

from asyncio import BufferedProtocol
from collections.abc import Callable

from clementinebend_transport.channel import READ_BUFFER_BYTES, Channel
from clementinebend_transport.room import Room, UnfinishedRequest

SHORT_RECEIVE_BYTES = 1024
"""Most bytes of one receive while there is no room: a usual request without body."""

_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class CallerChannel(Channel, BufferedProtocol):
    """A connection whose received bytes, and what is parsed of them, count in a room.

    Connections of one event loop share the buffer, which is free between calls.
    """

    def __init__(
        self,
        room: Room[UnfinishedRequest],
        on_connected: Callable[[Channel], None] | None = None,
    ) -> None:
        super().__init__(on_connected)
        self.room = room
        self.counted_bytes = 0
        self.is_waiting_for_room = False
        """Whether nothing is received until something is read."""
        self.expected_bytes = 0
        """For how many bytes of the body that is being read there is room."""
        self.head_bytes = 0
        """What the head takes of the request that is read or answered."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are received: little if there is no room."""
        has_room = self.room.has(1) or self.expected_bytes >= READ_BUFFER_BYTES
        return _buffer if has_room else _buffer[:SHORT_RECEIVE_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has been received."""
        self.data_received(bytes(_buffer[:nbytes]))
        self.count()
        if self.received_bytes >= SHORT_RECEIVE_BYTES and not self.room.has(1):
            self._wait_for_room()

    async def read(self, until: float | None = None) -> bytes:
        """Return the bytes that have come, as ``Channel.read`` does."""
        data = await super().read(until)
        self.count()
        self._go_on()
        return data

    def set_parsing(self, size: int) -> None:
        """Count bytes that a parser holds."""
        super().set_parsing(size)
        self.count()

    def set_head(self, size: int) -> None:
        """Count the head of a request, in bytes; 0 once it has been answered."""
        self.head_bytes = size
        self.count()

    def discard(self) -> None:
        """Drop everything that was received and all that will be."""
        super().discard()
        self.count()
        self._go_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what was received, and everyone who waits on this connection."""
        super().connection_lost(exc)
        self.count()

    def count(self) -> None:
        """Bring the room up to date."""
        is_lost = self.lost.is_set()
        held = 0 if is_lost else self._held_bytes()
        self.room.held += held - self.counted_bytes
        self.counted_bytes = held

    def _wait_for_room(self) -> None:
        """Receive nothing until something is read.

        While a request is being answered, its caller's leaving must be noticed: what
        follows is dropped then, and the connection ends after the answer.
        """
        if self.on_end is not None:
            self._overrun()
        elif not self.transport.is_closing():
            self.is_waiting_for_room = True
            self.transport.pause_reading()

    def _go_on(self) -> None:
        if self.is_waiting_for_room and not self.transport.is_closing():
            self.transport.resume_reading()
        self.is_waiting_for_room = False

    def _held_bytes(self) -> int:
        return self.received_bytes + self.parsing_bytes + self.head_bytes
