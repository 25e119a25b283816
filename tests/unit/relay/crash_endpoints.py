"""Simulated endpoints that end under some requests, and the client that reaches them.

An endpoint that has ended refuses connections, and its open answers break off.
"""

from asyncio import Event, Queue, Task, sleep, timeout
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from h11 import Request as HttpRequest
from msgspec.json import encode

from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import (
    HttpFailure,
    OpenAnswer,
    TruncatedAnswer,
)

BROKEN = "peer closed connection"
FATAL_PAUSE = 0.002
"""Seconds between what a fatal request makes an endpoint send and its end."""


class Work(NamedTuple):
    """What an endpoint does for a request.

    A stream has ``events``, one after each ``pause`` in seconds; the first one comes
    after ``first_pause``, if that is set. Another answer's head
    comes after ``head_seconds``, its body ``seconds`` after the start. With a
    ``fatal_way`` the endpoint ends: at once (``"reset"``), after the head (``"head"``),
    after the first event (``"event"``), or ``fatal_delay`` seconds after it got the
    request, with nothing sent (``"late"``) or an event sent at once (``"late-event"``).
    """

    events: int = 8
    pause: float = 0.05
    seconds: float = 0.1
    head_seconds: float = 0.1
    fatal_way: str = ""
    fatal_delay: float = 0.5
    first_pause: float | None = None


Start = Callable[[Coroutine[Any, Any, None]], Task[None]]
"""Starts a job of the world."""


class Chunks:
    """The body of an answer, which arrives whether or not somebody reads it.

    A read may be given up and repeated, as with the real client.
    """

    def __init__(self, source: AsyncIterator[bytes], start: Start) -> None:
        self.pieces: Queue[bytes | TruncatedAnswer | None] = Queue()
        self.task = start(self._receive(source))

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the pieces."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece; raise ``TruncatedAnswer`` if the answer broke off."""
        piece = await self.pieces.get()
        if piece is None:
            raise StopAsyncIteration
        if isinstance(piece, TruncatedAnswer):
            raise piece
        return piece

    def close(self) -> None:
        """Close the connection, which ends the run."""
        self.task.cancel()

    async def _receive(self, source: AsyncIterator[bytes]) -> None:
        try:
            async for piece in source:
                self.pieces.put_nowait(piece)
            self.pieces.put_nowait(None)
        except TruncatedAnswer as error:
            self.pieces.put_nowait(error)


class Arrival(NamedTuple):
    """A request that has reached an endpoint, and when."""

    at: float
    body: bytes


