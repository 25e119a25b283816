"""Reading of requests, within limits of size and time.

Source: RFC 9112; parsing by ``h11``.
"""

from asyncio import CancelledError, Task, current_task, get_running_loop
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from h11 import Connection as Parser
from h11 import Data, InformationalResponse, RemoteProtocolError
from h11 import Request as HttpRequest

from clementinebend_transport.body_buffer import BodyBuffer
from clementinebend_transport.body_room import BodyRoom, Reservation
from clementinebend_transport.caller_channel import CallerChannel
from clementinebend_transport.exceptions import NoRoomError, TruncatedAnswer
from clementinebend_transport.http_events import (
    headers_by_name,
    next_event,
    post_event,
)
from clementinebend_transport.http_types import Request, ServerLimits
from clementinebend_transport.parsing_turns import ParsingTurns
from clementinebend_transport.room import GRACE_SECONDS

EVENTS_PER_TURN = 32
"""Chunks of a body after which other connections have their turn: some 0.3 ms."""

LARGE_HEAD_BYTES = 4 * 1024
"""Size from which on a head is parsed in turn: one with many fields takes some ms."""

SLOW_BYTES_PER_SECOND = 1_000_000
"""Rate of a body below which it gives way to others, if there is no room."""

MAX_GROWING_BYTES = 256 * 1024
"""Size up to which a body of unknown size takes no more room than has come of it."""

FIELD_BYTES = 200
"""Memory that a field of a head takes beside its bytes, in the parser's event and in
the request."""

USUAL_REQUEST_BYTES = 4 * 1024
"""What a connection may hold, beside the body of its request, while there is no room:
a usual head, as the parser keeps it."""


class Refusal(NamedTuple):
    """A request that cannot be read, and the status that says so."""

    status: int
    message: str


class BodyRejected(NamedTuple):
    """There is no memory for a request, which is given here without its body.

    ``request`` is None if its head has not come.
    """

    request: Request | None


class ConnectionEnd(NamedTuple):
    """The caller sent no further request."""


