"""An endpoint's own 500 and 504 are answers to requests that it has run."""

from asyncio import gather

import pytest

from tests.lib.platform_fleet import ROUTES, Fleet, route
from tests.lib.waiting import until

CALLS = 24
ENGINES = 3
MAX_ATTEMPTS = 3
TIMEOUT_MS = 400
NOT_RUN_STATUSES = {429, 503, 408, 421}
"""Statuses by which a client repeats a request of any kind."""

MORE_ROUTES = (
    *ROUTES,
    *(
        route(
            f"/{path}/", kind, service, max_attempts=MAX_ATTEMPTS, timeout_ms=TIMEOUT_MS
        )
        for path, kind, service in (
            ("once-more", "unsafe", "desk"),
            ("novel-more", "novel", "desk"),
        )
    ),
)


async def start(fleet: Fleet) -> None:
    """Start an entry with routes of up to three attempts and a short time limit."""
    await fleet.start(engines=ENGINES)
    fleet.configure(1_000_000, MORE_ROUTES)

    async def is_configured() -> bool:
        return (await fleet.call("/novel-more/x")).ok.status == 200

    await until(is_configured)


@pytest.mark.parametrize("others", ["full", "other", "fail", "late", ""])
@pytest.mark.parametrize("fault", ["fail", "late"])
@pytest.mark.parametrize("path", ["/once-more/x", "/novel-more/x"])
async def test_a_run_that_failed_is_not_told_as_not_run(
    fleet: Fleet, path: str, fault: str, others: str
) -> None:
    """A client would repeat what must run once at most.

    The other endpoints turn requests away, fail too, or run them well.
    """
    await start(fleet)
    failing, *rest = fleet.engines_of("desk")
    failing.fault = fault
    for engine in rest:
        engine.fault = others
    names = [f"run-{number}" for number in range(CALLS)]
    outcomes = [fleet.call(path, request_id=name) for name in names]
    answers = dict(zip(names, await gather(*outcomes), strict=True))
    run = [name for name in names if fleet.runs(name)]
    assert any(failing.runs[name] for name in names)
    assert {fleet.runs(name) for name in run} == {1}
    statuses = {answers[name].ok.status for name in run}
    assert not statuses & NOT_RUN_STATUSES
    failed = {answers[name].ok.status for name in names if failing.runs[name]}
    assert failed <= {500 if fault == "fail" else 504}


@pytest.mark.parametrize("fault", ["fail", "late"])
async def test_a_stream_that_failed_is_not_told_as_not_run(
    fleet: Fleet, fault: str
) -> None:
    await start(fleet)
    for engine in fleet.engines_of("pool"):
        engine.fault = fault
    names = [f"run-{number}" for number in range(CALLS)]
    outcomes = (
        fleet.call("/stream-once/x", request_id=name, x_deadline_ms=str(TIMEOUT_MS))
        for name in names
    )
    answers = await gather(*outcomes)
    assert {fleet.runs(name) for name in names} == {1}
    assert {answer.ok.status for answer in answers} == {500 if fault == "fail" else 504}


@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES - {421}))
@pytest.mark.parametrize("path", ["/once-more/x", "/novel-more/x", "/stream-once/x"])
async def test_an_endpoint_that_fails_by_a_promise_is_not_believed(
    fleet: Fleet, path: str, status: int
) -> None:
    """Guards against callers that repeat what has run, as its endpoint failed so.

    The endpoint says nothing of the request not having run but by its status.
    """
    await start(fleet)
    for engine in fleet.engines:
        engine.fault, engine.failure_status = "fail", status
    names = [f"run-{number}" for number in range(CALLS)]
    outcomes = (fleet.call(path, request_id=name) for name in names)
    answers = await gather(*outcomes)
    assert {fleet.runs(name) for name in names} == {1}
    assert {answer.ok.status for answer in answers} == {502}
    assert not any("x-response-signature" in each.ok.headers for each in answers)


async def test_a_failed_call_that_may_be_repeated_keeps_its_status(
    fleet: Fleet,
) -> None:
    """Guards against an endpoint's failure replaced though nothing can run twice."""
    await start(fleet)
    for engine in fleet.engines:
        engine.fault, engine.failure_status = "fail", 503
    answer = await fleet.call("/safe/x")
    assert answer.ok.status == 503
    assert "x-response-signature" in answer.ok.headers