class CrashingEndpoint:
    """One boot of an endpoint; ``arrivals`` are the requests that reached it.

    ``version`` is that of its software, which each of its events shows. With
    ``is_bare`` its streams have neither length nor chunks: where it ends they only
    stop.
    """

    is_bare = False

    def __init__(
        self,
        name: str,
        address: Address,
        clock: Callable[[], float],
        work_of: Callable[[bytes], Work],
        start: Start,
        on_end: "Callable[[CrashingEndpoint, bytes | None], None]",
        version: str = "v1",
    ) -> None:
        self.version = version
        self.name = name
        self.address = address
        self.clock = clock
        self.work_of = work_of
        self.start = start
        self.on_end = on_end
        self.arrivals: list[Arrival] = []
        self.running: Counter[bytes] = Counter()
        self.ended = Event()

    def record(self) -> bytes:
        """Return its announcement."""
        return encode(
            {
                "service": "pool",
                "address": f"{self.address.host}:{self.address.port}",
                "zone": "a",
                "version": self.version,
                "slots": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
            }
        )

    def end(self, cause: bytes | None = None) -> None:
        """End now, under the request with the body ``cause`` if one is the cause."""
        if not self.ended.is_set():
            self.ended.set()
            self.on_end(self, cause)

    async def answer(
        self, request: HttpRequest, body: bytes
    ) -> Result[OpenAnswer, HttpFailure]:
        """Answer a request, or end."""
        sent = {name.decode(): value.decode() for name, value in request.headers}
        if sent["x-expect-instance"] != self.name:
            headers = {"x-instance-id": self.name}
            chunks = Chunks(_nothing(), self.start)
            return Ok(OpenAnswer(421, headers, chunks, chunks.close))
        self.arrivals.append(Arrival(self.clock(), body))
        work = self.work_of(body)
        is_stream = "stream" in request.target.decode()
        try:
            await self._work_before_head(work, body, is_stream)
        except TruncatedAnswer as error:
            return Error(HttpFailure(True, str(error), broke_off=True))
        headers = {
            "x-request-id": sent["x-request-id"],
            "x-response-signature": self.name,
            "x-instance-id": self.name,
        }
        first = int(sent.get("last-event-id", "0")) + 1
        source = self._chunks(work, body, first, is_stream)
        if self.is_bare:
            source = _without_cut(source)
        chunks = Chunks(source, self.start)
        return Ok(OpenAnswer(200, headers, chunks, chunks.close, self.is_bare))

    async def _work_before_head(self, work: Work, body: bytes, is_stream: bool) -> None:
        with self._run(body):
            if work.fatal_way == "late":
                await self._work(work.fatal_delay)
            if work.fatal_way in ("reset", "late"):
                await self._end_under(body)
            if not is_stream:
                await self._work(work.head_seconds)

    async def _chunks(
        self, work: Work, body: bytes, first: int, is_stream: bool
    ) -> AsyncIterator[bytes]:
        with self._run(body):
            if work.fatal_way:
                is_cut = work.fatal_way == "head"
                yield b"id" if is_cut else _event(first, self.version)
                if work.fatal_way == "late-event":
                    await self._work(work.fatal_delay)
                await self._end_under(body)
            if not is_stream:
                await self._work(work.seconds - work.head_seconds)
                yield b"whole"
                return
            for number in range(first, work.events + 1):
                pause = work.first_pause if number == first else None
                await self._work(work.pause if pause is None else pause)
                yield _event(number, self.version)

    @contextmanager
    def _run(self, body: bytes) -> Iterator[None]:
        self.running[body] += 1
        try:
            yield
        finally:
            self.running[body] -= 1

    async def _end_under(self, body: bytes) -> None:
        await self._work(FATAL_PAUSE)
        self.end(body)
        raise TruncatedAnswer(BROKEN)

    async def _work(self, seconds: float) -> None:
        """Work for some seconds; raise ``TruncatedAnswer`` if the endpoint ends."""
        with suppress(TimeoutError):
            async with timeout(seconds):
                await self.ended.wait()
        if self.ended.is_set():
            raise TruncatedAnswer(BROKEN)


async def _nothing() -> AsyncIterator[bytes]:
    yield b""


async def _without_cut(source: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Return the chunks; where they break off, they end."""
    with suppress(TruncatedAnswer):
        async for chunk in source:
            yield chunk


def _event(number: int, version: str) -> bytes:
    return f"id: {number}\ndata: piece {version}\n\n".encode()


class CrashClient:
    """What an entry sends to endpoints with.

    ``endpoint_at`` returns the endpoint that listens at an address, if any does, and
    ``delay`` the delay of a packet in seconds.
    """

    def __init__(
        self,
        endpoint_at: Callable[[Address], CrashingEndpoint | None],
        delay: Callable[[], float],
    ) -> None:
        self.endpoint_at = endpoint_at
        self.delay = delay

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        body: bytes,
        timeout: float,
        connect_timeout: float = 1.0,
        **options: Any,
    ) -> Result[OpenAnswer, HttpFailure]:
        """Connect, deliver a request and return its answer once the head has come."""
        await sleep(self.delay())
        endpoint = self.endpoint_at(address)
        if endpoint is None:
            return Error(HttpFailure(False, "cannot connect: refused"))
        try:
            return await self._exchange(endpoint, request, body, timeout)
        except TimeoutError:
            return Error(HttpFailure(True, "no answer in time"))

    async def _exchange(
        self,
        endpoint: CrashingEndpoint,
        request: HttpRequest,
        body: bytes,
        seconds: float,
    ) -> Result[OpenAnswer, HttpFailure]:
        async with timeout(seconds):
            await sleep(self.delay())
            if endpoint.ended.is_set():
                return Error(HttpFailure(True, BROKEN, broke_off=True))
            answer = await endpoint.answer(request, body)
            await sleep(self.delay())
            return answer

    def close_idle(self, address: Address) -> None:
        """Do nothing: there are no idle connections."""

    async def close(self) -> None:
        """Do nothing: there are no idle connections."""
