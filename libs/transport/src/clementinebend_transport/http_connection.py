"""One caller's HTTP connection: its requests one after another.

The connection's task runs the handler. While it does, the caller's leaving
cancels the task, and with it the handler or the body's iterator.
"""

from asyncio import CancelledError, Task, get_running_loop, sleep, timeout
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from logging import getLogger
from math import inf
from time import monotonic

from h11 import SERVER, Data, EndOfMessage, LocalProtocolError
from h11 import Connection as Parser
from h11 import Event as HttpEvent
from h11 import Response as HttpResponse

from clementinebend_transport.body_room import (
    RETRY_SECONDS,
    RequestBodies,
    unlimited_bodies,
)
from clementinebend_transport.caller_channel import CallerChannel
from clementinebend_transport.channel import WRITE_BUFFER_BYTES, Channel
from clementinebend_transport.connection_ends import (
    EndedConnection,
    EndReason,
    on_ended,
    on_unanswered,
)
from clementinebend_transport.exceptions import AnswerCutError, SlowReaderError
from clementinebend_transport.http_events import is_cycle_done, post_event
from clementinebend_transport.http_reader import (
    BodyRejected,
    ConnectionEnd,
    Refusal,
    RequestReader,
)
from clementinebend_transport.http_types import (
    Handler,
    Identify,
    Request,
    Response,
    ServerLimits,
    error_response,
    no_id,
)
from clementinebend_transport.idle_limit import IdleLimit
from clementinebend_transport.metrics import counter
from clementinebend_transport.response_head import (
    CHUNKED,
    NO_BODY,
    Framing,
    has_body,
    response_head,
    sized,
)

logger = getLogger(__name__)

LINGER_SECONDS = 1.0
"""How long bytes are still read of a request that is refused, or comes after
the last answer, so that what was answered is not lost to a reset."""

MAX_LINGERS = 10
"""How often that time is extended for a caller that goes on sending: a body of the
largest size then arrives at 400 KB/s."""

DRAIN_GRACE_SECONDS = 0.25
"""How long a quiet connection stays open in a planned stop, for a request that
is on its way."""

STOPPING_RESPONSE = error_response(
    503, "not_run", "this process stops; connect to another one", retry_after=0
)
"""The answer to a request that arrives after the last one accepted."""

CLOSING_RESPONSE = error_response(
    504, "outcome_unknown", "this process ended before the request did"
)
"""The answer to a request that is in progress as the process ends."""

CROWDED_RESPONSE = error_response(
    503, "not_run", "there is no memory for the request; retry later", RETRY_SECONDS
)
"""The answer to a request whose head is not read for want of memory."""

CLOSE_SECONDS = 0.2
"""Maximum time in seconds to send ``CLOSING_RESPONSE``."""

LINGER_REASONS = frozenset(
    (
        EndReason.LAST_ANSWER,
        EndReason.OVERRUN,
        EndReason.SOURCE_CUT,
        EndReason.UNREADABLE_REQUEST,
        EndReason.NO_ROOM,
    )
)
"""Reasons for which a connection ends right after an answer."""

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


