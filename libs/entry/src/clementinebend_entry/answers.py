"""Converts error outcomes to HTTP responses with typed JSON bodies.

The status codes follow the table in docs/DESIGN.md.
"""

from functools import singledispatch
from json import dumps
from typing import Any

from clementinebend_entry.outcomes import (
    BadRequest,
    ErrorOutcome,
    Failed,
    Refusal,
    Unknown,
)
from clementinebend_records.reasons import NotRunReason, RequestOutcome
from clementinebend_transport.http_server import Response

JSON = "application/json"
MILLISECONDS = 1000
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

_STATUS_BY_REASON = {
    NotRunReason.BUDGET_EXHAUSTED: 402,
    NotRunReason.KEY_CONFLICT: 409,
    NotRunReason.OVERLOADED: 429,
}

_MESSAGE_BY_REASON = {
    NotRunReason.BUDGET_EXHAUSTED: "the budget cannot cover this request; top it up",
    NotRunReason.BUDGET_UNAVAILABLE: "no share of the budget could be had in time",
    NotRunReason.LEAVING: "the endpoint is leaving",
    NotRunReason.OVERLOADED: "too many requests are waiting",
    NotRunReason.DEADLINE: "the deadline cannot be met",
    NotRunReason.NO_ENDPOINT: "no endpoint of the service can be reached",
    NotRunReason.HOLDER_CLOSED: "the reservation is no longer valid",
    NotRunReason.WRONG_INCARNATION: "the endpoint has restarted",
    NotRunReason.UNKNOWN_KEY: "no run of this idempotency key is known",
    NotRunReason.KEY_CONFLICT: "the idempotency key belongs to another request",
    NotRunReason.LOG_UNAVAILABLE: "the platform's log cannot be reached",
    NotRunReason.NOT_READY: "this entry is starting or stopping",
    NotRunReason.UNREACHABLE: "the endpoint cannot be reached",
    NotRunReason.CANCELLED: "the request was cancelled",
}


def retry_after_seconds(retry_after_ms: int) -> int:
    """Return the ``Retry-After`` value: seconds rounded up, at least 1."""
    return max(1, -(-retry_after_ms // MILLISECONDS))


@singledispatch
def error_body(outcome: Any) -> dict[str, Any]:
    """Return the value of ``error`` in the JSON body for an outcome."""
    raise TypeError(f"no error body for {outcome!r}")


@error_body.register
def _(outcome: BadRequest) -> dict[str, Any]:
    return {
        "type": "bad_request",
        "field": outcome.field,
        "message": outcome.message,
    }


@error_body.register
def _(outcome: Refusal) -> dict[str, Any]:
    return {
        "type": str(RequestOutcome.NOT_RUN),
        "reason": str(outcome.reason),
        "message": outcome.message or _MESSAGE_BY_REASON[outcome.reason],
        "retry_after_ms": outcome.retry_after_ms,
    }


@error_body.register
def _(outcome: Failed) -> dict[str, Any]:
    return {"type": str(RequestOutcome.FAILED), "message": outcome.message}


@error_body.register
def _(outcome: Unknown) -> dict[str, Any]:
    return {"type": str(RequestOutcome.UNKNOWN), "message": outcome.message}


@singledispatch
def error_status(outcome: Any) -> int:
    """Return the HTTP status for an outcome."""
    raise TypeError(f"no status for {outcome!r}")


@error_status.register
def _(outcome: BadRequest) -> int:
    return outcome.status


@error_status.register
def _(outcome: Refusal) -> int:
    return outcome.status or _STATUS_BY_REASON.get(outcome.reason, UNAVAILABLE)


@error_status.register
def _(outcome: Failed) -> int:
    return BAD_GATEWAY


@error_status.register
def _(outcome: Unknown) -> int:
    return GATEWAY_TIMEOUT


def error_response(outcome: ErrorOutcome) -> Response:
    """Return the complete HTTP response for an error outcome."""
    headers = [("content-type", JSON)]
    if isinstance(outcome, Refusal):
        seconds = retry_after_seconds(outcome.retry_after_ms)
        headers.append(("retry-after", str(seconds)))
    body = dumps({"error": error_body(outcome)}).encode()
    return Response(error_status(outcome), tuple(headers), body)


def error_event(outcome: ErrorOutcome) -> bytes:
    """Return the server-sent event that reports why a stream was cut off."""
    return b"data: " + dumps({"error": error_body(outcome)}).encode() + b"\n\n"


def json_response(status: int, value: Any) -> Response:
    """Return a response with ``value`` as JSON."""
    return Response(status, (("content-type", JSON),), dumps(value).encode())
