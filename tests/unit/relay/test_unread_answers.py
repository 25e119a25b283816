"""What an entry does with callers that do not read, over sockets of this machine."""

from asyncio import (
    Event,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
)
from asyncio import timeout as time_limit
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import ExitStack
from logging import INFO
from math import inf
from socket import SO_RCVBUF, SOL_SOCKET, socket
from typing import Any

import pytest

from clementinebend_platform.http_protocol import PlatformProtocol
from clementinebend_relay.answer_room import AnswerRoom
from clementinebend_relay.attempts import OpenAttempt
from clementinebend_relay.bodies import BodyFailure, read_body
from clementinebend_relay.decisions import logger as decisions
from clementinebend_relay.endpoint_state import EndpointState, UnreadCall
from clementinebend_relay.metrics import disconnected_callers
from clementinebend_relay.models import Endpoint, RouteKind
from clementinebend_relay.plain import PlainRelay
from clementinebend_relay.streams import RelayedEvents
from clementinebend_relay.unread_answers import MAX_LOGGED, UnreadAnswers
from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer
from clementinebend_transport.http_connection import HttpConnection
from clementinebend_transport.http_types import Request, Response
from tests.unit.relay.calls import CALL, progress, route
from tests.unit.transport.loopback import HOST, PATIENCE, serving, until

MIB = 1024 * 1024
MEMORY = 40 * MIB
LIMIT = 10 * MIB
ANSWER_BYTES = 8 * MIB
IDLE_CALLERS = 8
SMALL_BUFFER = 4096
ENDLESS_ANSWERS = 20
READ_BYTES = 100_000
READ_PAUSE = 0.02
"""Pause in seconds before each ``READ_BYTES`` that a slow caller reads."""

PLAIN = route(RouteKind.ONCE)
NO_PIECES: tuple[bytes, ...] = ()


async def answer_large(request: Request) -> Response:
    return Response(200, (), bytes(ANSWER_BYTES))


def connect_idle(port: int, number: int) -> socket:
    """Return the connection of a caller that sends a request and reads nothing."""
    caller = socket()
    caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
    caller.connect((HOST, port))
    caller.sendall(request_bytes(number))
    return caller


def request_bytes(number: int) -> bytes:
    return f"GET /a HTTP/1.1\r\nhost: x\r\nx-request-id: r{number}\r\n\r\n".encode()


async def read_slowly(port: int) -> int:
    """Return how many bytes of an answer a caller gets that reads it steadily."""
    caller = connect_idle(port, IDLE_CALLERS)
    reader, writer = await open_connection(sock=caller, limit=SMALL_BUFFER)
    await reader.readuntil(b"\r\n\r\n")
    received = 0
    while received < ANSWER_BYTES:
        await sleep(READ_PAUSE)
        wanted = min(READ_BYTES, ANSWER_BYTES - received)
        while wanted and (piece := await reader.read(wanted)):
            received += len(piece)
            wanted -= len(piece)
        if wanted:
            break
    writer.close()
    return received


