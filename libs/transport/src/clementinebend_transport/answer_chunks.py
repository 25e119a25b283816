"""The body of an answer that is still coming, read piece by piece."""

from asyncio import timeout_at
from collections.abc import AsyncIterator, Callable
from functools import singledispatch

from clementinebend_transport.client_connection import ClientConnection
from clementinebend_transport.exceptions import TruncatedAnswer


class AnswerChunks(AsyncIterator[bytes]):
    """The body of an open answer, piece by piece as it comes."""

    def __init__(
        self,
        connection: ClientConnection,
        release: Callable[[ClientConnection], None],
        drop: Callable[[ClientConnection], None],
    ) -> None:
        self.connection = connection
        self.release = release
        self.drop = drop
        self.is_ended = False

    async def __anext__(self) -> bytes:
        """Return the next piece.

        Raises ``TruncatedAnswer`` if the body ends before it is whole.
        """
        piece = await self.read()
        if piece is None:
            raise StopAsyncIteration
        return piece

    async def read(self, until: float | None = None) -> bytes | None:
        """Return the next piece; ``None`` at the end of the body.

        Raises ``TruncatedAnswer`` if the body ends before it is whole, and
        ``TimeoutError`` if nothing more has come by ``until``, in the time of the event
        loop; reading can continue after that.
        """
        if self.is_ended:
            return None
        try:
            piece = await self.connection.read_piece(until)
        except TruncatedAnswer:
            self.close()
            raise
        if piece is None:
            self.is_ended = True
            self.release(self.connection)
        return piece

    def buffered_bytes(self) -> int:
        """Return how many bytes have arrived and are not read, at most."""
        if self.is_ended:
            return 0
        channel = self.connection.channel
        return channel.received_bytes + channel.parsing_bytes

    def chunk_count(self) -> int:
        """Return how many chunks of the body have been read, 0 after its end.

        Of a body without chunks, the pieces in which it came count.
        """
        return 0 if self.is_ended else self.connection.pieces

    def pause(self, is_paused: bool) -> None:
        """Receive nothing more while the body is not read, or go on."""
        if not self.is_ended:
            self.connection.channel.pause_receiving(is_paused)

    async def aclose(self) -> None:
        """Stop reading; see ``close``."""
        self.close()

    def close(self) -> None:
        """Stop reading: unless the body has ended, the connection is closed."""
        if not self.is_ended:
            self.is_ended = True
            self.drop(self.connection)


@singledispatch
async def next_piece(
    chunks: AsyncIterator[bytes], until: float | None = None
) -> bytes | None:
    """Return the next piece of an answer's body; ``None`` at its end.

    Raises ``TimeoutError`` if none has come by ``until``, in the time of the event
    loop, and ``TruncatedAnswer`` if the body ends before it is whole. For an
    answer from a connection, a piece that has arrived by then is returned even if the
    event loop is late.
    """
    async with timeout_at(until):
        return await anext(chunks, None)


@next_piece.register
async def _(chunks: AnswerChunks, until: float | None = None) -> bytes | None:
    return await chunks.read(until)
