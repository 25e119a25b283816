"""A stand-in engine whose answers have neither a length nor chunks.

Each answer ends with its channel, which is closed or reset.
"""

from asyncio import StreamReader, StreamWriter, start_server
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any

from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_types import Request, Response
from tests.lib.platform_engine import EngineStandin
from tests.lib.processes import LOCALHOST

HEAD_END = b"\r\n\r\n"
RESET = pack("ii", 1, 0)
"""Socket option that lets a close reset the connection."""


async def read_head(reader: StreamReader) -> Request:
    """Read the head of a request, which is returned without its body."""
    head = await reader.readuntil(HEAD_END)
    line, *fields = head.decode().removesuffix("\r\n\r\n").split("\r\n")
    method, target, _ = line.split(" ")
    pairs = (field.partition(": ") for field in fields)
    headers = {name.lower(): value for name, _, value in pairs}
    return Request(method, target, headers, b"")


class BareServer:
    """The listening socket of an engine, and its open channels."""

    def __init__(self, engine: "BareEngine", server: Any) -> None:
        self.engine = engine
        self.server = server
        self.port: int = server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End at once: close the socket and all channels."""
        self.server.close()
        for writer in list(self.engine.writers):
            self.engine.cut(writer)


class BareEngine(EngineStandin):
    """An engine with bare answers.

    With ``resets`` a channel whose answer is cut, also as the engine ends, is reset
    instead of closed. With ``ends_in_event`` it ends inside an event. With
    ``is_empty`` the channel ends right after the head. ``head_bytes`` is the number of
    bytes of the head after which it ends, before the last one; None if it does not.
    ``framing`` is a field that the head has then.
    """

    resets = False
    ends_in_event = False
    is_empty = False
    head_bytes: int | None = None
    framing = ""

    async def start(self, port: int = 0) -> None:
        """Listen on ``port``, or on a free one."""
        self.writers: set[StreamWriter] = set()
        server = await start_server(self._serve, LOCALHOST, port)
        self.server = BareServer(self, server)  # type: ignore[assignment]

    def cut(self, writer: StreamWriter) -> None:
        """End a channel whose answer is not whole."""
        if self.ends_in_event and not writer.is_closing():
            writer.write(b"id")
        if self.resets and not writer.is_closing():
            socket = writer.get_extra_info("socket")
            socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
        writer.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with suppress(ConnectionError, EOFError):
                await self._exchange(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _exchange(self, reader: StreamReader, writer: StreamWriter) -> None:
        request = await read_head(reader)
        size = int(request.headers.get("content-length", "0"))
        body = await reader.readexactly(size)
        response = await self.handle(request._replace(body=body))
        await self._write(response, writer)

    async def _write(self, response: Response, writer: StreamWriter) -> None:
        fields = "".join(f"{name}: {value}\r\n" for name, value in response.headers)
        head = f"HTTP/1.1 {response.status} OK\r\n{fields}{self.framing}\r\n".encode()
        if self.head_bytes is not None:
            writer.write(head[: min(self.head_bytes, len(head) - 1)])
            await writer.drain()
            self.cut(writer)
            return
        writer.write(head)
        await writer.drain()
        if self.is_empty:
            return
        if isinstance(response.body, bytes):
            writer.write(response.body)
            return
        try:
            async for piece in response.body:
                writer.write(piece)
                await writer.drain()
        except AnswerCutError:
            self.cut(writer)
