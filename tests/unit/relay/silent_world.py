"""Whole entries before endpoints that fall silent for a while, in virtual time."""

from asyncio import create_task, gather, sleep
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from expression import Ok, Result
from h11 import Request as HttpRequest
from msgspec.json import decode, encode

from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_client import HttpFailure, OpenAnswer
from clementinebend_transport.http_types import Request
from tests.unit.relay.crash_endpoints import Chunks, CrashingEndpoint, Work
from tests.unit.relay.crash_world import HOST, TEAM, CrashWorld

EVENTS = 8
EVENT_PAUSE = 0.05
STREAM_SECONDS = 10.0
SETTLE_SECONDS = 0.5
"""Seconds after the last stream until nothing may be in flight."""

FOR_GOOD = 60.0

SILENT_RUNS = {"silent": 100, "second silent": 2}
"""How many runs of a stream fall silent, by what later ones meet; otherwise one."""


class Silence(NamedTuple):
    """How the first run of each stream falls silent, and what later ones meet.

    The run sends nothing for ``seconds`` before the event numbered ``before``, or, if
    that is 0, before the head of its answer.
    ``later`` is what later runs meet: ``""`` (they run), ``"full"`` (not run),
    ``"fail"`` (500), ``"silent"`` (silent in the same way), ``"second silent"`` (only
    the second one is) or ``"slow"``: the first event comes after ``slow_seconds``.
    ``ends_after`` is how long after the beginning
    of the silence the first run breaks off, if it does.
    """

    before: int = 4
    seconds: float = 1.2
    later: str = ""
    slow_seconds: float = 0.5
    ends_after: float | None = None


class RunSeen(NamedTuple):
    """One run of a stream at an endpoint: its events and its end, in seconds."""

    body: bytes
    name: str
    events: list[tuple[int, float]]
    ended: list[float]


class StreamResult(NamedTuple):
    """What a caller got: the numbers of the events, and when each of them came."""

    status: int
    numbers: list[int]
    times: list[float]
    problem: str

    @property
    def is_whole(self) -> bool:
        """Whether all events came, each once and in order."""
        return not self.problem and self.numbers == list(range(1, EVENTS + 1))

    @property
    def longest_gap(self) -> float:
        """The longest time in seconds between two events."""
        return max(
            after - before
            for before, after in zip(self.times, self.times[1:], strict=False)
        )


class SilentEndpoint(CrashingEndpoint):
    """An endpoint of a ``SilentWorld``.

    ``numbers`` tells of each stream how many runs of it had begun with the one here.
    """

    world: "SilentWorld"
    numbers: dict[bytes, int]

    async def answer(
        self, request: HttpRequest, body: bytes
    ) -> Result[OpenAnswer, HttpFailure]:
        """Answer a request, unless it is turned away."""
        if self.world.runs_begun[body] and self.world.silence.later == "full":
            chunks = Chunks(_nothing(), self.start)
            headers = {"x-not-executed": "1", "x-instance-id": self.name}
            return Ok(OpenAnswer(503, headers, chunks, chunks.close))
        self.world.runs_begun[body] += 1
        runs, later = self.world.runs_begun[body], self.world.silence.later
        self.numbers[body] = runs
        if self.world.silence.before == 0 and runs <= SILENT_RUNS.get(later, 1):
            with self.world.holding():
                await self._be_silent(self.world.silence)
        answered = await super().answer(request, body)
        if runs > 1 and later == "fail":
            return answered.map(lambda answer: answer._replace(status=500))
        return answered

    async def _chunks(
        self, work: Work, body: bytes, first: int, is_stream: bool
    ) -> AsyncIterator[bytes]:
        silence = self.world.silence
        is_first = self.numbers[body] == 1
        is_silent = self.numbers[body] <= SILENT_RUNS.get(silence.later, 1)
        run = RunSeen(body, self.name, [], [])
        self.world.runs.append(run)
        try:
            with self.world.holding():
                for number in range(first, EVENTS + 1):
                    if number == silence.before and is_silent:
                        await self._be_silent(silence)
                    elif number == first and not is_first and silence.later == "slow":
                        await self._work(silence.slow_seconds)
                    await self._work(EVENT_PAUSE)
                    run.events.append((number, self.clock()))
                    yield f"id: {number}\ndata: piece {self.version}\n\n".encode()
        finally:
            run.ended.append(self.clock())

    async def _be_silent(self, silence: Silence) -> None:
        if silence.ends_after is not None:
            await self._work(silence.ends_after)
            self.end()
        await self._work(silence.seconds)


