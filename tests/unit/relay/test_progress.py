"""The cost of a call, and the reason reported to its caller if it fails."""

import pytest

from clementinebend_relay.models import Reason, RouteKind
from clementinebend_relay.progress import CallProgress
from tests.unit.relay import calls
from tests.unit.relay.calls import CALL


def progress(kind: RouteKind = RouteKind.STREAM) -> CallProgress:
    return calls.progress(calls.route(kind))


def test_a_call_of_which_nothing_was_delivered_costs_nothing() -> None:
    call_progress = progress()
    call_progress.may_have_run = True
    assert call_progress.usage().tokens == 0


@pytest.mark.parametrize(("events", "tokens"), [(1, 103), (4, 112), (50, 130)])
def test_a_stream_costs_its_prompt_and_its_events(events: int, tokens: int) -> None:
    call_progress = progress()
    call_progress.may_have_run = True
    call_progress.events = events
    assert call_progress.usage().tokens == tokens


def test_a_whole_answer_without_events_costs_the_most() -> None:
    call_progress = progress(RouteKind.IDEMPOTENT)
    call_progress.is_whole = True
    assert call_progress.usage().tokens == CALL.max_total_tokens


@pytest.mark.parametrize(
    ("may_have_run", "attempts", "now", "reason"),
    [
        (False, 0, 1.0, Reason.NO_ENDPOINT),
        (False, 1, 1.0, Reason.NOT_RUN),
        (False, 1, 10.0, Reason.TIMEOUT_NOT_RUN),
        (True, 1, 1.0, Reason.MAY_HAVE_RUN),
        (True, 1, 10.0, Reason.TIMEOUT_MAY_HAVE_RUN),
    ],
)
def test_only_a_call_that_cannot_have_run_is_reported_as_not_run(
    may_have_run: bool, attempts: int, now: float, reason: Reason
) -> None:
    call_progress = progress()
    call_progress.may_have_run = may_have_run
    call_progress.attempts = attempts
    rejection = call_progress.rejection(now)
    assert rejection.reason is reason
    assert (rejection.retry_after is None) == may_have_run
