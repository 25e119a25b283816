"""One caller's HTTP connection: its requests one after another.

The connection's task runs the handler. While it does, the caller's leaving
cancels the task, and with it the handler or the body's iterator.
Source: RFC 9112; parsing by ``h11``.
"""

from asyncio import Task, timeout
from collections.abc import AsyncIterator
from contextlib import suppress
from logging import getLogger
from typing import NamedTuple

from h11 import (
    DONE,
    NEED_DATA,
    SERVER,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
)
from h11 import Connection as Parser
from h11 import Event as HttpEvent
from h11 import Request as HttpRequest
from h11 import Response as HttpResponse

from clementinebend_transport.channel import WRITE_BUFFER_BYTES, Channel
from clementinebend_transport.exceptions import AnswerCutError, SlowReaderError
from clementinebend_transport.http_types import (
    Handler,
    Request,
    Response,
    ServerLimits,
    error_response,
)
from clementinebend_transport.metrics import counter

logger = getLogger(__name__)

LINGER_SECONDS = 1.0
"""How long bytes of a refused request are still read, so that the refusal is
not lost to a reset."""

DRAIN_GRACE_SECONDS = 0.25
"""How long a quiet connection stays open in a planned stop, for a request that
is on its way."""

CLOSE_HEADER = ("connection", "close")
BODILESS_STATUSES = frozenset((204, 304))
FRAMING = frozenset(("content-length", "transfer-encoding", "connection"))
"""Headers that are the connection's own business."""

_answered = counter(
    "clementinebend_http_requests_total", "Requests answered, by status.", ("status",)
)
_abandoned = counter(
    "clementinebend_http_requests_abandoned_total",
    "Requests whose caller left before the answer was whole.",
)
_cut = counter(
    "clementinebend_http_answers_cut_total",
    "Streamed answers cut off because their source failed.",
)
_slow = counter(
    "clementinebend_http_slow_callers_total",
    "Connections closed because the caller did not take its answer.",
)


class Refusal(NamedTuple):
    """A request that cannot be read, and the status that says so."""

    status: int
    message: str


class ConnectionEnd(NamedTuple):
    """The caller sent no further request."""


