"""Size and time limits on the responses of endpoints."""

from asyncio import get_running_loop, sleep
from collections.abc import AsyncIterator

from clementinebend_relay.bodies import read_body
from clementinebend_relay.events import MAX_EVENT_BYTES, EventSplitter
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer


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
    assert recorder.is_closed


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


def distant_deadline() -> float:
    """Return a deadline that does not expire during a test."""
    return get_running_loop().time() + 10
