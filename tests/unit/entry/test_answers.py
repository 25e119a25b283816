"""Tests of the HTTP responses for error outcomes."""

from json import loads

import pytest

from clementinebend_entry.answers import (
    error_event,
    error_response,
    retry_after_seconds,
)
from clementinebend_entry.outcomes import (
    BadRequest,
    ErrorOutcome,
    Failed,
    Refusal,
    Unknown,
)
from clementinebend_records.reasons import NotRunReason


@pytest.mark.parametrize(
    ("outcome", "status", "kind"),
    [
        (BadRequest(413, "body", "is too large"), 413, "bad_request"),
        (Refusal(NotRunReason.BUDGET_EXHAUSTED, 60_000), 402, "not_run"),
        (Refusal(NotRunReason.BUDGET_UNAVAILABLE, 2000), 503, "not_run"),
        (Refusal(NotRunReason.BUDGET_UNAVAILABLE, 1000, "busy", 429), 429, "not_run"),
        (Refusal(NotRunReason.KEY_CONFLICT, 0), 409, "not_run"),
        (Refusal(NotRunReason.OVERLOADED, 10), 429, "not_run"),
        (Failed("engine died"), 502, "ran_and_failed"),
        (Unknown("lost"), 504, "outcome_unknown"),
    ],
)
def test_outcomes_differ_by_status_and_type(
    outcome: ErrorOutcome, status: int, kind: str
) -> None:
    response = error_response(outcome)
    assert isinstance(response.body, bytes)
    assert response.status == status
    assert loads(response.body)["error"]["type"] == kind
    assert ("retry-after" in dict(response.headers)) == isinstance(outcome, Refusal)


@pytest.mark.parametrize("reason", NotRunReason)
def test_every_refusal_says_why_and_when_to_come_back(reason: NotRunReason) -> None:
    response = error_response(Refusal(reason, 1500))
    assert isinstance(response.body, bytes)
    error = loads(response.body)["error"]
    assert error["reason"] == reason
    assert error["message"]
    assert dict(response.headers)["retry-after"] == "2"


def test_retry_after_is_rounded_up() -> None:
    assert [retry_after_seconds(ms) for ms in (0, 1, 1000, 1001)] == [1, 1, 1, 2]


def test_the_last_event_of_a_broken_stream_is_no_end_marker() -> None:
    event = error_event(Unknown("lost"))
    assert loads(event.removeprefix(b"data: "))["error"]["type"] == "outcome_unknown"
    assert b"[DONE]" not in event
