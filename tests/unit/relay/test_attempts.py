"""Which endpoints count as attempts of a call, and when the attempts end."""

from asyncio import get_running_loop
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import contextmanager
from itertools import repeat
from types import SimpleNamespace
from typing import Any

import pytest

from clementinebend_relay.admission import Admitted
from clementinebend_relay.attempts import MAX_MISSING_ENDPOINTS, Attempts
from clementinebend_relay.dispatch import NotSent, ResponseStarted
from clementinebend_relay.endpoint_state import UnreadCall
from clementinebend_relay.interfaces import Verdict
from clementinebend_relay.models import Reason, RouteKind
from clementinebend_relay.planned_stop import PlannedStop
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.quarantine.waits import REPORT_WAIT
from clementinebend_relay.survey import Placement, Survey
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.http_client import OpenAnswer
from tests.unit.relay import calls
from tests.unit.relay.calls import CALL

UNREAD = UnreadCall(1, 100, 0.0, 0.0, None)


class FakeDispatcher:
    """Returns the given outcomes in turn; None stands for a failed connection."""

    def __init__(self, outcomes: list[Verdict | None]) -> None:
        self.outcomes = outcomes
        self.endpoints = SimpleNamespace(drop=lambda *args: None)
        self.retries = 0

    def may_retry(self, service: str) -> bool:
        self.retries += 1
        return True

    async def survey(self, admitted: Admitted, tried: Collection[str]) -> Survey:
        endpoint = SimpleNamespace(name=f"e{len(tried)}", software_version="v1")
        state = SimpleNamespace(endpoint=endpoint, unread={CALL.request_id: UNREAD})
        return Survey(0.0, Placement(state, 0, 100, None), None)  # type: ignore[arg-type]

    def is_usable(self, survey: Survey) -> bool:
        return True

    async def has_permit(self, admitted: Admitted, state: Any) -> bool:
        return True

    @contextmanager
    def in_flight(self, admitted: Admitted, placement: Placement) -> Iterator[None]:
        yield

    async def open(self, admitted: Admitted, state: Any, *times: Any) -> Any:
        outcome = self.outcomes.pop(0)
        if outcome is None:
            return NotSent("connection refused")
        answer = SimpleNamespace(status=200, close=lambda: None)
        return ResponseStarted(state, answer, outcome)  # type: ignore[arg-type]


class RefusingDispatcher(FakeDispatcher):
    """Returns refusals with a body; ``failures`` tells which endpoints have failed."""

    def __init__(self, pieces: int | None) -> None:
        super().__init__([])
        self.pieces = pieces
        self.failures: list[tuple[str, bool]] = []
        self.endpoints.on_failure = self.on_failure

    def on_failure(self, state: Any, is_proof: bool) -> None:
        self.failures.append((state.endpoint.name, is_proof))

    async def body(self) -> AsyncIterator[bytes]:
        endless = repeat(b"x" * 1024)
        for piece in endless if self.pieces is None else repeat(b"x", self.pieces):
            yield piece

    async def open(self, admitted: Admitted, state: Any, *times: Any) -> Any:
        answer = OpenAnswer(503, {}, self.body(), lambda: None)
        return ResponseStarted(state, answer, Verdict.NOT_RUN)


def progress(max_attempts: int) -> CallProgress:
    return calls.progress(calls.route(RouteKind.ONCE, max_attempts, False))


def attempts(dispatcher: FakeDispatcher) -> Attempts:
    quarantine = Quarantine(lambda: 0.0)
    news = SimpleNamespace(quarantine=quarantine, on_sound=lambda fingerprint: None)
    return Attempts(dispatcher, news, PlannedStop(lambda: 0.0), lambda: 0.0)  # type: ignore[arg-type]


async def test_an_ended_endpoint_does_not_count_as_attempt() -> None:
    dispatcher = FakeDispatcher([Verdict.WRONG_ENDPOINT, None, Verdict.SUCCESS])
    call_progress = progress(max_attempts=1)
    assert await attempts(dispatcher).next(call_progress) is not None
    assert call_progress.attempts == 1
    assert call_progress.tried == ["e0", "e1", "e2"]


async def test_a_call_sent_to_an_ended_endpoint_uses_the_retry_budget() -> None:
    dispatcher = FakeDispatcher([None, Verdict.WRONG_ENDPOINT, Verdict.SUCCESS])
    assert await attempts(dispatcher).next(progress(max_attempts=1)) is not None
    assert dispatcher.retries == 1


async def test_a_call_is_abandoned_after_too_many_missing_endpoints() -> None:
    outcomes: list[Verdict | None] = [Verdict.WRONG_ENDPOINT] * (
        MAX_MISSING_ENDPOINTS + 1
    )
    dispatcher = FakeDispatcher(outcomes)
    call_progress = progress(max_attempts=2)
    assert await attempts(dispatcher).next(call_progress) is None
    assert len(call_progress.tried) == MAX_MISSING_ENDPOINTS
    assert not call_progress.may_have_run