async def test_the_sum_is_bounded_and_a_steady_reader_is_kept(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Only callers that read nothing may be disconnected as too much is held."""
    before = disconnected_callers._value.get()
    with caplog.at_level(INFO, decisions.name), ExitStack() as callers:
        async with serving(answer_large) as server:
            unread = UnreadAnswers(MEMORY, PlatformProtocol(), get_running_loop().time)
            unread.connections = server.connections.values
            for number in range(IDLE_CALLERS):
                callers.enter_context(connect_idle(server.port, number))
            reading = create_task(read_slowly(server.port))
            await until(lambda: unread.held_bytes() > 2 * LIMIT)
            running = create_task(unread.run())
            async with time_limit(PATIENCE):
                assert await reading == ANSWER_BYTES
            await until(lambda: unread.held_bytes() <= LIMIT)
            running.cancel()
    count = disconnected_callers._value.get() - before
    assert 0 < count < IDLE_CALLERS
    lines = [
        record.__dict__
        for record in caplog.records
        if record.getMessage() == "caller disconnected"
    ]
    assert 0 < len(lines) <= count
    assert all(line["request_id"].startswith("r") for line in lines)
    assert f"r{IDLE_CALLERS}" not in {line["request_id"] for line in lines}
    assert all(line["held"] > 0 and line["idle_s"] >= 1.0 for line in lines)
    largest_step = max(Counter(line["held_by_all"] for line in lines).values())
    assert largest_step <= MAX_LOGGED


async def test_nothing_is_observed_without_a_limit_of_memory() -> None:
    """Without ``limits.memory_mb``, no answer waits and no caller is disconnected."""
    observed = Event()

    def connections() -> Iterable[HttpConnection]:
        observed.set()
        return ()

    unread = UnreadAnswers(None, PlatformProtocol(), get_running_loop().time)
    unread.connections = connections
    running = create_task(unread.run())
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    for _ in range(20):
        with unread.room.reading(answer, progress(PLAIN)) as reading:
            await reading.reserve(10 * MIB)
            await sleep(0.05)
        assert not reading.has_waited
    running.cancel()
    assert not observed.is_set()


async def no_chunks() -> AsyncIterator[bytes]:
    for piece in NO_PIECES:
        yield piece


class UnreadCaller:
    """The connection of a caller that takes nothing of its answer by itself."""

    def __init__(self, held: int) -> None:
        self.held = held
        self.taken = 0
        self.written_bytes = held
        self.channel = self
        self.request: Request | None = None

    def held_bytes(self) -> int:
        return self.held

    def delivered_bytes(self) -> int:
        return self.taken

    def disconnect(self) -> None:
        self.held = 0

    def take(self, size: int) -> None:
        """Take bytes of the answer."""
        self.held -= size
        self.taken += size


class FullRoom:
    """An entry that holds its bound for callers, at a time that the test sets."""

    def __init__(self, *held: int) -> None:
        self.now = 0.0
        self.unread = UnreadAnswers(MEMORY, PlatformProtocol(), self.clock)
        self.room = self.unread.room
        self.callers = [UnreadCaller(size) for size in held or (LIMIT,)]
        self.unread.connections = lambda: self.callers  # type: ignore[assignment,return-value]

    def clock(self) -> float:
        return self.now

    def step(self, seconds: float) -> None:
        self.now += seconds
        self.unread.step(LIMIT)


def test_the_lines_of_one_step_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    """Many callers that are disconnected at once must not crowd out other lines."""
    full = FullRoom(*[LIMIT // 10] * (10 + 2 * MAX_LOGGED))
    with caplog.at_level(INFO, decisions.name):
        full.step(0.1)
        full.step(2.0)
    lines = [record.__dict__ for record in caplog.records]
    assert len(lines) == MAX_LOGGED
    assert {line["disconnected"] for line in lines} == {2 * MAX_LOGGED}
    assert full.unread.held_bytes() == LIMIT


async def test_an_answer_waits_for_room_and_a_small_one_does_not() -> None:
    full = FullRoom()
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    with full.room.reading(answer, progress(PLAIN)) as small:
        await small.reserve(1000)
        assert not small.has_waited
    with full.room.reading(answer, progress(PLAIN)) as reading:
        waiting = create_task(reading.reserve(MIB))
        await until(lambda: reading.has_waited)
        full.step(0.1)
        assert full.room.waiting
        full.callers[0].take(LIMIT // 2)
        full.step(0.1)
        await waiting
        assert full.room.reserved_bytes() == MIB
    assert full.room.reserved_bytes() == 0


async def test_an_answer_is_read_on_once_another_has_ended() -> None:
    """Answers that are being read take room, too, and nobody holds any else."""
    now = get_running_loop().time
    unread = UnreadAnswers(MEMORY, PlatformProtocol(), now)
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    running = create_task(unread.run())
    with unread.room.reading(answer, progress(PLAIN)) as second:
        with unread.room.reading(answer, progress(PLAIN)) as first:
            await first.reserve(LIMIT)
            waiting = create_task(second.reserve(MIB))
            await until(lambda: second.has_waited)
            await sleep(0.3)
            assert not waiting.done()
        async with time_limit(PATIENCE):
            await waiting
    running.cancel()


async def endless_chunks() -> AsyncIterator[bytes]:
    while True:
        yield bytes(SMALL_BUFFER)
        await sleep(0)


async def test_answers_without_end_do_not_wait_for_each_other() -> None:
    """Guards against answers that each hold a part of the room to their deadlines."""
    unread = UnreadAnswers(MEMORY, PlatformProtocol(), get_running_loop().time)
    running = create_task(unread.run())

    async def read(room: AnswerRoom) -> BodyFailure:
        answer = OpenAnswer(200, {}, endless_chunks(), lambda: None)
        with room.reading(answer, progress(PLAIN)) as reading:
            return (await read_body(answer, inf, 4 * MIB, reading.reserve)).error

    async with time_limit(PATIENCE):
        failures = await gather(*(read(unread.room) for _ in range(ENDLESS_ANSWERS)))
    running.cancel()
    assert all(failure.is_too_large for failure in failures)
    assert unread.room.reserved_bytes() == 0


async def test_a_caller_that_leaves_gives_its_place_up() -> None:
    """An answer whose call has ended must not be waited for."""
    full = FullRoom()
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    with full.room.reading(answer, progress(PLAIN)) as reading:
        waiting = create_task(reading.reserve(MIB))
        await until(lambda: bool(full.room.waiting))
        waiting.cancel()
        await until(waiting.done)
        assert not full.room.waiting
        assert not full.room.has_waiting.is_set()


async def test_answers_wait_no_more_once_the_limit_is_gone() -> None:
    full = FullRoom()
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    with full.room.reading(answer, progress(PLAIN)) as reading:
        waiting = create_task(reading.reserve(MIB))
        await until(lambda: bool(full.room.waiting))
        full.unread.change_memory(None)
        async with time_limit(PATIENCE):
            await waiting


async def test_a_caller_that_reads_nothing_makes_way_for_an_answer() -> None:
    """An endpoint must not wait until the callers of its answers give up."""
    full = FullRoom()
    answer = OpenAnswer(200, {}, no_chunks(), lambda: None)
    with full.room.reading(answer, progress(PLAIN)) as reading:
        waiting = create_task(reading.reserve(MIB))
        await until(lambda: bool(full.room.waiting))
        for _ in range(12):
            full.step(0.1)
        assert full.callers[0].held == 0
        async with time_limit(PATIENCE):
            await waiting


class RecordedRelay:
    """The parts that a plain relay tells of its attempts, which it records."""

    def __init__(self, state: EndpointState, chunks: AsyncIterator[bytes]) -> None:
        answer = OpenAnswer(200, {"content-length": str(MIB)}, chunks, lambda: None)
        self.attempt: OpenAttempt | None = OpenAttempt(state, answer, ExitStack())
        self.told: list[str] = []
        self.endpoints = self.outcomes = self.dispatcher = self.protocol = self

    async def next(self, progress: object) -> OpenAttempt | None:
        attempt, self.attempt = self.attempt, None
        return attempt

    def on_end(self, *arguments: Any, ok: bool = True) -> None:
        self.told.append("end")

    def on_failure(self, *arguments: Any) -> None:
        self.told.append("failure")

    def on_broken(self, *arguments: Any) -> None:
        self.told.append("broken")

    def on_answered(self, *arguments: Any) -> None:
        self.told.append("answered")

    def caller_headers(self, headers: object) -> tuple[tuple[str, str], ...]:
        return ()


async def broken_chunks() -> AsyncIterator[bytes]:
    yield b"half"
    raise TruncatedAnswer("gone")


async def whole_chunks() -> AsyncIterator[bytes]:
    yield bytes(MIB)


@pytest.mark.parametrize(
    ("is_full", "is_whole", "told"),
    [
        (False, True, ["end", "answered", "end"]),
        (False, False, ["failure", "broken"]),
        (True, True, ["answered", "end", "end"]),
        (True, False, ["answered"]),
    ],
)
async def test_a_wait_is_no_evidence_against_an_endpoint(
    is_full: bool, is_whole: bool, told: list[str]
) -> None:
    """An endpoint that this entry does not read is neither slow, silent nor broken."""
    full = FullRoom(LIMIT if is_full else 0)
    endpoint = Endpoint("i-1", "desk", Address(HOST, 1), "a", 4, False)
    state = EndpointState(endpoint, 0.0)
    state.add_unread(CALL.request_id, UnreadCall(1, 0, 0.0, 0.0, None))
    chunks = whole_chunks() if is_whole else broken_chunks()
    relay = RecordedRelay(state, chunks)
    plain = PlainRelay(relay, relay, full.room)  # type: ignore[arg-type]
    call = progress(PLAIN)
    call.deadline = inf
    answering = create_task(plain.answer(call))
    if is_full:
        await until(lambda: bool(full.room.waiting))
        assert state.silent_for(100.0) == 0.0
        full.callers[0].take(LIMIT)
        full.step(100.0)
    async with time_limit(PATIENCE):
        answer = await answering
    assert (answer is not None) is is_whole
    assert relay.told == told
    assert state.silent_for(101.0) == (1.0 if is_full else 101.0)


async def test_events_that_are_read_and_not_sent_count_as_held() -> None:
    """A stream that nobody reads holds what its endpoint has sent at once."""
    call = progress(route(RouteKind.STREAM))

    async def events() -> AsyncIterator[bytes]:
        yield b"one"

    body = RelayedEvents(events(), call)  # type: ignore[arg-type]
    assert body.held_bytes() == 0
    call.unrelayed_bytes = 5
    call.answer = OpenAnswer(
        200, {}, no_chunks(), lambda: None, buffered_bytes=lambda: 7
    )
    assert body.held_bytes() == 12
    assert [event async for event in body] == [b"one"]
