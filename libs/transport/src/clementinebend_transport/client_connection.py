"""One HTTP connection to a server, and the answer that comes over it.

Source: RFC 9112; parsing by ``h11``.
"""

from asyncio import get_running_loop, sleep
from math import inf
from re import IGNORECASE, compile
from typing import NamedTuple

from h11 import (
    CLIENT,
    NEED_DATA,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
)
from h11 import Connection as Parser
from h11 import Request as HttpRequest
from h11 import Response as HttpResponse

from clementinebend_transport.channel import Channel
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_events import (
    has_too_many_pieces,
    is_cycle_done,
    next_event,
    post_event,
)

MAX_ANSWER_HEADER_BYTES = 64 * 1024
"""Maximum size in bytes of the head, a chunk header or the trailer of an answer."""

MAX_INFORMATIONAL_ANSWERS = 16
"""Maximum number of informational answers (1xx) before the final one."""

MAX_OVERHEAD_BYTES = 128 * 1024
"""Maximum size in bytes of the heads, chunk headers and trailers of an answer, plus the
size of its body."""

MAX_JOINED_CHUNKS = 32
"""Maximum number of received chunks that are joined into one piece."""

EVENTS_PER_TURN = 4
"""Pieces of one read after which the event loop runs other tasks."""

MIN_STATUS, MAX_STATUS = 200, 599
"""The valid statuses of a final answer; source: RFC 9110, section 15."""

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
BODILESS_STATUSES = frozenset((204, 304))
"""What tells where a body ends; source: RFC 9112, section 6.3."""

DELIVERY_SECONDS = 1.0
"""Seconds in which a server that has ended its answer must take the whole request."""

DELIVERY_CHECK_SECONDS = 0.005

LATE_READ_SECONDS = 0.2
"""Seconds after a read timeout in which received bytes are still read. Without this
bound, a server that sends continuously would never time out."""

KEEP_ALIVE_TIMEOUT = compile(rb"timeout\s*=\s*(\d{1,9})", IGNORECASE)
"""The seconds a server keeps an idle connection; source: RFC 2068, 19.7.1."""

KEEP_ALIVE_USED = 0.6
"""Part of that time in which a connection is reused: a request that crosses
the server's close is lost, and nobody knows whether it ran."""


class Address(NamedTuple):
    """Where a server listens."""

    host: str
    port: int


