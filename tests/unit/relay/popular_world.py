"""Simulates entries that relay streams to endpoints that end, in virtual time.

Real: the quarantine and its exchange, the detector of ends, attempts and streams.
Stand-ins: endpoints, connections, the store and the choice of an endpoint.
"""

from asyncio import Event, Task, create_task, get_running_loop, sleep, timeout_at
from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Coroutine,
    Iterator,
)
from contextlib import contextmanager
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, NamedTuple

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.admission import Admitted
from clementinebend_relay.attempts import Attempts
from clementinebend_relay.dispatch import NotSent, ResponseStarted
from clementinebend_relay.endpoint_state import EndpointState, UnreadCall
from clementinebend_relay.interfaces import Verdict
from clementinebend_relay.models import Endpoint, Rejection, RouteKind, boot_name
from clementinebend_relay.planned_stop import PlannedStop
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.quarantine.end_detector import EndDetector
from clementinebend_relay.streams import StreamRelay
from clementinebend_relay.survey import Placement, Survey
from clementinebend_transport.exceptions import AnswerCutError, TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer
from tests.unit.relay import calls
from tests.unit.relay.quarantine_world import QuarantineEntry, QuarantineWorld, endpoint

EVENTS = 8
BACK_SECONDS = 1.0
LIMIT = 4.0
MAX_ATTEMPTS = 2
OTHER_DATA_PAUSE = 0.2
AHEAD_SECONDS = 1e-6


class Pace(NamedTuple):
    """Seconds until a stream's first event, and between its events."""

    first: float = 0.45
    further: float = 0.45

    def due(self, number: int) -> float:
        """Return the seconds until an event, from 0, counted from the call."""
        return self.first + number * self.further


SLOW = Pace()
"""A stream that takes 3.6 s."""


class Arrival(NamedTuple):
    """A call that reached an endpoint."""

    at: float
    boot: str
    fingerprint: str
    request_id: str


class Outcome(NamedTuple):
    """How a call ended, as its caller sees it."""

    sent_at: float
    ended_at: float
    is_whole: bool
    events: int
    rejection: Rejection | None


@dataclass
class Engine:
    """One boot of an endpoint."""

    endpoint: Endpoint
    ended: Event
    ended_at: float | None = None

    @property
    def boot(self) -> str:
        """Name of this boot."""
        return boot_name(self.endpoint)

    def end(self) -> None:
        """End now, with all that runs here."""
        if not self.ended.is_set():
            self.ended_at = get_running_loop().time()
            self.ended.set()


class Chunks:
    """The events of an answer; waiting for one may be interrupted and repeated."""

    def __init__(self, engine: Engine, pace: Pace, first: int) -> None:
        self.engine = engine
        self.pace = pace
        self.first = first
        self.number = 0
        self.started_at = get_running_loop().time()

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        number = self.first + self.number
        if number > EVENTS:
            raise StopAsyncIteration
        due_at = self.started_at + self.pace.due(self.number)
        if await self._ends_before(due_at):
            raise TruncatedAnswer("peer closed connection")
        self.number += 1
        return f"id: {number}\ndata: x\n\n".encode()

    async def _ends_before(self, at: float) -> bool:
        ended = self.engine.ended
        try:
            async with timeout_at(at):
                await ended.wait()
        except TimeoutError:
            return False
        return True


def clock() -> float:
    """Return the virtual time, slightly ahead of the timers.

    A timer fires up to a nanosecond early, and the virtual time stands still until
    nothing is left to do. Code that repeats a wait until the clock has reached the
    time of its timer would never end.
    """
    return get_running_loop().time() + AHEAD_SECONDS


