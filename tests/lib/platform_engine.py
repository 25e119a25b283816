"""A stand-in of the platform's engines, by their published protocol."""

from asyncio import Lock, Task, create_task, get_running_loop, sleep
from collections import Counter
from collections.abc import AsyncIterator, Callable
from itertools import count

from msgspec.json import encode

from clementinebend_transport.connection_ends import EndReason
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import Request, Response

EVENTS = 8
"""Events of a stream."""

WHOLE_ANSWER = b"whole answer"
LATE_MARGIN = 0.03


class EngineStandin:
    """One boot of an engine that answers, and remembers what it ran.

    ``fault`` is ``""``, ``"full"`` (not run), ``"fail"`` (500, or ``failure_status``),
    ``"foreign"`` (another request's answer), ``"cut"`` (a stream breaks off half-way),
    ``"gap"`` (an event is missing) or ``"silent"``. A request with ``fatal_body`` ends
    the engine: at once (``fatal_way`` ``"reset"``), after the head of its answer
    (``"head"``) or after its first event (``"event"``); ``on_end`` is then called. So
    does one with any of ``fatal_parts`` before the last part of its prompt, once the
    prompt has been read for ``reading_seconds``.
    With ``says_leaving`` all its answers say that it leaves; with ``wants_pause`` it
    turns each request away for so many seconds. ``server_limit`` is the text with which
    all its answers name how many requests a second it takes. ``fault`` may also be
    ``"other"``: it turns requests away as meant for other weights, under its own id.
    A plain call takes ``work_seconds``. ``slots`` is the number of calls that it
    announces to run at a time; it runs any number.
    ``version`` is that of its software, which each event shows if ``shows_version``.
    ``born`` is when it started, in Unix milliseconds, if it says so. ``bodies`` are
    whole answers by target, where they differ from the usual one. With ``fault``
    ``"late"`` it answers 504 ``LATE_MARGIN`` seconds before a request's time limit.
    With ``prefill_seconds`` it reads prompts one after another, each for that long;
    with ``max_held`` it turns requests away while it has so many.
    """

    numbers = count(1)

    def __init__(self, service: str, zone: str = "a", version: str = "v1") -> None:
        self.zone = zone
        self.version = version
        self.shows_version = False
        self.born: int | None = None
        self.bodies: dict[str, bytes] = {}
        self.name = f"i-{next(EngineStandin.numbers)}"
        self.service = service
        self.cold_remaining_ms = 0
        self.sequence = 0
        self.fault = ""
        self.failure_status = 500
        self.pause = 0.005
        self.work_seconds = 0.0
        self.slots = 4
        self.runs: Counter[str] = Counter()
        self.requests: list[Request] = []
        self.arrived_at: list[float] = []
        self.cancelled: list[str] = []
        self.announced_port: int | None = None
        self.server: HttpServer | None = None
        self.says_leaving = False
        self.wants_pause: float | None = None
        self.server_limit: str | None = None
        self.reached_at: list[float] = []
        self.fatal_body: bytes | None = None
        self.fatal_way = "reset"
        self.fatal_parts: frozenset[str] = frozenset()
        self.reading_seconds = 0.0
        self.prefill_seconds = 0.0
        self.prefill = Lock()
        self.max_held: int | None = None
        self.held = 0
        self.on_end: Callable[[], None] | None = None
        self.has_ended = False
        self.ending: Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on ``port``, or on a free one."""
        self.server = await serve_http(self.handle, "127.0.0.1", port)

    async def stop(self) -> None:
        """Stop at once, as in a crash."""
        if self.server is None:
            return
        if isinstance(self.server, HttpServer):
            for connection in self.server.connections.values():
                connection.abort(EndReason.PROCESS_CLOSING)
        await self.server.close()

    async def crash(self) -> None:
        """End by itself, and say so."""
        if self.has_ended:
            return
        self.has_ended = True
        await self.stop()
        if self.on_end is not None:
            self.on_end()

    def entry(self, state: str = "ready") -> bytes:
        """Return what the engine writes to the store next."""
        self.sequence += 1
        port = self.announced_port
        if port is None:
            port = 0 if self.server is None else self.server.port
        born = {} if self.born is None else {"born": self.born}
        return encode(
            {
                **born,
                "service": self.service,
                "address": f"127.0.0.1:{port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": self.cold_remaining_ms,
                "sequence": self.sequence,
            }
        )

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
        self.reached_at.append(get_running_loop().time())
        answer = await self._answer(request)
        said: tuple[tuple[str, str], ...] = ()
        if self.says_leaving:
            said = (("server-leaving", "1"),)
        if self.server_limit is not None:
            said = (*said, ("server-limit", self.server_limit))
        return answer._replace(headers=(*answer.headers, *said))

    def _refusal(self, request: Request) -> Response | None:
        """Return why a request is not run, if it is not."""
        if request.headers.get("x-expect-instance") != self.name:
            return Response(421, (("x-instance-id", self.name),), b"")
        if self.fault == "other":
            return Response(421, (("x-instance-id", self.name),), b"")
        if self.fault == "full" or self._is_full():
            return Response(503, (("x-not-executed", "1"),), b"")
        if self.wants_pause is not None:
            pause = ("retry-after", str(self.wants_pause))
            return Response(503, (("x-not-executed", "1"), pause), b"")
        return None

    async def _answer(self, request: Request) -> Response:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        request_id = request.headers["x-request-id"]
        self.runs[request_id] += 1
        self.requests.append(request)
        self.arrived_at.append(get_running_loop().time())
        await self._sleep(self.reading_seconds, request_id)
        if self.prefill_seconds:
            await self._read_in_turn(request_id)
        if request.body == self.fatal_body or self.fatal_parts & shared_parts(request):
            return await self._end_under(request)
        if self.fault == "silent":
            await self._sleep(60, request_id)
        echoed = "other" if self.fault == "foreign" else request_id
        headers = (("x-request-id", echoed), ("x-response-signature", self.name))
        if self.fault == "fail":
            return Response(self.failure_status, headers, b"failed")
        if self.fault == "late":
            limit = float(request.headers["x-deadline-ms"]) / 1000
            await self._sleep(max(0.0, limit - LATE_MARGIN), request_id)
            return Response(504, headers, b"late")
        if "stream" not in request.target:
            await self._sleep(self.work_seconds, request_id)
            body = self.bodies.get(request.target, WHOLE_ANSWER)
            return Response(200, headers, body)
        events = self._events(request, request_id)
        return Response(200, (*headers, ("content-type", "text/event-stream")), events)

    def _is_full(self) -> bool:
        return self.max_held is not None and self.held >= self.max_held

    async def _read_in_turn(self, request_id: str) -> None:
        """Read a prompt once those before it have been read."""
        self.held += 1
        try:
            async with self.prefill:
                await self._sleep(self.prefill_seconds, request_id)
        finally:
            self.held -= 1

    async def _end_under(self, request: Request) -> Response:
        """End under a request, some of whose answer may have gone out."""
        request_id = request.headers["x-request-id"]
        headers = (("x-request-id", request_id), ("x-response-signature", self.name))
        if self.fatal_way == "reset":
            self.ending = create_task(self.crash())
            await sleep(60)
        first = int(request.headers.get("last-event-id", 0)) + 1
        return Response(200, headers, self._fatal_events(first))

    async def _fatal_events(self, first: int) -> AsyncIterator[bytes]:
        if self.fatal_way == "event":
            yield event(first)
        else:
            yield b"id"
        self.ending = create_task(self.crash())
        await sleep(60)

    async def _events(self, request: Request, request_id: str) -> AsyncIterator[bytes]:
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            await self._sleep(self.pause, request_id)
            if self.fault == "gap" and number == EVENTS // 2:
                continue
            yield self._event(number)
            if self.fault == "cut" and number == EVENTS // 2:
                yield b"id: 9"
                raise AnswerCutError("cut on purpose")

    def _event(self, number: int) -> bytes:
        if not self.shows_version:
            return event(number)
        return f"id: {number}\ndata: piece {self.version}\n\n".encode()

    async def _sleep(self, seconds: float, request_id: str) -> None:
        try:
            await sleep(seconds)
        except BaseException:
            self.cancelled.append(request_id)
            raise


def shared_parts(request: Request) -> frozenset[str]:
    """Return the parts of a prompt but the last one."""
    parts = request.headers.get("x-prefix-hash", "").split(",")
    return frozenset(part.partition(":")[0] for part in parts[:-1])


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


WHOLE_STREAM = b"".join(map(event, range(1, EVENTS + 1)))