class RequestReader:
    """Reads one request after another from a caller's connection.

    ``room`` and ``turns`` are shared by all connections. The body of a request counts
    in ``room`` until the next one is read, or ``release`` is called; its head counts in
    the room of ``channel`` for as long.
    """

    def __init__(
        self,
        channel: CallerChannel,
        parser: Parser,
        limits: ServerLimits,
        room: BodyRoom | None = None,
        turns: ParsingTurns | None = None,
    ) -> None:
        self.channel = channel
        self.parser = parser
        self.limits = limits
        self.room = room or BodyRoom()
        self.turns = turns or ParsingTurns()
        self.reserved = 0
        self.head: HttpRequest | None = None
        self.max_size = 0
        """The most bytes that the body of the request can have."""
        self.task: Task[None] | None = None
        """The task that reads the request."""
        self.has_given_way = False
        self.is_idle = True
        self.late_seconds = 0.0
        """How much later than due the last idle limit was noticed."""

    async def read(
        self, idle_limit: Callable[[], float]
    ) -> Request | Refusal | BodyRejected | ConnectionEnd:
        """Return the next request, if it begins within ``idle_limit`` seconds.

        The limit may change during the wait.
        """
        self.release()
        if not await self._wait_for_first_byte(idle_limit):
            return ConnectionEnd()
        self.task = current_task()
        self.channel.room.add(self)
        try:
            return await self._read_within_room()
        except TruncatedAnswer:
            return ConnectionEnd()
        except RemoteProtocolError as error:
            if self.channel.ended:
                return ConnectionEnd()
            return Refusal(error.error_status_hint, str(error))
        finally:
            self._end_reading()
            self.head = None

    def release(self) -> None:
        """Release the room of the request that was read last."""
        self.room.release(self.reserved)
        self.reserved = self.channel.expected_bytes = 0
        self.channel.set_head(0)

    def give_way(self) -> None:
        """End the request that is read, whose caller is told to return."""
        self._end_reading()
        self.release()
        self.channel.discard()
        self.has_given_way = True
        assert self.task is not None
        self.task.cancel()

    async def _read_within_room(
        self,
    ) -> Request | Refusal | BodyRejected | ConnectionEnd:
        """Return the next request, or that it was rejected for want of room."""
        try:
            return await self._read_parts()
        except NoRoomError:
            return self._rejected()
        except CancelledError:
            if not self.has_given_way or self.task is None:
                raise
            self.task.uncancel()
            return self._rejected()

    def _end_reading(self) -> None:
        """Let the request give way no longer, and count what is not parsed."""
        self.channel.room.remove(self)
        self.room.remove(self)
        self.channel.set_parsing(len(self.parser.trailing_data[0]))

    async def _wait_for_first_byte(self, idle_limit: Callable[[], float]) -> bool:
        if self.parser.trailing_data[0]:
            return True
        self.is_idle = True
        data = await self._read_first_bytes(idle_limit)
        self.is_idle = False
        self.parser.receive_data(data)
        self.channel.set_parsing(len(data))
        return bool(data)

    async def _read_first_bytes(self, idle_limit: Callable[[], float]) -> bytes:
        """Return the first bytes of a request; none at the end or the idle limit."""
        clock = get_running_loop().time
        since = clock()
        while True:
            try:
                return await self.channel.read(since + idle_limit())
            except TimeoutError:
                late = clock() - since - idle_limit()
                if late >= 0:
                    self.late_seconds = late
                    return b""

    async def _read_parts(self) -> Request | Refusal | BodyRejected | ConnectionEnd:
        until = self._until(self.limits.header_timeout)
        try:
            if self.channel.parsing_bytes > LARGE_HEAD_BYTES:
                await self._take_turn(until)
            head = await self._next_event(until)
        except TimeoutError:
            return Refusal(408, "the request's headers took too long")
        if not isinstance(head, HttpRequest):
            return ConnectionEnd()
        refusal = self._check_head(head)
        if refusal is not None:
            return refusal
        self.head = head
        is_chunked = b"transfer-encoding" in dict(head.headers)
        size = _announced_size(head)
        self.max_size = self.limits.max_body_bytes if is_chunked else size
        if not self._reserve(size, is_announced=True):
            return self._rejected()
        self._check_room()
        if self.parser.they_are_waiting_for_100_continue:
            go_on = InformationalResponse(status_code=100, headers=[])
            post_event(self.parser, self.channel, go_on)
        try:
            return await self._read_body(head, self._until(self.limits.body_timeout))
        except TimeoutError:
            return Refusal(408, "the request's body took too long")

    def _until(self, seconds: float) -> float:
        return get_running_loop().time() + seconds

    def _check_head(self, head: HttpRequest) -> Refusal | None:
        size = sum(len(name) + len(value) for name, value in head.headers)
        limit = self.limits.max_header_bytes
        if size + len(head.target) > limit:
            return Refusal(431, f"the headers are larger than {limit} bytes")
        if head.method == b"CONNECT":
            return Refusal(400, "CONNECT is not supported")
        self.channel.set_head(size + len(head.headers) * FIELD_BYTES)
        return self._check_size(_announced_size(head))

    def _check_room(self, received: int = 0) -> None:
        """Raise ``NoRoomError`` if there is no room, and the caller takes much of it.

        The bytes ``received`` last have been counted; those of a body for which there
        is room are held once only.
        """
        if self.channel.room.make(0, self):
            return
        if self.channel.counted_bytes > USUAL_REQUEST_BYTES + self.reserved:
            raise NoRoomError

    def _rejected(self) -> BodyRejected:
        return BodyRejected(None if self.head is None else _request(self.head, b""))

    def _check_size(self, size: int) -> Refusal | None:
        limit = self.limits.max_body_bytes
        if size <= limit:
            return None
        return Refusal(413, f"the body is larger than {limit} bytes")

    def _reserve(self, size: int, is_announced: bool) -> bool:
        """Reserve room for ``size`` bytes of a body in all; return whether it fits."""
        is_enlarged = self.reserved <= MAX_GROWING_BYTES < size
        if size and (is_enlarged or not self.reserved):
            self.room.add(self, GRACE_SECONDS + size / SLOW_BYTES_PER_SECOND)
        wanted = max(0, size - self.reserved)
        reservation = Reservation(wanted, size, is_announced, self)
        if not self.room.reserve(reservation):
            return False
        self.reserved += wanted
        self.channel.expected_bytes = self.reserved
        if self.reserved >= max(self.max_size, self.channel.head_bytes):
            # What it receives has its own room, and it holds little else.
            self.channel.room.remove(self)
        return True

    def _reserve_growing(self, size: int) -> bool:
        """Reserve room for a body that has grown to ``size`` bytes.

        One that is not small takes the room of the largest, or half of all, so that
        those that are read at the same time do not each hold a part and wait for the
        rest.
        """
        if size <= self.reserved:
            return True
        if size > MAX_GROWING_BYTES:
            limit = self.room.limit
            most = self.limits.max_body_bytes
            size = max(size, most if limit is None else min(most, limit // 2))
        return self._reserve(size, is_announced=False)

    async def _read_body(
        self, head: HttpRequest, until: float
    ) -> Request | Refusal | BodyRejected:
        """Return the whole request, or why its body is not read."""
        body = BodyBuffer()
        for number in count(1):
            event = await self._next_event(until)
            if not isinstance(event, Data):
                break
            body.add(event.data)
            refusal = self._check_size(body.size)
            if refusal is not None:
                return refusal
            if not self._reserve_growing(body.size):
                return self._rejected()
            if number % EVENTS_PER_TURN == 0:
                await self._take_turn(until)
        self._release_surplus(body.size)
        return _request(head, body.whole())

    def _release_surplus(self, size: int) -> None:
        """Keep the room that a whole body takes."""
        self.room.release(self.reserved - size)
        self.reserved = size

    async def _take_turn(self, until: float) -> None:
        """Let others go on; raise ``TimeoutError`` if that takes until ``until``."""
        await self.turns.take()
        if get_running_loop().time() > until:
            raise TimeoutError

    async def _next_event(self, until: float) -> object:
        return await next_event(self.parser, self.channel, until, self._check_room)


def _announced_size(head: HttpRequest) -> int:
    """Return the size of the body that a head names, 0 if it names none."""
    return int(dict(head.headers).get(b"content-length", b"0"))


def _request(head: HttpRequest, body: bytes) -> Request:
    headers = headers_by_name(head.headers)
    return Request(head.method.decode(), head.target.decode("latin-1"), headers, body)