class StandinDispatcher:
    """Sends calls of one entry to the engines of the world."""

    def __init__(self, world: "PopularWorld", entry: QuarantineEntry) -> None:
        self.world = world
        self.quarantine = entry.quarantine
        self.clock = clock
        self.states: dict[str, EndpointState] = {}
        self.ends = EndDetector(
            clock,
            entry.quarantine.runs.checking,
            entry.sync.on_ended,
            world.is_refused,
        )
        self.endpoints = SimpleNamespace(
            drop=lambda *args: None,
            on_end=lambda *args, **named: None,
            on_failure=lambda *args: None,
            retry_delay=lambda service, software_version: None,
            replacement=lambda state: None,
            is_in_step=lambda: True,
            candidates=lambda service, software_version: self.states.values(),
        )
        self.protocol = SimpleNamespace(caller_headers=lambda headers: ())

    def may_retry(self, service: str) -> bool:
        return True

    def is_usable(self, survey: Survey) -> bool:
        return True

    async def has_permit(self, admitted: Admitted, state: EndpointState) -> bool:
        return True

    def on_first_token(self, admitted: Admitted, state: EndpointState) -> None:
        return None

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        """Choose the first running endpoint: the session is the same for all."""
        running = [
            engine
            for engine in self.world.running()
            if engine.endpoint.name not in tried
        ]
        if not running:
            return Survey(self.clock(), None, None)
        return Survey(
            self.clock(), Placement(self.state(running[0]), 0, 100, None), None
        )

    def state(self, engine: Engine) -> EndpointState:
        """Return what this entry keeps of an engine."""
        kept = self.states.get(engine.boot)
        if kept is None:
            kept = EndpointState(engine.endpoint, self.clock())
            self.states[engine.boot] = kept
        return kept

    @contextmanager
    def in_flight(self, admitted: Admitted, placement: Placement) -> Iterator[None]:
        state = placement.state
        state.unread[admitted.call.request_id] = UnreadCall(1, 100, 0.0, 0.0, None)
        state.in_flight += 1
        try:
            yield
        finally:
            state.in_flight -= 1
            state.unread.pop(admitted.call.request_id, None)

    async def open(
        self,
        admitted: Admitted,
        state: EndpointState,
        deadline: float,
        head_deadline: float,
        resume_after: str | None,
    ) -> ResponseStarted | NotSent:
        engine = self.world.engines[boot_name(state.endpoint)]
        if engine.ended.is_set():
            return NotSent("connection refused")
        chunks = self.world.run(engine, admitted, resume_after)
        state.on_heard(self.clock())
        self.ends.on_alive(engine.boot)
        self.quarantine.on_alive(engine.boot)
        answer = OpenAnswer(200, {}, chunks, lambda: None)
        return ResponseStarted(state, answer, Verdict.SUCCESS)


