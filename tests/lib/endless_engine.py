"""A stand-in engine that answers with bytes without end, until its caller closes."""

from asyncio import StreamWriter, sleep
from typing import NamedTuple

from clementinebend_transport.http_types import Response
from tests.lib.bare_engine import BareEngine

OK_LINE = b"HTTP/1.1 200 OK\r\n"
REFUSED_LINE = b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n"
FAILED_LINE = b"HTTP/1.1 500 Failed\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
LINE_END = b"\r\n"
FILLING = b"x" * 16 * 1024


class Way(NamedTuple):
    """What an engine sends: a status line, fields, what follows, a piece for ever.

    ``pause`` is the time in seconds after each piece. Without ``has_fields`` the fields
    of a good answer are left out.
    """

    piece: bytes
    line: bytes = OK_LINE
    start: bytes = LINE_END
    pause: float = 0.0
    has_fields: bool = True


TRICKLE = 0.02
"""Pause in seconds of an engine that sends slowly."""

PLAIN_WAYS = {
    "fields": Way(b"x-field: value\r\n" * 1000, start=b""),
    "line": Way(FILLING, start=b"x-line: "),
    "informational": Way(b"HTTP/1.1 100 Continue\r\n\r\n" * 100, b"", b"", 0.0, False),
    "slow informational": Way(
        b"HTTP/1.1 100 Continue\r\n\r\n", b"", b"", TRICKLE, False
    ),
    "no answer": Way(FILLING, b"", b"", 0.0, False),
    "body": Way(FILLING),
    "slow body": Way(b"x", pause=TRICKLE),
    "chunks": Way(b"400\r\n" + b"x" * 1024 + b"\r\n", start=CHUNKED + LINE_END),
    "small chunks": Way(b"1\r\nx\r\n" * 5000, start=CHUNKED + LINE_END),
    "chunks of eight bytes": Way(b"8\r\nxxxxxxxx\r\n" * 2000, start=CHUNKED + LINE_END),
    "chunk header": Way(FILLING, start=CHUNKED + LINE_END + b"1;x="),
    "trailer": Way(b"x-field: value\r\n" * 1000, start=CHUNKED + LINE_END + b"0\r\n"),
    "refusal": Way(FILLING, REFUSED_LINE),
    "slow refusal": Way(b"x", REFUSED_LINE, pause=TRICKLE),
    "failure": Way(FILLING, FAILED_LINE),
    "slow failure": Way(b"x", FAILED_LINE, pause=TRICKLE),
}
STREAM_WAYS = {
    "informational": PLAIN_WAYS["informational"],
    "one event": Way(b"x" * 1024, start=LINE_END + b"id: 1\ndata: "),
    "one event in small chunks": Way(
        b"8\r\nxxxxxxxx\r\n" * 2000, start=CHUNKED + LINE_END
    ),
    "blank events": Way(b"\n" * 1024),
    "comments": Way(b": comment\n\n" * 100),
    "events without numbers": Way(b"data: piece\n\n" * 100),
    "one number": Way(b"id: 1\ndata: piece 1\n\n" * 100),
}


class EndlessEngine(BareEngine):
    """An engine that answers each call in a ``way`` without end.

    ``open`` counts the calls whose channel is still open.
    """

    way = PLAIN_WAYS["body"]
    open = 0

    async def _write(self, response: Response, writer: StreamWriter) -> None:
        way = self.way
        fields = "".join(f"{name}: {value}\r\n" for name, value in response.headers)
        named = fields.encode() if way.has_fields else b""
        writer.write(way.line + named + way.start)
        self.open += 1
        try:
            while True:
                writer.write(way.piece)
                await writer.drain()
                await sleep(way.pause)
        finally:
            self.open -= 1