class HttpConnection:
    """State of one caller's connection, owned by one task."""

    def __init__(
        self,
        channel: CallerChannel,
        handler: Handler,
        limits: ServerLimits,
        idle_limit: IdleLimit,
        identify: Identify = no_id,
        bodies: RequestBodies | None = None,
    ) -> None:
        self.bodies = bodies or unlimited_bodies()
        self.channel = channel
        self.handler = handler
        self.identify = identify
        self.limits = limits
        self.idle_limit = idle_limit
        self.parser = Parser(SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self.reader = RequestReader(
            channel, self.parser, limits, self.bodies.room, self.bodies.turns
        )
        self.request: Request | None = None
        """The request that is being answered."""
        self.is_head_sent = False
        """Whether the head of its answer has been sent."""
        self.is_closing = False
        """Whether the process ends, and the request is to be answered at once."""
        self.last_target = ""
        """The target of the last request whose answer was sent whole."""
        self.end_reason: EndReason | None = None
        """Why the connection ends; the first reason counts."""
        self.slices: deque[bytes] = deque()
        self.slices_bytes = 0
        """What is left of the whole body that is being sent, and its size."""
        self.source_bytes: Callable[[], int] = _no_bytes
        """Returns what the source of the streamed body that is being sent holds."""
        self.dropped_bytes = 0
        """Received bytes that were dropped before they were parsed."""
        self.is_draining = False
        self.is_moving = False
        """Whether the next answer tells the caller to connect anew."""
        self.idle_since = inf
        """When the last answer was whole; infinite before the first one."""
        self.waiting_since = get_running_loop().time()
        """When the last answer was whole, or the connection was made."""
        self.is_last = False
        """Whether further requests are rejected; the caller may not have been told."""
        self.is_lingering = False
        """Whether all answers have been sent, and nothing more is read."""

    def is_idle(self) -> bool:
        """Return whether no part of a request is here and no answer is going out."""
        return self.reader.is_idle and self.channel.is_quiet()

    def has_ended(self) -> bool:
        """Return whether the connection is being closed."""
        return self.channel.transport.is_closing()

    def may_give_way(self, latest: float) -> bool:
        """Return whether the connection may be closed for another one.

        It has waited for a whole request since ``latest`` or before, or lingers after
        its last answer.
        """
        is_waiting = self.request is None and self.waiting_since <= latest
        return self.is_lingering or is_waiting

    def place(self) -> tuple[bool, bool, float]:
        """Return the place among those that may give way; the least is the first."""
        has_answered = self.idle_since < inf
        return not self.is_lingering, has_answered, self.waiting_since

    def held_bytes(self) -> int:
        """Return how many bytes of answers wait here until the caller takes them.

        What the socket has taken does not count.
        """
        return self.slices_bytes + self.channel.unsent_bytes() + self.source_bytes()

    def disconnect(self) -> None:
        """Close at once, and drop what the caller has not taken."""
        self.abort(EndReason.MEMORY)

    def abort(self, reason: EndReason) -> None:
        """Close at once for ``reason``, and drop what the caller has not received."""
        self.set_end_reason(reason)
        self.channel.abort()

    def close_now(self) -> None:
        """Prepare for the end of the process: the task is to be cancelled after this.

        A request that has no part of an answer yet gets ``CLOSING_RESPONSE``; else the
        connection is closed at once.
        """
        if self.request is None or self.is_head_sent:
            self.abort(EndReason.PROCESS_CLOSING)
        else:
            self.set_end_reason(EndReason.PROCESS_CLOSING)
            self.is_closing = True

    def close_quiet(self, reason: EndReason) -> None:
        """Close a connection that ``may_close`` for ``reason``."""
        self.set_end_reason(reason)
        self.channel.transport.close()

    def set_end_reason(self, reason: EndReason) -> None:
        """Set why the connection ends, if unset: the caller has left, or ``reason``."""
        if self.end_reason is None:
            has_caller_left = self.channel.ended
            self.end_reason = EndReason.CALLER_LEFT if has_caller_left else reason

    def may_close(self) -> bool:
        """Return whether it is open and idle, and no request has arrived."""
        if self.channel.transport.is_closing() or not self.is_idle():
            return False
        return not self.channel.has_arrivals()

    def change_limits(self, limits: ServerLimits) -> None:
        """Hold the next request to ``limits``."""
        self.limits = limits
        self.reader.limits = limits

    def _idle_limit(self) -> float:
        """Return for how many seconds the caller may send nothing between requests."""
        if self.is_last:
            return 0.0
        if self.is_draining:
            return DRAIN_GRACE_SECONDS
        seconds = self.idle_limit.at(get_running_loop().time())
        if self.idle_since == inf:
            return min(seconds, self.limits.header_timeout)
        return seconds

    async def serve(self, task: Task[None]) -> None:
        """Answer requests until the connection ends; ``task`` runs this."""
        try:
            while await self._serve_one(task):
                self.parser.start_next_cycle()
                self.idle_since = self.waiting_since = get_running_loop().time()
                await sleep(0)  # pipelined requests take turns with other tasks
            if not self.is_closing and self._must_linger():
                self.is_lingering = True
                self.reader.release()
                self._drop_unparsed()
                await linger(self.channel)
        except SlowReaderError:
            _slow.inc()
            self.abort(EndReason.SLOW_READER)
        finally:
            self.set_end_reason(EndReason.FAULT)
            self.reader.release()
            await self._close()

    def _must_linger(self) -> bool:
        return self.is_last or self.end_reason in LINGER_REASONS

    async def _close(self) -> None:
        unread = self._unread_bytes()
        try:
            is_sent = await self.channel.close(self.limits.write_timeout)
            if not is_sent and self.end_reason is not EndReason.CALLER_LEFT:
                self.end_reason = EndReason.SLOW_READER
        finally:
            self._report_end(unread)

    def _unread_bytes(self) -> int:
        """Return how many received bytes belong to no request."""
        unparsed = len(self.parser.trailing_data[0])
        return self.dropped_bytes + unparsed + self.channel.unread_bytes()

    def _report_end(self, unread: int) -> None:
        end = self._ended(unread)
        is_taken = not end.dropped_unsent_bytes or end.reason is EndReason.CALLER_LEFT
        if self.last_target and not is_taken:
            on_unanswered(end, self.last_target, None, monotonic())
        on_ended(end, monotonic())

    def _ended(self, unread: int) -> EndedConnection:
        reason = self.end_reason or EndReason.FAULT
        is_idle_end = reason is EndReason.IDLE_LIMIT
        return EndedConnection(
            reason,
            _peer(self.channel),
            monotonic() - self.channel.received_at,
            unread,
            self.reader.late_seconds if is_idle_end else 0.0,
            self.channel.dropped_unsent_bytes,
        )

    async def _serve_one(self, task: Task[None]) -> bool:
        """Answer the next request; return whether another may follow."""
        request = await self.reader.read(self._idle_limit)
        if isinstance(request, ConnectionEnd):
            is_stopping = self.is_last or self.is_draining
            self.set_end_reason(
                EndReason.PLANNED_STOP if is_stopping else EndReason.IDLE_LIMIT
            )
            return False
        if isinstance(request, Refusal):
            self.set_end_reason(EndReason.UNREADABLE_REQUEST)
            await self._refuse(request)
            return False
        if isinstance(request, BodyRejected):
            self.set_end_reason(EndReason.NO_ROOM)
            await self._send_last(self._rejection(request))
            return False
        if self.channel.ended:
            _abandoned.inc()
            return False
        return await self._answer_while_present(request, task) and self._may_go_on()

    def _may_go_on(self) -> bool:
        if self.channel.overrun:
            self.set_end_reason(EndReason.OVERRUN)
        elif not is_cycle_done(self.parser):
            self.set_end_reason(EndReason.LAST_ANSWER)
        elif not self.channel.ended:
            return True
        return False

    def _rejection(self, rejected: BodyRejected) -> Response:
        if rejected.request is None:
            return CROWDED_RESPONSE
        return self.bodies.reject(rejected.request)

    async def _refuse(self, refusal: Refusal) -> None:
        """Answer an unreadable request and let the caller read the answer."""
        await self._send_last(
            error_response(refusal.status, "bad_request", refusal.message)
        )

    async def _send_last(self, response: Response) -> None:
        """Answer a request that has not been read whole."""
        self.is_draining = True
        await self._send_response("GET", response)

    def _drop_unparsed(self) -> None:
        """Drop what the parser holds, as nothing more of it is read."""
        self.dropped_bytes += len(self.parser.trailing_data[0])
        self.parser = self.reader.parser = Parser(SERVER)
        self.channel.set_parsing(0)

    async def _answer_while_present(self, request: Request, task: Task[None]) -> bool:
        """Answer; the caller's leaving cancels ``task``."""
        self.channel.on_end = task.cancel
        self.request = request
        self.is_head_sent = False
        self.last_target = ""
        is_whole = False
        try:
            # No name here keeps a body that is released while it is sent.
            is_whole = await self._send_response(
                request.method, await self._ask_handler(request, task)
            )
            return is_whole
        except SlowReaderError:
            self.set_end_reason(EndReason.SLOW_READER)
            raise
        finally:
            self.request = None
            self._release()
            self.channel.on_end = None
            if is_whole:
                self.last_target = request.target
            else:
                self._record_unanswered(request)

    def _record_unanswered(self, request: Request) -> None:
        """Count a request without a whole answer, by whether its caller has left."""
        self.set_end_reason(EndReason.FAULT)
        if self.end_reason is EndReason.CALLER_LEFT:
            _abandoned.inc()
            return
        end = self._ended(self._unread_bytes())
        request_id = self.identify(request)
        on_unanswered(end, request.target, request_id, monotonic())

    async def _ask_handler(self, request: Request, task: Task[None]) -> Response:
        if self.is_last:
            return STOPPING_RESPONSE
        try:
            return await self.handler(request)
        except CancelledError:
            if self.is_closing and not self.channel.ended:
                task.uncancel()
                return CLOSING_RESPONSE
            if task.cancelling():
                raise
            logger.exception("handler cancelled itself")
        except Exception:
            logger.exception("handler failed", extra={"target": request.target})
        return error_response(500, "internal_error", "the request could not be handled")

    async def _send_response(self, method: str, response: Response) -> bool:
        """Send an answer; return whether it went out whole."""
        body = response.body
        if not isinstance(body, bytes):
            return await self._send_stream(method, response, body)
        framing = sized(body)
        if self._send_head(response, framing) and has_body(method, response.status):
            self._hold(body)
            del body, response
            await self._send_slices()
        self._send(EndOfMessage())
        return await self.channel.drain(self.limits.write_timeout)

    def _hold(self, body: bytes) -> None:
        """Keep a whole body in slices, each of which is released once it is sent."""
        starts = range(0, len(body), WRITE_BUFFER_BYTES)
        self.slices.extend(body[start : start + WRITE_BUFFER_BYTES] for start in starts)
        self.slices_bytes = len(body)

    def _release(self) -> None:
        """Drop what is left of an answer that has ended."""
        self.slices.clear()
        self.slices_bytes = 0
        self.source_bytes = _no_bytes

    async def _send_slices(self) -> None:
        """Send a body slice by slice, so that a slow reader makes us wait."""
        while self.slices:
            piece = self.slices.popleft()
            self.slices_bytes -= len(piece)
            self._send(Data(data=piece))
            await self.channel.drain(self.limits.write_timeout)

    async def _send_stream(
        self, method: str, response: Response, body: AsyncIterator[bytes]
    ) -> bool:
        self.source_bytes = getattr(body, "held_bytes", _no_bytes)
        may_have_body = has_body(method, response.status)
        try:
            if not self._send_head(response, CHUNKED):
                await _start_iterator(body)
            elif may_have_body and not await self._send_pieces(body):
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
        self.set_end_reason(EndReason.SOURCE_CUT)
        if self.parser.their_http_version == b"1.0":
            self.channel.reset()

    def _send_head(self, response: Response, framing: Framing) -> bool:
        """Send the head; return whether the body may follow.

        If the head is invalid, sends a 500 response without a body instead.
        """
        is_valid = True
        try:
            head = self._head(response, framing)
        except (LocalProtocolError, UnicodeEncodeError):
            logger.exception("the answer cannot be sent")
            is_valid = False
            head = self._head(Response(500, (), b""), NO_BODY)
        _answered.labels(head.status_code).inc()
        self.is_head_sent = True
        self._send(head)
        return is_valid

    def _head(self, response: Response, framing: Framing) -> HttpResponse:
        return response_head(response, framing, self._is_last_answer(response))

    def _is_last_answer(self, response: Response) -> bool:
        is_leaving = self.is_draining or self.is_moving or self.is_closing
        return is_leaving or response.is_last or self.channel.overrun

    def _send(self, event: HttpEvent) -> None:
        post_event(self.parser, self.channel, event)


async def linger(channel: Channel) -> None:
    """End our side and drop what still comes, for a short time.

    The time is extended while the other side acknowledges earlier bytes, and for a
    while if it goes on sending: it may read the answer only after that.
    """
    if channel.ended or channel.transport.is_closing():
        return
    channel.discard()
    channel.flush()
    try:
        channel.transport.write_eof()
    except OSError:  # the other side has reset the connection
        return
    unsent, discarded, lingers = inf, -1, 0
    while not channel.lost.is_set():
        is_taking = channel.unsent_bytes() < unsent
        is_sending = channel.discarded_bytes > discarded and lingers < MAX_LINGERS
        if not (is_taking or is_sending):
            return
        unsent, discarded = channel.unsent_bytes(), channel.discarded_bytes
        lingers += 1
        with suppress(TimeoutError):
            async with timeout(LINGER_SECONDS):
                await channel.lost.wait()


def _peer(channel: Channel) -> str:
    """Return the caller's address and port, as log lines name it."""
    address = channel.transport.get_extra_info("peername")
    return "" if address is None else f"{address[0]}:{address[1]}"


async def _start_iterator(body: AsyncIterator[bytes]) -> None:
    """Read the first piece: closing an unstarted generator runs no cleanup."""
    with suppress(Exception):
        await anext(body, None)


async def _close_iterator(body: AsyncIterator[bytes]) -> None:
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()


def _no_bytes() -> int:
    """Return that nothing is held."""
    return 0
