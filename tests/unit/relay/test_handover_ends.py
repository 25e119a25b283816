"""The ends of hand-overs of silent streams, whole entries in virtual time."""

from asyncio import get_running_loop
from collections.abc import AsyncIterator, Callable, Collection
from gc import collect
from itertools import accumulate, chain, count, repeat, takewhile
from typing import Any, NamedTuple

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.admission import Admitted
from clementinebend_relay.events import MAX_EMPTY_EVENTS
from clementinebend_relay.handovers import HANDOVER_PAUSE_SECONDS
from clementinebend_relay.streams import MAX_EXTRA_EVENTS
from clementinebend_relay.survey import Survey
from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import AnswerCutError
from tests.unit.relay.crash_endpoints import CrashingEndpoint, Work
from tests.unit.relay.silent_world import (
    EVENT_PAUSE,
    EVENTS,
    FOR_GOOD,
    RunSeen,
    Silence,
    SilentEndpoint,
    SilentWorld,
    StreamResult,
    stream_request,
)
from tests.unit.relay.test_handovers import handovers

FAULT = "a fault of the relay"

TOKENS = 24
"""Output tokens that the calls of ``SilentWorld`` ask for."""


def read_stream(
    world_of: Callable[[], SilentWorld],
    prepare: Callable[[SilentWorld], None] = lambda world: None,
) -> tuple[SilentWorld, StreamResult]:
    """Read one stream, and check that nothing is in flight after it."""

    async def main() -> tuple[SilentWorld, StreamResult, int]:
        world = world_of()
        prepare(world)
        seen = await world.stream(1)
        await world.settle()
        counted = world.in_flight()
        await world.stop()
        return world, seen, counted

    world, seen, counted = run_virtually(main())
    assert counted == 0
    return world, seen


def one_retry(world: SilentWorld) -> None:
    """Leave a budget of one retry."""
    allowed = iter([True])
    dispatcher = world.entries[0].dispatcher
    dispatcher.may_retry = lambda service: next(allowed, False)  # type: ignore[method-assign]


@pytest.mark.parametrize("ends_after", [1.3, 1.4, 1.5])
def test_a_second_attempt_that_is_left_alone_is_not_given_up(ends_after: float) -> None:
    """Guards against streams that are cut between two endpoints."""
    silence = Silence(
        seconds=FOR_GOOD, later="slow", slow_seconds=1.4, ends_after=ends_after
    )
    _, seen = read_stream(lambda: SilentWorld(silence, max_attempts=3), one_retry)
    assert seen.is_whole, seen


class Piece(NamedTuple):
    """Bytes that a run sends ``seconds`` after those before."""

    seconds: float
    data: bytes


class Script(NamedTuple):
    """What the first two runs of a stream send; later runs send each event."""

    first: tuple[Piece, ...]
    second: tuple[Piece, ...]


class ScriptedEndpoint(SilentEndpoint):
    """An endpoint of a ``ScriptedWorld``."""

    world: "ScriptedWorld"

    async def _chunks(
        self, work: Work, body: bytes, first: int, is_stream: bool
    ) -> AsyncIterator[bytes]:
        run_number = self.world.runs_begun[body]
        pieces = events(first, EVENTS)
        if run_number <= len(self.world.script):
            pieces = self.world.script[run_number - 1]
        run = RunSeen(body, self.name, [], [])
        self.world.runs.append(run)
        try:
            for piece in pieces:
                await self._work(piece.seconds)
                yield piece.data
        finally:
            run.ended.append(self.clock())


class ScriptedWorld(SilentWorld):
    """An entry before endpoints whose runs follow a script."""

    def __init__(self, script: Script, max_attempts: int = 2) -> None:
        self.script = script
        super().__init__(Silence(), max_attempts=max_attempts)

    def _start_endpoint(self, address: Address) -> CrashingEndpoint:
        started = super()._start_endpoint(address)
        endpoint = ScriptedEndpoint(
            started.name,
            address,
            self.clock,
            self.work_of,
            self.start,
            self._on_end,
        )
        endpoint.world = self
        endpoint.numbers = {}
        self.endpoints[-1] = endpoint
        self.by_address[address] = endpoint
        return endpoint

    async def stream(
        self, number: int, path: str = "/stream/x", leaves_after: int | None = None
    ) -> StreamResult:
        """Read a stream, of which empty events are passed over."""
        response = await self.entries[0].handler.handle(stream_request(number, path))
        assert not isinstance(response.body, bytes)
        numbers: list[int] = []
        times: list[float] = []
        try:
            async for piece in response.body:
                if piece.startswith(b"id: "):
                    numbers.append(int(piece.split(b"\n")[0].removeprefix(b"id: ")))
                    times.append(self.clock())
        except AnswerCutError as error:
            return StreamResult(response.status, numbers, times, str(error))
        return StreamResult(response.status, numbers, times, "")


