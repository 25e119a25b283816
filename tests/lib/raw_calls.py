"""Bytes sent to a server as they are, for requests that no client would send."""

from asyncio import open_connection, timeout
from json import loads
from typing import Any, NamedTuple

from tests.lib.processes import LOCALHOST

ANSWER_DEADLINE = 30.0
HEAD_END = b"\r\n\r\n"


class RawAnswer(NamedTuple):
    """What came back before the server closed; status 0 if nothing came."""

    status: int
    body: bytes

    def error(self) -> dict[str, Any]:
        """Return the error in the JSON body."""
        error: dict[str, Any] = loads(self.body)["error"]
        return error


async def send_raw(port: int, *parts: bytes, half: bool = False) -> RawAnswer:
    """Send bytes to an HTTP server and return its answer."""
    return _answer(await send_bytes(port, *parts, half=half))


async def send_bytes(port: int, *parts: bytes, half: bool = False) -> bytes:
    """Return all that comes back; ``half`` closes the sending side."""
    reader, writer = await open_connection(LOCALHOST, port)
    try:
        writer.writelines(parts)
        await writer.drain()
        if half:
            writer.write_eof()
        async with timeout(ANSWER_DEADLINE):
            return await reader.read()
    finally:
        writer.close()


def request_head(method: str, path: str, *headers: str) -> bytes:
    """Return the head of a request whose connection ends with the answer."""
    lines = (f"{method} {path} HTTP/1.1", "host: test", "connection: close", *headers)
    return "\r\n".join(lines).encode() + HEAD_END


def _answer(data: bytes) -> RawAnswer:
    if not data:
        return RawAnswer(0, b"")
    head, _, body = data.partition(HEAD_END)
    return RawAnswer(int(head.split()[1]), body)