class HttpConnection:
    """State of one caller's connection, owned by one task."""

    def __init__(
        self, channel: Channel, handler: Handler, limits: ServerLimits
    ) -> None:
        self.channel = channel
        self.handler = handler
        self.limits = limits
        self.parser = Parser(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self.idle_limit = min(limits.idle_timeout, limits.header_timeout)
        self.is_idle = True
        self.is_draining = False

    async def serve(self, task: Task[None]) -> None:
        """Answer requests until the connection ends; ``task`` is the caller's."""
        try:
            while await self._serve_one(task):
                self.parser.start_next_cycle()
                self.idle_limit = self.limits.idle_timeout
        finally:
            self.channel.on_end = None
            await self.channel.close(self.limits.write_timeout)

    async def _serve_one(self, task: Task[None]) -> bool:
        """Answer the next request; return whether another may follow."""
        request = await self._read_request()
        if isinstance(request, ConnectionEnd):
            return False
        if isinstance(request, Refusal):
            await self._refuse(request)
            return False
        if self.channel.ended:
            _abandoned.inc()
            return False
        return await self._answer_while_present(request, task) and self._may_go_on()

    async def _answer_while_present(self, request: Request, task: Task[None]) -> bool:
        """Answer; the caller's leaving cancels ``task``."""
        self.channel.on_end = task.cancel
        try:
            return await self._answer(request)
        finally:
            self.channel.on_end = None
            if self.channel.ended:
                _abandoned.inc()

    def _may_go_on(self) -> bool:
        states = self.parser.states.values()
        is_done = all(state is DONE for state in states)
        return is_done and not self.channel.ended and not self.channel.overrun

    # Reading.

    async def _read_request(self) -> Request | Refusal | ConnectionEnd:
        if not await self._wait_for_first_byte():
            return ConnectionEnd()
        try:
            return await self._read_parts()
        except RemoteProtocolError as error:
            if self.channel.ended:
                return ConnectionEnd()
            return Refusal(error.error_status_hint, str(error))

    async def _wait_for_first_byte(self) -> bool:
        self.is_idle = True
        with suppress(TimeoutError):
            if not self.parser.trailing_data[0]:
                async with timeout(self._idle_limit()):
                    self.parser.receive_data(await self.channel.read())
        self.is_idle = False
        return bool(self.parser.trailing_data[0])

    def _idle_limit(self) -> float:
        return DRAIN_GRACE_SECONDS if self.is_draining else self.idle_limit

    async def _read_parts(self) -> Request | Refusal | ConnectionEnd:
        try:
            async with timeout(self.limits.header_timeout):
                head = await self._next_event()
        except TimeoutError:
            return Refusal(408, "the request's headers took too long")
        if not isinstance(head, HttpRequest):
            return ConnectionEnd()
        refusal = self._check_head(head)
        if refusal is not None:
            return refusal
        if self.parser.they_are_waiting_for_100_continue:
            self._send(InformationalResponse(status_code=100, headers=[]))
        try:
            async with timeout(self.limits.body_timeout):
                body = await self._read_body()
        except TimeoutError:
            return Refusal(408, "the request's body took too long")
        return _request(head, body) if isinstance(body, bytes) else body

    def _check_head(self, head: HttpRequest) -> Refusal | None:
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size + len(head.target) > self.limits.max_header_bytes:
            limit = self.limits.max_header_bytes
            return Refusal(431, f"the headers are larger than {limit} bytes")
        if head.method == b"CONNECT":
            return Refusal(400, "CONNECT is not supported")
        length = dict(head.headers.raw_items()).get(b"content-length", b"0")
        return self._check_size(int(length)) if length.isdigit() else None

    def _check_size(self, size: int) -> Refusal | None:
        limit = self.limits.max_body_bytes
        if size <= limit:
            return None
        return Refusal(413, f"the body is larger than {limit} bytes")

    async def _read_body(self) -> bytes | Refusal:
        pieces: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), Data):
            size += len(event.data)
            refusal = self._check_size(size)
            if refusal is not None:
                return refusal
            pieces.append(bytes(event.data))
        return b"".join(pieces)

    async def _next_event(self) -> HttpEvent:
        while (event := self.parser.next_event()) is NEED_DATA:
            self.parser.receive_data(await self.channel.read())
        return event if isinstance(event, HttpEvent) else ConnectionClosed()

    # Answering.

    async def _answer(self, request: Request) -> bool:
        """Send the handler's answer; return whether it went out whole."""
        try:
            response = await self.handler(request)
        except Exception:
            logger.exception("handler failed", extra={"target": request.target})
            response = error_response(500, "internal_error", "the handler failed")
        try:
            return await self._send_response(request.method, response)
        except SlowReaderError:
            _slow.inc()
            self.channel.abort()
            return False

    async def _send_response(self, method: str, response: Response) -> bool:
        body = response.body
        if not isinstance(body, bytes):
            return await self._send_stream(method, response, body)
        self._send_head(response, (("content-length", str(len(body))),))
        if _has_body(method, response.status):
            await self._send_bytes(body)
        self._send(EndOfMessage())
        return await self.channel.drain(self.limits.write_timeout)

    async def _send_bytes(self, body: bytes) -> None:
        """Send a whole body in slices, so that a slow reader makes us wait."""
        for start in range(0, len(body), WRITE_BUFFER_BYTES):
            self._send(Data(data=body[start : start + WRITE_BUFFER_BYTES]))
            await self.channel.drain(self.limits.write_timeout)

    async def _send_stream(
        self, method: str, response: Response, body: AsyncIterator[bytes]
    ) -> bool:
        try:
            self._send_head(response, (("transfer-encoding", "chunked"),))
            if _has_body(method, response.status) and not await self._send_pieces(body):
                return False
        finally:
            await _close_iterator(body)
        self._send(EndOfMessage())
        return await self.channel.drain(self.limits.write_timeout)

    async def _send_pieces(self, body: AsyncIterator[bytes]) -> bool:
        """Send the pieces as they come; those ready together in one write."""
        try:
            async for piece in body:
                if piece:
                    self._send(Data(data=piece))
                await self.channel.drain(self.limits.write_timeout)
        except SlowReaderError:
            raise
        except AnswerCutError:
            self._cut()
            return False
        except Exception:
            logger.exception("the source of a streamed answer failed")
            self._cut()
            return False
        return True

    def _cut(self) -> None:
        """End the connection so that no caller takes the answer for whole."""
        _cut.inc()
        if self.parser.their_http_version == b"1.0":
            self.channel.reset()

    def _send_head(
        self, response: Response, framing: tuple[tuple[str, str], ...]
    ) -> None:
        _answered.labels(response.status).inc()
        is_last = self.is_draining or self.channel.overrun
        closing = (CLOSE_HEADER,) if is_last else ()
        own = (pair for pair in response.headers if pair[0].lower() not in FRAMING)
        framing = () if response.status in BODILESS_STATUSES else framing
        headers = [*own, *framing, *closing]
        self._send(HttpResponse(status_code=response.status, headers=headers))

    def _send(self, event: HttpEvent) -> None:
        for data in self.parser.send_with_data_passthrough(event) or ():
            self.channel.post(data)

    async def _refuse(self, refusal: Refusal) -> None:
        """Answer an unreadable request and let the caller read the answer."""
        response = error_response(refusal.status, "bad_request", refusal.message)
        self.is_draining = True
        await self._send_response("GET", response)
        await linger(self.channel)


async def linger(channel: Channel) -> None:
    """End our side and drop what still comes, for a short time."""
    channel.discard()
    channel.flush()
    if not channel.transport.is_closing():
        channel.transport.write_eof()
    with suppress(TimeoutError):
        async with timeout(LINGER_SECONDS):
            await channel.lost.wait()


async def _close_iterator(body: AsyncIterator[bytes]) -> None:
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()


def _has_body(method: str, status: int) -> bool:
    return method != "HEAD" and status not in BODILESS_STATUSES


def _request(head: HttpRequest, body: bytes) -> Request:
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return Request(head.method.decode(), head.target.decode("latin-1"), headers, body)
