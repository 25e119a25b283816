"""When an endpoint counts as silent, in scripted time."""

from collections.abc import AsyncIterator
from contextlib import ExitStack

import pytest

from clementinebend_relay.attempts import OpenAttempt
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.event_reader import (
    LATE_CHECK_SECONDS,
    MAX_LATE_READS,
    EventReader,
)
from clementinebend_relay.models import Endpoint
from clementinebend_routing.silence import SILENT_SECONDS
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import OpenAnswer

HEARD_AT = 5.0
DUE = HEARD_AT + SILENT_SECONDS + 0.2


async def pieces(*parts: bytes) -> AsyncIterator[bytes]:
    """Yield the pieces of a body."""
    for part in parts:
        yield part


async def nothing() -> AsyncIterator[bytes]:
    """Yield no byte."""
    yield b""


def reader(now: float, buffered: int = 0, is_overloaded: bool = False) -> EventReader:
    """Return the reader of a response whose endpoint was heard at ``HEARD_AT``."""
    endpoint = Endpoint("e", "pool", Address("10.9.0.1", 80), "a", 4, False)
    state = EndpointState(endpoint, HEARD_AT, lambda: is_overloaded)
    answer = OpenAnswer(
        200, {}, nothing(), lambda: None, buffered_bytes=lambda: buffered
    )
    return EventReader(OpenAttempt(state, answer, ExitStack()), lambda: now)


def test_an_endpoint_without_bytes_is_silent() -> None:
    assert reader(DUE).is_silent(DUE)


def test_a_late_check_is_no_proof_of_silence() -> None:
    """Guards against endpoints that are left as this entry's event loop is late."""
    assert not reader(DUE + 2 * LATE_CHECK_SECONDS).is_silent(DUE)


def test_bytes_that_are_buffered_are_no_silence() -> None:
    """Guards against endpoints that are left with their bytes unread."""
    assert not reader(DUE, buffered=1).is_silent(DUE)


def test_an_overloaded_entry_proves_no_silence() -> None:
    assert not reader(DUE, is_overloaded=True).is_silent(DUE)


@pytest.mark.parametrize("heard_ago", [0.1, SILENT_SECONDS])
def test_an_endpoint_that_was_heard_lately_is_not_silent(heard_ago: float) -> None:
    now = HEARD_AT + heard_ago
    assert not reader(now).is_silent(now)


async def test_the_chunks_of_each_read_are_counted_once() -> None:
    """Guards against many small chunks in few reads."""
    counted = reader(HEARD_AT)
    totals = iter((32, 40))
    counted.running = counted.running._replace(
        answer=counted.running.answer._replace(
            chunks=pieces(b"data: a", b"b"), chunk_count=lambda: next(totals)
        )
    )
    for chunks in (32, 40):
        assert await counted.read(HEARD_AT) == []
        assert counted.splitter.chunks == chunks


def test_a_sender_that_always_has_more_extends_no_deadline() -> None:
    late = reader(DUE)
    assert all(late.may_read_until(DUE - 1.0) for _ in range(MAX_LATE_READS))
    assert not late.may_read_until(DUE - 1.0)
    assert late.may_read_until(DUE + 1.0)