class ClientConnection:
    """A connection to ``address``; it carries one request at a time."""

    def __init__(self, channel: Channel, address: Address) -> None:
        self.channel = channel
        self.address = address
        self.parser = Parser(CLIENT, max_incomplete_event_size=MAX_ANSWER_HEADER_BYTES)
        self.is_new = True
        """Whether no request has been sent over it."""
        self.idle_since = 0.0
        self.keep_alive = inf
        self.ends_with_channel = False
        """Whether the answer's body has neither a length nor chunks."""
        self.received_bytes = 0
        """Bytes of this exchange that have been given to the parser."""
        self.body_bytes = 0
        self.pieces = 0
        self.events = 0
        """Events since bytes were last given to the parser."""
        self.parsed: object = NEED_DATA
        """What follows the last piece, if it has been parsed."""
        self.late_since: float | None = None

    def is_fresh(self) -> bool:
        """Return whether an idle connection may carry another request.

        Bytes that nobody asked for, or an end that the event loop has not
        seen yet, make it useless.
        """
        if self.channel.transport.is_closing() or not self.channel.is_quiet():
            return False
        return not self.channel.has_arrivals()

    def send(self, request: HttpRequest, body: bytes) -> None:
        """Send a whole request."""
        self.is_new = False
        data = (Data(data=body),) if body else ()
        for event in (request, *data, EndOfMessage()):
            post_event(self.parser, self.channel, event)
        self.channel.flush()

    async def read_head(self, until: float | None = None) -> HttpResponse:
        """Return the final head of the answer.

        Raises ``TruncatedAnswer`` if there is none, or one with a status that is none,
        and ``TimeoutError`` if it has not come by ``until``, in the time of the event
        loop.
        """
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self._next_event(until)
            if not isinstance(event, InformationalResponse):
                break
        else:
            raise TruncatedAnswer("the informational answers don't end")
        if not isinstance(event, HttpResponse):
            raise TruncatedAnswer("the connection ended before an answer")
        if _size(event) > MAX_ANSWER_HEADER_BYTES:
            raise TruncatedAnswer("the head is too large")
        if not MIN_STATUS <= event.status_code <= MAX_STATUS:
            raise TruncatedAnswer(f"the status {event.status_code} is not valid")
        self.keep_alive = keep_alive_of(event)
        self.ends_with_channel = _ends_with_channel(event)
        return event

    async def read_piece(self, until: float | None = None) -> bytes | None:
        """Return the next piece of the answer's body; ``None`` at its end.

        Raises ``TruncatedAnswer`` if the body is not whole or comes in too many small
        pieces, and ``TimeoutError`` if nothing more has come by ``until``, in the time
        of the event loop.
        """
        event = await self._next_event(until)
        if isinstance(event, Data):
            return self._joined(event)
        if not isinstance(event, EndOfMessage):
            raise TruncatedAnswer("the connection ended before the answer was whole")
        if self.ends_with_channel:
            await self._confirm_end(until)
        return None

    def is_reusable(self) -> bool:
        """Return whether the exchange left the connection in order."""
        is_clean = self.channel.is_quiet() and not self.parser.trailing_data[0]
        return is_clean and is_cycle_done(self.parser)

    def next_exchange(self, now: float) -> None:
        """Make ready for another request; the connection is idle from ``now``."""
        self.parser.start_next_cycle()
        self.idle_since = now
        self.received_bytes = self.body_bytes = self.pieces = 0
        self.late_since = None

    def abort(self) -> None:
        """Close at once."""
        self.channel.abort()

    def _joined(self, first: Data) -> bytes:
        """Return a piece joined with those already received after it.

        The event that ends them is kept for the next read.
        """
        self._on_piece(len(first.data))
        chunks = [bytes(first.data)]
        while len(chunks) < MAX_JOINED_CHUNKS:
            try:
                self.parsed = self.parser.next_event()
            except RemoteProtocolError as error:
                self.parsed = error
            if not isinstance(self.parsed, Data):
                break
            self._on_piece(len(self.parsed.data))
            chunks.append(bytes(self.parsed.data))
            self.parsed = NEED_DATA
        taken = sum(map(len, chunks[1:]))
        self.channel.parsing_bytes = max(0, self.channel.parsing_bytes - taken)
        return b"".join(chunks)

    async def _next_event(self, until: float | None) -> object:
        self.events += 1
        if self.events % EVENTS_PER_TURN == 0:
            await sleep(0)
        self._check_lateness(until)
        parsed, self.parsed = self.parsed, NEED_DATA
        try:
            if isinstance(parsed, RemoteProtocolError):
                raise parsed
            if parsed is not NEED_DATA:
                return parsed
            return await next_event(self.parser, self.channel, until, self._on_read)
        except (RemoteProtocolError, LocalProtocolError) as error:
            raise TruncatedAnswer(f"the answer is not whole: {error}") from error

    async def _confirm_end(self, until: float | None) -> None:
        """Return once the server has taken the whole request.

        Raises ``TruncatedAnswer`` if it resets the connection first or takes too long:
        the end of the connection was not that of the answer then. Raises
        ``TimeoutError`` if that is not known by ``until``.
        """
        clock = get_running_loop().time
        stops_at = clock() + DELIVERY_SECONDS
        while self.channel.undelivered_bytes() and not self.channel.is_reset():
            now = clock()
            if until is not None and now > until:
                raise TimeoutError("the request is still on its way")
            if now > stops_at:
                raise TruncatedAnswer("the server ended before the request was sent")
            await sleep(DELIVERY_CHECK_SECONDS)
        if self.channel.is_reset():
            raise TruncatedAnswer("the connection was reset as the answer ended")

    def _on_piece(self, size: int) -> None:
        """Count a piece; raise ``TruncatedAnswer`` if there are too many small ones."""
        self.body_bytes += size
        self.pieces += 1
        if has_too_many_pieces(self.pieces, self.body_bytes):
            raise TruncatedAnswer("the answer comes in too many small pieces")

    def _on_read(self, size: int) -> None:
        """Count bytes; raise ``TruncatedAnswer`` if earlier ones are mostly overhead.

        Of the earlier bytes, at most an incomplete header is not parsed yet.
        """
        if self.received_bytes > MAX_OVERHEAD_BYTES + 2 * self.body_bytes:
            raise TruncatedAnswer("the answer has too little body for its size")
        self.received_bytes += size
        self.events = 0

    def _check_lateness(self, until: float | None) -> None:
        """Raise ``TimeoutError`` if bytes have been read for too long after ``until``.

        The time starts with the first read after ``until``, as the loop may be late.
        """
        now = get_running_loop().time()
        if until is None or now <= until:
            self.late_since = None
        elif self.late_since is None:
            self.late_since = now
        elif now - self.late_since > LATE_READ_SECONDS:
            raise TimeoutError("the answer goes on after the time for it")


def keep_alive_of(head: HttpResponse) -> float:
    """Return how long (seconds) the connection may be idle and be used again."""
    named = (value for name, value in head.headers if name == b"keep-alive")
    found = KEEP_ALIVE_TIMEOUT.search(next(named, b""))
    return inf if found is None else int(found[1]) * KEEP_ALIVE_USED


def _ends_with_channel(head: HttpResponse) -> bool:
    """Return whether only the end of the connection ends an answer's body."""
    is_framed = any(name in FRAMING_HEADERS for name, _ in head.headers)
    return not is_framed and head.status_code not in BODILESS_STATUSES


def _size(head: HttpResponse) -> int:
    """Return the bytes of an answer's fields."""
    return sum(len(name) + len(value) for name, value in head.headers)


async def connect(address: Address) -> ClientConnection:
    """Open a connection; raises ``OSError`` if that fails."""
    loop = get_running_loop()
    _, channel = await loop.create_connection(Channel, *address)
    channel.keeps_sending = True
    return ClientConnection(channel, address)
