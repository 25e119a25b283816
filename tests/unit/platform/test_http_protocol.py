"""Translation of HTTP headers and statuses in the platform adapter."""

from typing import Any

import pytest

from clementinebend_platform.http_protocol import REJECTION_STATUSES, PlatformProtocol
from clementinebend_records.token_counts import MAX_TOKENS
from clementinebend_relay.interfaces import Dispatch, InvalidRate, Notice, Verdict
from clementinebend_relay.models import Call, Endpoint, Reason, Rejection
from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_types import Request

PROTOCOL = PlatformProtocol()
ENDPOINT = Endpoint("i-1", "pool", Address("10.0.0.1", 80), "a", 4, False)
HEADERS = {
    "host": "Desk.example",
    "x-request-id": "r1",
    "x-deadline-ms": "1500",
    "x-model": "m",
    "x-token-usage": "1460,80",
    "x-prefix-hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    "authorization": "Bearer secret",
    "content-length": "2",
}


def decode_request(**changes: str | None) -> Call | Rejection:
    header_changes = {name.replace("_", "-"): value for name, value in changes.items()}
    merged = {**HEADERS, **header_changes}
    headers = {name: value for name, value in merged.items() if value is not None}
    return PROTOCOL.read_call(Request("POST", "/a/b?c", headers, b"{}"))


def valid_call(**changes: str | None) -> Call:
    outcome = decode_request(**changes)
    assert isinstance(outcome, Call)
    return outcome


def sent_headers(call: Call, **changes: Any) -> dict[str, str]:
    dispatch = Dispatch(ENDPOINT, "desk", 1.25, 2, None)._replace(**changes)
    head = PROTOCOL.endpoint_request(call, dispatch)
    return {name.decode(): value.decode() for name, value in head.headers}


def test_prompt_parts_are_fetched_only_as_dispatched() -> None:
    call = valid_call(kv_fetch="10.6.6.6:1")
    assert "kv-fetch" not in sent_headers(call)
    assert (
        sent_headers(call, fetch_from=Address("10.0.0.2", 81))["kv-fetch"]
        == "10.0.0.2:81"
    )


def test_a_call_is_decoded() -> None:
    call = valid_call()
    assert call.path == "/a/b"
    assert call.host == "desk.example"
    assert call.key == "secret"
    assert call.time_limit == 1.5
    assert call.max_total_tokens == 1540
    assert call.parts[1] == PromptPart("91bd3f06", 410)


@pytest.mark.parametrize(
    "changes",
    [
        {"x_request_id": None},
        {"x_token_usage": "many,80"},
        {"x_token_usage": "400,-1"},
        {"x_token_usage": "400,1e9"},
        {"x_token_usage": "400,1_000"},
        {"x_token_usage": "٣,80"},
        {"x_deadline_ms": "soon"},
    ],
)
def test_a_call_that_cannot_be_read_is_malformed(changes: dict[str, str]) -> None:
    outcome = decode_request(**changes)
    assert isinstance(outcome, Rejection)
    assert outcome.reason is Reason.MALFORMED


@pytest.mark.parametrize("size", [2**48, 2**64, 10**300, "1" + "0" * 4_400])
def test_a_larger_number_of_tokens_means_the_largest(size: int | str) -> None:
    """Guards against counts that no message or record can hold."""
    call = valid_call(x_token_usage=f"{size},{size}", x_prefix_hash=f"a:{size},b:7")
    assert (call.prompt_tokens, call.max_output_tokens) == (MAX_TOKENS, MAX_TOKENS)
    assert call.parts == (PromptPart("a", MAX_TOKENS), PromptPart("b", 7))
    assert sent_headers(call)["x-token-usage"] == f"{size},{size}"


def test_numbers_of_tokens_may_have_spaces_and_leading_zeros() -> None:
    call = valid_call(x_token_usage=f" 400, {'0' * 30}24 ")
    assert (call.prompt_tokens, call.max_output_tokens) == (400, 24)
    assert valid_call(x_token_usage="400").max_output_tokens == 0