def events(
    first: int, last: int, first_pause: float = EVENT_PAUSE
) -> tuple[Piece, ...]:
    """Return events with consecutive numbers, the first one after a pause."""
    pauses = chain([first_pause], repeat(EVENT_PAUSE))
    numbers = range(first, last + 1)
    return tuple(
        Piece(pause, event(number))
        for number, pause in zip(numbers, pauses, strict=False)
    )


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: piece\n\n".encode()


def read_script(script: Script, max_attempts: int = 2) -> StreamResult:
    """Read one stream of a script."""
    return read_stream(lambda: ScriptedWorld(script, max_attempts))[1]


@pytest.mark.parametrize(
    "end",
    [
        pytest.param((Piece(1.4, b"id: 4\nda"),), id="half an event"),
        pytest.param(events(6, 8, 1.4), id="events are missing"),
        pytest.param(events(3, 8, 1.4), id="an event is duplicated"),
        pytest.param((Piece(1.4, event(4) + event(6)),), id="an event is missing"),
    ],
)
def test_a_stream_goes_on_elsewhere_if_the_silent_endpoint_ends_wrongly(
    end: tuple[Piece, ...],
) -> None:
    """Guards against a second attempt that is closed for a response of no use."""
    script = Script((*events(1, 3), *end), events(4, EVENTS, 1.0))
    seen = read_script(script)
    assert seen.is_whole, seen


def test_a_whole_end_of_the_silent_endpoint_ends_the_stream() -> None:
    """Guards against streams that wait for a second attempt after their end."""
    script = Script((*events(1, EVENTS), Piece(1.4, b"")), (Piece(FOR_GOOD, b""),))
    seen = read_script(script)
    assert seen.is_whole, seen


def test_an_empty_event_of_the_second_attempt_is_not_its_first_one() -> None:
    """Guards against a sound endpoint that is closed for a comment of another one."""
    ping = Piece(0.05, b": ping\n\n")
    script = Script(
        (*events(1, 3), *events(4, EVENTS, 1.4)), (ping, *events(4, EVENTS, 3.0))
    )
    seen = read_script(script)
    assert seen.is_whole, seen
    assert seen.longest_gap < 2.0


def test_an_empty_event_of_the_silent_endpoint_does_not_end_the_second_attempt() -> (
    None
):
    """Guards against streams that wait for an endpoint that only sends comments."""
    pings = (Piece(1.0, b": ping\n\n"), Piece(FOR_GOOD, b": ping\n\n"))
    script = Script((*events(1, 3), *pings), events(4, EVENTS, 0.5))
    seen = read_script(script)
    assert seen.is_whole, seen
    assert seen.longest_gap < 2.0


def test_a_whole_end_after_an_empty_event_ends_the_stream() -> None:
    """Guards against streams that wait for a second attempt after their end."""
    ping = Piece(1.2, b": ping\n\n")
    script = Script((*events(1, EVENTS), ping), (Piece(FOR_GOOD, b""),))
    seen = read_script(script)
    assert seen.is_whole, seen


def test_empty_events_without_end_break_a_silent_endpoint_off() -> None:
    """Guards against comments that are held without limit."""
    pings = (Piece(1.0, b": ping\n\n" * (MAX_EMPTY_EVENTS + 1)),)
    rest = (Piece(FOR_GOOD, b""),)
    script = Script((*events(1, 3), *pings, *rest), events(4, EVENTS, 1.0))
    seen = read_script(script)
    assert seen.is_whole, seen
    assert seen.longest_gap < 2.0


