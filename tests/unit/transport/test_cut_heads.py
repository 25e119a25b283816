"""Answers whose head breaks off: none may be taken for an answer."""

from asyncio import StreamReader, StreamWriter, gather
from socket import SO_LINGER, SOL_SOCKET

import pytest

from clementinebend_transport.channel import RESET_ON_CLOSE
from clementinebend_transport.http_client import HttpClient
from tests.unit.transport.loopback import HOST, Script, read_until, scripted

AT_ONCE = 50
"""Requests in progress at a time."""

FIELDS = b"x-request-id: r1\r\nx-response-signature: s1\r\n"
HEADS = {
    "sized": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"content-length: 2\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"content-length: 0\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"transfer-encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"connection: close\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\n" + FIELDS + b"\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n",
    "after a notice": b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"content-length: 2\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nx-request-id: r1\ncontent-length: 2\n\n",
}


def cut_after(head: bytes, size: int, resets: bool) -> Script:
    """Answer with the first ``size`` bytes of a head, and end the connection."""

    async def script(reader: StreamReader, writer: StreamWriter) -> None:
        await read_until(reader, b"\r\n\r\n")
        writer.write(head[:size])
        await writer.drain()
        if resets:
            socket = writer.get_extra_info("socket")
            socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)

    return script


async def is_failure(client: HttpClient, head: bytes, size: int, resets: bool) -> bool:
    """Return whether a cut head is a failure that may have run."""
    async with scripted(cut_after(head, size, resets)) as port:
        outcome = await client.request("GET", f"http://{HOST}:{port}/a")
    return outcome.is_error() and outcome.error.sent and outcome.error.broke_off


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("kind", list(HEADS))
async def test_a_head_that_breaks_off_anywhere_is_no_answer(
    kind: str, resets: bool
) -> None:
    """Guards against a success with an empty body that nobody has sent."""
    client, head = HttpClient(), HEADS[kind]
    for sizes in batched_sizes(len(head)):
        checks = (is_failure(client, head, size, resets) for size in sizes)
        assert all(await gather(*checks)), sizes
    await client.close()


def batched_sizes(end: int) -> list[tuple[int, ...]]:
    """Return all sizes of a head that is cut, some at a time."""
    return [
        tuple(range(start, min(start + AT_ONCE, end)))
        for start in range(0, end, AT_ONCE)
    ]