def test_endpoint_gets_system_headers() -> None:
    headers = sent_headers(valid_call())
    assert headers["x-expect-instance"] == "i-1"
    assert headers["x-tenant"] == "desk"
    assert headers["x-deadline-ms"] == "1250"
    assert headers["x-token-usage"] == "1460,80"
    assert headers["x-request-id"] == "r1"
    assert "authorization" not in headers


@pytest.mark.parametrize(
    "name", ["x-tenant", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch"]
)
def test_system_headers_of_a_caller_are_dropped(name: str) -> None:
    headers = sent_headers(valid_call(**{name.replace("-", "_"): "forged"}), team=None)
    assert name not in headers


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = sent_headers(
        valid_call(connection="X-Local, keep-alive", x_local="1", te="gzip")
    )
    assert not {"connection", "x-local", "te"} & set(headers)


def test_stream_is_resumed_after_last_forwarded_event() -> None:
    call = valid_call(last_event_id="12")
    assert call.last_event == "12"
    assert sent_headers(call, resume_after="17")["last-event-id"] == "17"


SIGNED_HEADERS = {"x-request-id": "r1", "x-response-signature": "s"}


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, SIGNED_HEADERS, Verdict.SUCCESS),
        (200, {"x-request-id": "r1"}, Verdict.FOREIGN),
        (200, {**SIGNED_HEADERS, "x-request-id": "r0"}, Verdict.FOREIGN),
        (503, {"x-not-executed": "1"}, Verdict.NOT_RUN),
        (503, {}, Verdict.FAILED),
        (500, SIGNED_HEADERS, Verdict.FAILED),
        (421, {}, Verdict.WRONG_ENDPOINT),
    ],
)
def test_answers_are_classified(
    status: int, headers: dict[str, str], verdict: Verdict
) -> None:
    assert PROTOCOL.classify_response(valid_call(), status, headers) is verdict


@pytest.mark.parametrize("reason", list(Reason))
def test_each_rejection_has_a_status(reason: Reason) -> None:
    response = PROTOCOL.rejection_response(Rejection(reason, "why", 0.25), "r1")
    assert response.status == REJECTION_STATUSES[reason]
    assert ("retry-after", "0.250") in response.headers
    assert not any(name == "x-response-signature" for name, _ in response.headers)


def test_uncertain_reasons_have_no_not_run_status() -> None:
    uncertain_reasons = (Reason.MAY_HAVE_RUN, Reason.TIMEOUT_MAY_HAVE_RUN)
    assert not {REJECTION_STATUSES[reason] for reason in uncertain_reasons} & {
        408,
        421,
        429,
        503,
    }


def test_engine_notice_is_decoded() -> None:
    notice = PROTOCOL.notice
    assert notice(200, {}) == Notice()
    assert notice(200, {"server-leaving": "1"}) == Notice(is_leaving=True)
    assert notice(200, {"server-leaving": "0"}) == Notice()
    assert notice(503, {"retry-after": "2.5"}) == Notice(pause=2.5)
    assert notice(503, {"retry-after": "2", "server-leaving": "1"}) == Notice(True, 2)
    assert notice(500, {"retry-after": "2"}) == Notice()
    for value in ("-1", "0", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"):
        assert notice(503, {"retry-after": value}) == Notice()


@pytest.mark.parametrize(
    ("text", "rate"),
    [("1.8", 1.8), ("0", 0.0), (" 0.20 ", 0.2), ("1000000", 1e6), ("00.5", 0.5)],
)
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_a_request_limit_is_decoded_from_any_answer(
    text: str, rate: float, status: int
) -> None:
    assert PROTOCOL.notice(status, {"server-limit": text}).max_rate == rate


@pytest.mark.parametrize(
    "text",
    ["", "soon", "nan", "inf", "-1", "+1", "1e3", "1_0", "1.8, 1.8", "٣", "1" * 400],
)
def test_a_request_limit_that_is_no_decimal_number_is_invalid(text: str) -> None:
    assert isinstance(
        PROTOCOL.notice(200, {"server-limit": text}).max_rate, InvalidRate
    )