def stopping(dispatcher: FakeDispatcher) -> Attempts:
    """Return attempts of an entry whose planned stop ends now."""
    sender = attempts(dispatcher)
    sender.planned_stop.ends_at = 0.0
    return sender


async def test_a_call_that_has_waited_into_the_end_of_a_stop_is_not_sent() -> None:
    """Guards against a call that waits in a queue and is then cut at an endpoint."""
    dispatcher = FakeDispatcher([Verdict.SUCCESS])
    call_progress = progress(max_attempts=2)
    assert await stopping(dispatcher).next(call_progress) is None
    assert not call_progress.tried
    assert call_progress.rejection(0.0).reason is Reason.STOPPING


async def test_a_call_that_may_have_run_is_sent_again_in_a_stop() -> None:
    """Nothing can be promised of it any more, and another attempt may succeed."""
    dispatcher = FakeDispatcher([Verdict.SUCCESS])
    call_progress = calls.progress(calls.route(RouteKind.STREAM))
    call_progress.may_have_run = True
    assert await stopping(dispatcher).next(call_progress) is not None


async def test_a_call_waits_for_the_report_of_an_end_if_its_endpoint_is_gone() -> None:
    """Guards against an endpoint more for each entry that missed the report."""
    clock = get_running_loop().time
    quarantine = Quarantine(clock)
    news = SimpleNamespace(quarantine=quarantine, on_sound=lambda fingerprint: None)
    dispatcher = FakeDispatcher([None, Verdict.SUCCESS])
    sender = Attempts(dispatcher, news, PlannedStop(clock), clock)  # type: ignore[arg-type]
    call_progress = progress(max_attempts=1)
    call_progress.deadline = clock() + 4.0
    fingerprint = call_progress.admitted.fingerprint
    run = FatalRun("gone/", clock() - 0.2, clock() - 0.1)
    quarantine.on_run_ended(fingerprint, run)
    before = clock()
    assert await sender.next(call_progress) is not None
    assert clock() - before >= REPORT_WAIT


async def test_a_call_without_evidence_goes_on_at_once_if_its_endpoint_is_gone() -> (
    None
):
    """Guards against a delay of each call that meets an ended endpoint."""
    clock = get_running_loop().time
    quarantine = Quarantine(clock)
    quarantine.turns.on_unreachable("a")
    before = clock()
    assert await quarantine.wait_for_turn("a", before + 4.0) is None
    assert clock() - before < REPORT_WAIT


@pytest.mark.parametrize(("pieces", "failures"), [(None, [("e0", True)]), (3, [])])
async def test_a_refusal_without_end_is_a_failure_of_its_endpoint(
    pieces: int | None, failures: list[tuple[str, bool]]
) -> None:
    """Guards against calls that go on to an endpoint which only sends bytes."""
    clock = get_running_loop().time
    dispatcher = RefusingDispatcher(pieces)
    news = SimpleNamespace(quarantine=Quarantine(clock))
    sender = Attempts(dispatcher, news, PlannedStop(clock), clock)  # type: ignore[arg-type]
    call_progress = progress(max_attempts=1)
    call_progress.deadline = clock() + 4.0
    assert await sender.next(call_progress) is None
    assert dispatcher.failures == failures
    assert not call_progress.may_have_run


class TimingDispatcher(FakeDispatcher):
    """Records until when the head of a response is waited for."""

    def __init__(self, others: int, has_budget: bool) -> None:
        super().__init__([Verdict.SUCCESS])
        names = [f"e{number}" for number in range(1 + others)]
        states = [
            SimpleNamespace(endpoint=SimpleNamespace(name=name)) for name in names
        ]
        self.endpoints.candidates = lambda service: states
        self.has_budget = has_budget
        self.head_deadline = 0.0

    def has_retry(self, service: str) -> bool:
        return self.has_budget

    async def open(self, admitted: Admitted, state: Any, *times: Any) -> Any:
        self.head_deadline = times[1]
        return await super().open(admitted, state, *times)


@pytest.mark.parametrize(
    ("others", "has_budget", "head_deadline"),
    [(1, True, 5.0), (0, True, 10.0), (1, False, 10.0)],
    ids=["alternative", "no other endpoint", "no retry budget"],
)
async def test_a_call_that_cannot_be_sent_elsewhere_waits_for_its_endpoint(
    others: int, has_budget: bool, head_deadline: float
) -> None:
    """Guards against silent endpoints that are given up for nothing."""
    dispatcher = TimingDispatcher(others, has_budget)
    call_progress = calls.progress(calls.route(RouteKind.IDEMPOTENT, 2))
    assert await attempts(dispatcher).next(call_progress) is not None
    assert dispatcher.head_deadline == head_deadline