class SilentWorld(CrashWorld):
    """Entries before endpoints whose runs fall silent."""

    def __init__(
        self, silence: Silence, endpoints: int = 6, max_attempts: int = 2
    ) -> None:
        self.silence = silence
        self.max_attempts = max_attempts
        self.runs_begun: Counter[bytes] = Counter()
        self.held: set[object] = set()
        self.asked_at: dict[bytes, float] = {}
        self.runs: list[RunSeen] = []
        super().__init__(1, endpoints)

    def configuration(self) -> bytes:
        """Return the routes, with time for a stream that is silent for a while."""
        document: Any = decode(super().configuration())
        for each in document["routes"]:
            each["timeout_ms"] = STREAM_SECONDS * 1000
            each["max_attempts"] = min(each["max_attempts"], self.max_attempts)
            if each["name"] == "stream":
                each["max_attempts"] = self.max_attempts
        return encode(document)

    def _start_endpoint(self, address: Address) -> CrashingEndpoint:
        endpoint = SilentEndpoint(
            f"i-{next(self.names)}",
            address,
            self.clock,
            self.work_of,
            self.start,
            self._on_end,
        )
        endpoint.world = self
        endpoint.numbers = {}
        self.endpoints.append(endpoint)
        self.by_address[address] = endpoint
        return endpoint

    def states(self) -> list[EndpointState]:
        """Return the entry's states of all endpoints."""
        return list(self.entries[0].endpoints.states.values())

    def in_flight(self) -> int:
        """Return how many runs this entry counts as in progress, in all its tables."""
        states = self.states()
        runs = self.entries[0].sync.quarantine.runs.in_flight
        counted = sum(state.in_flight + len(state.unread) for state in states)
        return counted + sum(runs.values())

    async def stream(
        self, number: int, path: str = "/stream/x", leaves_after: int | None = None
    ) -> StreamResult:
        """Read a stream; leave after some events, if ``leaves_after`` says so."""
        request = stream_request(number, path)
        self.asked_at[request.body] = self.clock()
        response = await self.entries[0].handler.handle(request)
        if isinstance(response.body, bytes):
            return StreamResult(response.status, [], [], response.body.decode())
        numbers: list[int] = []
        times: list[float] = []
        try:
            async for piece in response.body:
                numbers.append(int(piece.split(b"\n")[0].removeprefix(b"id: ")))
                times.append(self.clock())
        except AnswerCutError as error:
            return StreamResult(response.status, numbers, times, str(error))
        return StreamResult(response.status, numbers, times, "")

    async def streams(self, number: int) -> list[StreamResult]:
        """Read some streams side by side."""
        tasks = [create_task(self.stream(each)) for each in range(number)]
        return list(await gather(*tasks))

    @contextmanager
    def holding(self) -> Iterator[None]:
        """Count a run as in progress during the context."""
        run = object()
        self.held.add(run)
        try:
            yield
        finally:
            self.held.discard(run)

    async def settle(self) -> None:
        """Wait until what has been closed has ended."""
        await sleep(SETTLE_SECONDS)

    def slowest_first_event(self) -> float:
        """Return the longest time in seconds from a request to its first event."""
        first_at = {
            run.body: min(at for _, at in run.events) for run in self.runs if run.events
        }
        return max(first_at[body] - at for body, at in self.asked_at.items())

    def runs_in_progress(self) -> int:
        """Return at how many endpoints requests are in progress."""
        return len(self.held)

    def overlap(self, body: bytes) -> float:
        """Return for how long two runs of a stream went on, in seconds.

        From the second one's first event on.
        """
        first, second = (run for run in self.runs if run.body == body)
        return first.ended[0] - second.events[0][1]


def stream_request(number: int, path: str = "/stream/x") -> Request:
    """Return the request of a stream of its own."""
    headers = {
        "host": HOST,
        "x-request-id": f"s{number}",
        "x-deadline-ms": str(int(STREAM_SECONDS * 1000)),
        "authorization": f"Bearer {TEAM}",
        "x-token-usage": "100,24",
        "x-prefix-hash": f"a{number:x}:60,b{number:x}:40",
    }
    return Request("POST", path, headers, body_of(number))


def body_of(number: int) -> bytes:
    """Return the body of a stream's request."""
    return f"stream {number}".encode()


async def _nothing() -> AsyncIterator[bytes]:
    yield b""
