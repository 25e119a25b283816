"""Size and time limits on the responses of endpoints."""

from asyncio import get_running_loop, sleep
from collections.abc import AsyncIterator
from itertools import count
from time import process_time

import pytest

from clementinebend_relay.bodies import (
    FAILURE_BODY_SECONDS,
    MAX_BODY_CHUNKS,
    read_body,
)
from clementinebend_relay.events import (
    MAX_EMPTY_EVENTS,
    MAX_EVENT_BYTES,
    MAX_EVENT_CHUNKS,
    MAX_EVENT_READS,
    EventSplitter,
    is_next_event,
)
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer

SMALL_PIECE = 64
"""Bytes of the pieces in which an event without end arrives."""

SPLIT_SECONDS = 1.0
"""Processor time within which such an event has been found to be too large; a search
of all its bytes with each piece takes ten times as long."""


class CloseRecorder:
    """Records whether a response was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def __call__(self) -> None:
        self.is_closed = True


async def yield_chunks(*parts: bytes) -> AsyncIterator[bytes]:
    """Yield the chunks of a body."""
    for part in parts:
        yield part


async def truncated_chunks() -> AsyncIterator[bytes]:
    """Yield a chunk, then fail like a lost connection."""
    yield b"half"
    raise TruncatedAnswer("gone")


async def stalled_chunks() -> AsyncIterator[bytes]:
    """Yield a chunk, then stall."""
    yield b"half"
    await sleep(60)


async def endless_chunks() -> AsyncIterator[bytes]:
    """Yield small chunks without end and without a pause."""
    while True:
        yield b"x"


async def trickling_chunks() -> AsyncIterator[bytes]:
    """Yield small chunks without end."""
    while True:
        yield b"x"
        await sleep(0.01)


def answer(chunks: AsyncIterator[bytes], on_close: CloseRecorder) -> OpenAnswer:
    """Return an open response with a body."""
    return OpenAnswer(200, {}, chunks, on_close)


async def test_a_body_is_read_up_to_its_bound() -> None:
    recorder = CloseRecorder()
    body = await read_body(
        answer(yield_chunks(b"ab", b"cd"), recorder), distant_deadline(), 4
    )
    assert body.ok == b"abcd"
    assert not recorder.is_closed


async def test_a_body_above_its_bound_is_refused_and_closed() -> None:
    recorder = CloseRecorder()
    body = await read_body(
        answer(yield_chunks(b"ab", b"cde"), recorder), distant_deadline(), 4
    )
    assert "larger than 4 bytes" in body.error.problem
    assert not body.error.broke_off
    assert body.error.is_proof
    assert recorder.is_closed


async def test_a_body_of_too_many_chunks_is_refused_and_closed() -> None:
    """Guards against small chunks that take much processor time for few bytes."""
    recorder, read = CloseRecorder(), count(1)
    endless = answer(endless_chunks(), recorder)
    counted = endless._replace(chunk_count=lambda: next(read))
    body = await read_body(counted, distant_deadline(), 2 * MAX_BODY_CHUNKS)
    assert "chunks" in body.error.problem
    assert body.error.is_proof
    assert recorder.is_closed


async def test_a_body_that_is_announced_above_its_bound_is_not_read() -> None:
    recorder = CloseRecorder()
    announced = answer(stalled_chunks(), recorder)._replace(
        headers={"content-length": "5"}
    )
    body = await read_body(announced, get_running_loop().time() + 60, 4)
    assert "5 bytes" in body.error.problem
    assert recorder.is_closed


@pytest.mark.parametrize("status", [429, 500, 503])
@pytest.mark.parametrize("share", [0.1, 1.0])
async def test_a_refusal_whose_body_has_no_end_is_left_early(
    status: int, share: float
) -> None:
    """Guards against a refusal that holds its call until the time limit."""
    recorder = CloseRecorder()
    time = get_running_loop().time
    began, limit = time(), 4 * FAILURE_BODY_SECONDS * share
    refusal = answer(trickling_chunks(), recorder)._replace(status=status)
    body = await read_body(refusal, began + limit, 100_000)
    assert "time limit" in body.error.problem
    assert not body.error.is_proof
    assert recorder.is_closed
    assert time() - began < min(0.75 * limit, 2 * FAILURE_BODY_SECONDS)


async def test_a_body_that_breaks_off_or_is_late_is_closed() -> None:
    cases = (
        (truncated_chunks(), distant_deadline(), True),
        (stalled_chunks(), distant_deadline() - 9.99, False),
    )
    for chunks, deadline, broke_off in cases:
        recorder = CloseRecorder()
        body = await read_body(answer(chunks, recorder), deadline, 100)
        assert body.error.broke_off is broke_off
        assert recorder.is_closed


def test_an_event_that_does_not_end_is_too_large() -> None:
    splitter = EventSplitter()
    splitter.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
    assert splitter.is_too_large()
    splitter.feed(b"\n\n")
    assert not splitter.is_too_large()


def test_an_event_without_end_in_small_pieces_is_searched_once() -> None:
    """Guards against a search of the whole event with each piece of it."""
    splitter = EventSplitter()
    began = process_time()
    while not splitter.is_too_large():
        splitter.feed(b"x" * SMALL_PIECE)
    assert process_time() - began < SPLIT_SECONDS


def test_an_event_without_end_is_too_large_after_some_reads() -> None:
    """Guards against small chunks that take much processor time for few bytes."""
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_READS):
        splitter.feed(b"x")
    assert not splitter.is_too_large()
    splitter.feed(b"x")
    assert splitter.is_too_large()


def test_an_event_of_many_chunks_is_too_large_after_few_reads() -> None:
    """Guards against small chunks that are joined before they are counted."""
    splitter = EventSplitter()
    splitter.feed(b"x" * MAX_EVENT_CHUNKS, MAX_EVENT_CHUNKS)
    assert not splitter.is_too_large()
    splitter.feed(b"x")
    assert splitter.is_too_large()


def test_chunks_of_completed_events_do_not_count() -> None:
    splitter = EventSplitter()
    for _ in range(3):
        assert splitter.feed(b"id: 1\ndata: x\n\n", MAX_EVENT_CHUNKS)
    assert not splitter.is_too_large()


def test_events_that_each_take_several_reads_are_passed_on() -> None:
    splitter = EventSplitter()
    pieces = (b"id: 1\n", b"data: x", b"\n\n") * MAX_EVENT_READS
    assert sum(len(splitter.feed(piece)) for piece in pieces) == MAX_EVENT_READS
    assert not splitter.is_too_large()


@pytest.mark.parametrize("size", range(1, 12))
def test_events_are_split_alike_however_their_bytes_arrive(size: int) -> None:
    data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\r\nid: 4\r\n\nid"
    splitter = EventSplitter()
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert events == EventSplitter().feed(data)
    assert [event.event_id for event in events] == ["1", "2", "3", "4"]
    assert splitter.rest == b"id"


@pytest.mark.parametrize("event", [b"\n\n", b": comment\n\n", b"id: x\n\n"])
def test_empty_events_that_come_without_end_are_too_large(event: bytes) -> None:
    splitter = EventSplitter()
    assert len(splitter.feed(event * MAX_EMPTY_EVENTS)) == MAX_EMPTY_EVENTS
    assert not splitter.is_too_large()
    assert len(splitter.feed(event * MAX_EMPTY_EVENTS)) == 1
    assert splitter.is_too_large()


def test_empty_events_between_others_are_passed_on() -> None:
    splitter = EventSplitter()
    for number in range(2 * MAX_EMPTY_EVENTS):
        assert len(splitter.feed(b": comment\n\nid: %d\n\n" % number)) == 2
    assert not splitter.is_too_large()


def test_a_long_stream_without_numbers_is_passed_on() -> None:
    """Guards against a bound that cuts streams whose events have no numbers."""
    splitter = EventSplitter()
    count = 4 * MAX_EMPTY_EVENTS
    assert len(splitter.feed(b"data: x\n\n" * count)) == count
    assert not splitter.is_too_large()


def test_an_event_whose_number_has_no_end_is_not_the_next_one() -> None:
    """Guards against a conversion that raises for numbers of so many digits."""
    assert not is_next_event("1" * 5000, "1")
    assert not is_next_event("2", "1" * 5000)


def distant_deadline() -> float:
    """Return a deadline that does not expire during a test."""
    return get_running_loop().time() + 10
