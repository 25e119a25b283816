"""Requests whose body is whole late in the planned stop of their entry."""

from asyncio import create_task, gather, open_connection, sleep, timeout
from signal import SIGTERM

import pytest

from tests.lib.platform_engine import EVENTS, WHOLE_ANSWER, WHOLE_STREAM
from tests.lib.platform_fleet import HOST, KEY, Fleet
from tests.lib.processes import LOCALHOST

PATHS = ("/once/x", "/safe/x", "/stream-once/x", "/stream/x")
BODY = b"b" * 20_000
LATE_SECONDS = 3.2
"""Seconds from the order to stop to the rest of a body; the grace time is 5 s."""

LONG_SECONDS = 2.4
"""Seconds that an engine takes, more than is left then."""

SHORT_SECONDS = 0.2
KNOWN_CALLS = 12
ANSWER_SECONDS = 10.0


def head(path: str, request_id: str) -> bytes:
    """Return the head of a request whose caller has four seconds."""
    fields = (
        f"host: {HOST}",
        f"authorization: Bearer {KEY}",
        f"x-request-id: {request_id}",
        "x-deadline-ms: 4000",
        "x-token-usage: 100,24",
        f"content-length: {len(BODY)}",
    )
    return "\r\n".join((f"POST {path} HTTP/1.1", *fields, "", "")).encode()


async def send_slowly(fleet: Fleet, path: str, request_id: str, pause: float) -> bytes:
    """Send a half of a request, and after a pause the rest; return the answer."""
    reader, writer = await open_connection(LOCALHOST, fleet.entries[0].port)
    half = len(BODY) // 2
    writer.write(head(path, request_id) + BODY[:half])
    await sleep(pause)
    writer.write(BODY[half:])
    async with timeout(ANSWER_SECONDS):
        data = await reader.read()
    writer.close()
    return data


async def stop_beside(fleet: Fleet, pause: float) -> dict[str, bytes]:
    """Stop the entry while requests arrive; return their answers by path."""
    sending = {
        path: create_task(send_slowly(fleet, path, f"late{path}", pause))
        for path in PATHS
    }
    await sleep(0.1)
    fleet.entries[0].process.send_signal(SIGTERM)
    return dict(zip(sending, await gather(*sending.values()), strict=True))


def status_of(answer: bytes) -> int:
    """Return the status of an answer, 0 without one."""
    return int(answer.split(maxsplit=2)[1]) if answer else 0


def set_seconds(fleet: Fleet, seconds: float) -> None:
    """Let engines take so long for each call."""
    for engine in fleet.engines:
        engine.work_seconds = seconds
        engine.pause = seconds / EVENTS


async def test_a_call_that_cannot_end_in_time_is_refused_unrun(fleet: Fleet) -> None:
    """Guards against calls taken late in a stop, and cut as the grace time ends.

    The promise that a call has not run is true as long as it is not passed on.
    """
    await fleet.start(entries=2)
    set_seconds(fleet, LONG_SECONDS)
    answers = await stop_beside(fleet, LATE_SECONDS)
    assert {path: status_of(answers[path]) for path in PATHS} == dict.fromkeys(
        PATHS, 503
    )
    assert not any(fleet.runs(f"late{path}") for path in PATHS)
    assert all(b"connection: close" in answer for answer in answers.values())
    assert all(b"retry-after: 0.000" in answer for answer in answers.values())


@pytest.mark.parametrize("pause", [0.3, LATE_SECONDS])
async def test_a_call_of_a_route_that_is_fast_is_served_late(
    fleet: Fleet, pause: float
) -> None:
    """Guards against refusals of calls that usually end in the time that is left."""
    await fleet.start(entries=2)
    set_seconds(fleet, SHORT_SECONDS)
    await gather(*(fleet.call(path) for path in PATHS for _ in range(KNOWN_CALLS)))
    answers = await stop_beside(fleet, pause)
    assert {path: status_of(answers[path]) for path in PATHS} == dict.fromkeys(
        PATHS, 200
    )
    assert all(WHOLE_ANSWER in answers[path] for path in PATHS[:2])
    last = WHOLE_STREAM.split(b"\n\n")[-2]
    assert all(last in answers[path] for path in PATHS[2:])