class PopularWorld(QuarantineWorld):
    """Entries and engines; some requests end the engines that run them.

    ``fatal_after`` maps such requests to the seconds after which they do so.
    """

    def __init__(self, entries: int, engines: int, pace: Pace = SLOW) -> None:
        super().__init__(entries)
        self.pace = pace
        self.engines: dict[str, Engine] = {}
        self.arrivals: list[Arrival] = []
        self.fatal_after: dict[str, float] = {}
        self.sessions = [self._boot(number) for number in range(engines)]
        self.next_engine = engines
        self.comes_back = True
        self.dispatchers = {
            entry.name: StandinDispatcher(self, entry) for entry in self.all()
        }
        self.calls_made = 0
        self.tasks: list[Task[Any]] = []

    def clock(self) -> float:
        """Return the time that the entries see."""
        return clock()

    def running(self) -> list[Engine]:
        """Return the running engines in the order of the session."""
        return [engine for engine in self.sessions if not engine.ended.is_set()]

    async def is_refused(self, asked: Endpoint) -> bool:
        """Tell whether nobody listens at the address of an endpoint."""
        listening = (engine.endpoint.address for engine in self.running())
        return asked.address not in listening

    def ends(self) -> int:
        """Return how many engines have ended."""
        return sum(engine.ended.is_set() for engine in self.engines.values())

    def run(self, engine: Engine, admitted: Admitted, after: str | None) -> Chunks:
        """Start a run at an engine."""
        now = get_running_loop().time()
        fingerprint = admitted.fingerprint
        arrival = Arrival(now, engine.boot, fingerprint, admitted.call.request_id)
        self.arrivals.append(arrival)
        fatal_after = self.fatal_after.get(fingerprint)
        if fatal_after is not None:
            get_running_loop().call_later(fatal_after, self.crash, engine)
        return Chunks(engine, self.pace, int(after or 0) + 1)

    def crash(self, engine: Engine) -> None:
        """End an engine, which is back as another boot a moment later."""
        if engine.ended.is_set():
            return
        engine.end()
        if self.comes_back:
            get_running_loop().call_later(BACK_SECONDS, self._come_back)

    def overlap(self, first: Arrival, second: Arrival) -> bool:
        """Tell whether the later of two runs at an engine came before its end."""
        ended_at = self.engines[first.boot].ended_at
        return ended_at is not None and max(first.at, second.at) < ended_at

    def now(self) -> float:
        """Return the virtual time."""
        return get_running_loop().time()

    def crash_after(self, seconds: float, number: int) -> None:
        """End one of the first engines some seconds from now."""
        get_running_loop().call_later(seconds, self.crash, self.sessions[number])

    def call(
        self,
        entry: int,
        fingerprint: str,
        limit: float = LIMIT,
        kind: RouteKind = RouteKind.STREAM,
        may_repeat: bool = True,
    ) -> Task[Outcome]:
        """Make a call without waiting for its outcome."""
        self.calls_made += 1
        progress = self._progress(fingerprint, limit, kind, may_repeat)
        named = self.all()[entry]
        task = create_task(self._serve(self.dispatchers[named.name], named, progress))
        self.tasks.append(task)
        return task

    def _progress(
        self, fingerprint: str, limit: float, kind: RouteKind, may_repeat: bool
    ) -> CallProgress:
        attempts = MAX_ATTEMPTS if may_repeat else 1
        route = calls.route(kind, attempts, may_repeat)
        call = calls.CALL._replace(request_id=f"r{self.calls_made}")
        admitted = calls.admitted(route, call)._replace(
            fingerprint=fingerprint, time_limit=limit
        )
        return CallProgress(admitted, get_running_loop().time() + limit)

    async def _serve(
        self,
        dispatcher: StandinDispatcher,
        entry: QuarantineEntry,
        progress: CallProgress,
    ) -> Outcome:
        """Serve a call as the handler does."""
        sent_at = self.now()
        rejection = entry.quarantine.refusal(progress.admitted.fingerprint)
        if rejection is None:
            rejection = await self._relay(dispatcher, entry, progress)
        return Outcome(
            sent_at, self.now(), progress.is_whole, progress.events, rejection
        )

    async def _relay(
        self,
        dispatcher: StandinDispatcher,
        entry: QuarantineEntry,
        progress: CallProgress,
    ) -> Rejection | None:
        attempts = Attempts(dispatcher, entry.sync, PlannedStop(clock), clock)  # type: ignore[arg-type]
        origins: Any = SimpleNamespace(tell=lambda *arguments: None)
        relay = StreamRelay(attempts, dispatcher, origins, clock)  # type: ignore[arg-type]
        response = None
        try:
            async with timeout_at(progress.deadline):
                response = await relay.answer(progress, lambda: None)
        except TimeoutError:
            progress.problem = "the time limit has passed"
        if response is None:
            return progress.rejection(clock())
        assert not isinstance(response.body, bytes)
        try:
            async for _ in response.body:
                pass
        except AnswerCutError:
            return None
        return None

    def start_other_traffic(self) -> None:
        """Let each running engine send data of other calls to all entries."""
        self.tasks.append(create_task(self._send_other_data()))

    async def _send_other_data(self) -> None:
        while True:
            await sleep(OTHER_DATA_PAUSE)
            for engine in self.running():
                for dispatcher in self.dispatchers.values():
                    dispatcher.state(engine).on_heard(self.now())

    async def stop(self) -> None:
        """Stop all entries and calls."""
        for task in self.tasks:
            task.cancel()
        self.end()
        await sleep(0.1)

    def _boot(self, number: int) -> Engine:
        engine = Engine(endpoint(number), Event())
        self.engines[engine.boot] = engine
        return engine

    def _come_back(self) -> None:
        self.sessions.append(self._boot(self.next_engine))
        self.next_engine += 1


def play(
    scenario: Callable[[PopularWorld], Coroutine[Any, Any, None]],
    entries: int = 3,
    engines: int = 6,
    pace: Pace = SLOW,
) -> None:
    """Play a scenario in a new world, in virtual time."""

    async def main() -> None:
        world = PopularWorld(entries, engines, pace)

        try:
            await scenario(world)
        finally:
            await world.stop()

    run_virtually(main())
