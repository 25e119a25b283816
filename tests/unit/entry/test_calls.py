"""Tests of request validation before tokens are reserved."""

from typing import Any

import pytest

from clementinebend_entry.calls import Call
from clementinebend_entry.model_body import MAX_OUTPUT_LIMIT
from clementinebend_entry.outcomes import BadRequest, Refusal
from clementinebend_records.identifiers import request_key
from clementinebend_records.reasons import NotRunReason
from tests.unit.entry.builders import NOW, chat_request, parsed, request

MESSAGES = [{"role": "user", "content": "pharmacy"}]


def body(**fields: Any) -> dict[str, Any]:
    return {"model": "m1", "messages": MESSAGES, **fields}


def test_a_call_knows_who_pays_and_how_much_at_most() -> None:
    made = chat_request(body(max_tokens=7), idempotency_key="k", x_deadline_ms="2000")
    call = parsed(made)
    assert isinstance(call, Call)
    assert (call.team, call.service, call.budget) == ("desk", "chat", "desk-2026")
    assert call.amount == len(made.body) + 7
    assert call.key == request_key("desk", "k")
    assert call.deadline == NOW + 2.0
    assert call.has_idempotency_key


def test_without_a_limit_the_services_own_is_reserved() -> None:
    made = chat_request(body())
    assert parsed(made).amount == len(made.body) + 200


def test_keys_made_up_for_requests_without_one_differ() -> None:
    first, second = parsed(chat_request()), parsed(chat_request())
    assert first.key != second.key
    assert not first.has_idempotency_key


def test_the_digest_covers_method_target_and_body() -> None:
    digests = {
        parsed(made).body_digest
        for made in (
            request("POST", "/booking", b"x"),
            request("PUT", "/booking", b"x"),
            request("POST", "/booking?a=1", b"x"),
            request("POST", "/booking", b"y"),
        )
    }
    assert len(digests) == 4


@pytest.mark.parametrize(
    "value", [0, -1, True, 1.5, "9", 201, MAX_OUTPUT_LIMIT + 1, 2**80]
)
def test_a_wrong_output_limit_names_its_field(value: object) -> None:
    error_outcome = parsed(chat_request(body(max_tokens=value)))
    assert isinstance(error_outcome, BadRequest)
    assert (error_outcome.status, error_outcome.field) == (400, "max_tokens")


@pytest.mark.parametrize(
    ("content", "field"),
    [
        (b"\xff{}", "body"),
        (b"{", "body"),
        (b"[]", "body"),
        (b"[" * 100_000, "body"),
        ({"messages": MESSAGES}, "model"),
        (body(model=3), "model"),
        (body(stream="yes"), "stream"),
        (body(messages="hello"), "messages"),
        (body(messages=[]), "messages"),
        (body(n=2), "n"),
        (body(best_of=3), "best_of"),
    ],
)
def test_a_wrong_body_names_its_field(content: Any, field: str) -> None:
    error_outcome = parsed(chat_request(content))
    assert isinstance(error_outcome, BadRequest)
    assert (error_outcome.status, error_outcome.field) == (400, field)


@pytest.mark.parametrize(
    ("headers", "field"),
    [
        ({"x_deadline_ms": "soon"}, "x-deadline-ms"),
        ({"x_deadline_ms": "0"}, "x-deadline-ms"),
        ({"x_deadline_ms": "-5"}, "x-deadline-ms"),
        ({"x_deadline_ms": "²"}, "x-deadline-ms"),
        ({"x_priority": "10"}, "x-priority"),
        ({"x_priority": "high"}, "x-priority"),
        ({"x_budget": "rival-2026"}, "x-budget"),
        ({"idempotency_key": "k" * 256}, "idempotency-key"),
    ],
)
def test_a_wrong_header_is_named(headers: dict[str, str], field: str) -> None:
    error_outcome = parsed(chat_request(**headers))
    assert isinstance(error_outcome, BadRequest)
    assert (error_outcome.status, error_outcome.field) == (400, field)


def test_a_missing_or_unknown_key_is_unauthorized() -> None:
    unknown = parsed(chat_request(key="nobody"))
    missing = parsed(chat_request(authorization="Basic x"))
    assert unknown.status == missing.status == 401


def test_routing_rules_decide_the_service() -> None:
    assert parsed(chat_request(body(model="other"))).status == 404
    assert parsed(chat_request(body(model="secret"))).status == 404
    refusal = parsed(chat_request(key="rival-key"))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is NotRunReason.BUDGET_EXHAUSTED
    assert "chat-rival" in refusal.message


def test_the_longest_path_decides_the_plain_service() -> None:
    assert parsed(request("POST", "/booking/17?day=2")).service == "booking"
    assert parsed(request("GET", "/bookings")).status == 404
    refusal = parsed(request("GET", "/booking/quota"))
    assert "quota" in refusal.message


def test_calls_are_idempotent_by_method_and_models_always() -> None:
    assert parsed(chat_request()).idempotent
    assert parsed(request("GET", "/booking")).idempotent
    booking = parsed(request("POST", "/booking", b"x"))
    assert not booking.idempotent
    assert booking.amount == 50


def test_a_requested_budget_is_used() -> None:
    assert parsed(chat_request(x_budget="desk-extra")).budget == "desk-extra"