def without_placement(world: SilentWorld) -> None:
    """Leave no endpoint for second attempts."""
    dispatcher = world.entries[0].dispatcher
    survey = dispatcher.survey

    async def survey_in_vain(admitted: Admitted, tried: Collection[str]) -> Survey:
        found = await survey(admitted, tried)
        return found._replace(placement=None) if tried else found

    dispatcher.survey = survey_in_vain  # type: ignore[method-assign]


def test_attempts_that_are_not_sent_use_up_no_retries() -> None:
    """Guards against streams that wait and leave no retry to other calls."""
    silence = Silence(seconds=6.0)
    before = handovers("no endpoint")
    world, seen = read_stream(lambda: SilentWorld(silence), without_placement)
    assert seen.is_whole, seen
    assert handovers("no endpoint") > before
    assert not world.entries[0].dispatcher.retry_window("pool").retries


def test_attempts_that_are_sent_are_counted_as_retries() -> None:
    """Guards against retries that are given back although they were sent."""
    silence = Silence(seconds=FOR_GOOD)
    world, seen = read_stream(lambda: SilentWorld(silence))
    assert seen.is_whole, seen
    assert len(world.entries[0].dispatcher.retry_window("pool").retries) == 1


def test_second_attempts_that_find_no_endpoint_become_rare() -> None:
    """Guards against surveys and log lines twice a second for each silent stream."""
    silence = Silence(seconds=6.0)
    before = handovers("no endpoint")
    _, seen = read_stream(lambda: SilentWorld(silence), without_placement)
    assert seen.is_whole, seen
    pauses = accumulate(HANDOVER_PAUSE_SECONDS * 2**each for each in count())
    most = len(list(takewhile(lambda passed: passed < silence.seconds, pauses)))
    assert handovers("no endpoint") - before <= most


def failing_survey(world: SilentWorld) -> None:
    """Let second attempts fail before they are sent."""
    dispatcher = world.entries[0].dispatcher
    survey = dispatcher.survey

    async def failing(admitted: Admitted, tried: Collection[str]) -> Survey:
        if tried:
            raise RuntimeError(FAULT)
        return await survey(admitted, tried)

    dispatcher.survey = failing  # type: ignore[method-assign]


def failing_events(world: SilentWorld) -> None:
    """Let second attempts fail as they read their first event."""
    outcomes = world.entries[0].handler.streams.attempts.outcomes

    def failing(*args: Any) -> None:
        raise RuntimeError(FAULT)

    outcomes.on_broken = failing  # type: ignore[method-assign, assignment]


def read_with_fault(
    world_of: Callable[[], SilentWorld], prepare: Callable[[SilentWorld], None]
) -> tuple[StreamResult, list[dict[str, Any]]]:
    """Read a stream; return what the event loop reports, too."""
    reports: list[dict[str, Any]] = []

    def prepared(world: SilentWorld) -> None:
        handler = reports.append
        get_running_loop().set_exception_handler(lambda _, report: handler(report))
        prepare(world)

    seen = read_stream(world_of, prepared)[1]
    collect()
    return seen, reports


def test_an_error_before_a_second_attempt_is_sent_does_not_end_the_first_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against sound streams that an error beside them ends."""
    before = handovers("failed")
    seen, reports = read_with_fault(lambda: SilentWorld(Silence()), failing_survey)
    assert seen.is_whole, seen
    assert reports == []
    assert FAULT in caplog.text
    assert handovers("failed") > before


def test_an_error_in_a_second_attempt_does_not_end_the_first_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against sound streams that an error beside them ends."""
    script = Script((*events(1, 3), *events(4, EVENTS, 1.4)), events(7, 8))
    before = handovers("failed")
    seen, reports = read_with_fault(lambda: ScriptedWorld(script), failing_events)
    assert seen.is_whole, seen
    assert reports == []
    assert FAULT in caplog.text
    assert handovers("failed") == before + 1


def test_no_event_is_missing_after_an_attempt_that_is_too_long() -> None:
    """Guards against resuming after an event that was refused, and not relayed."""
    limit = TOKENS + MAX_EXTRA_EVENTS
    script = Script(events(1, limit + 5), events(limit + 1, limit + 4))
    seen = read_script(script)
    assert not seen.problem
    assert seen.numbers == [*range(1, limit + 5)]
