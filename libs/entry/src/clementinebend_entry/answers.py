"""What a caller is told: outcomes as HTTP responses with typed JSON bodies.

The statuses are those of the table in docs/DESIGN.md.
"""

from functools import singledispatch
from json import dumps
from typing import Any

from clementinebend_entry.outcomes import (
    BadRequest,
    Failed,
    Refusal,
    Trouble,
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

_TEXT_BY_REASON = {
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
    """Return whole seconds for the ``Retry-After`` header; at least 1."""
    return max(1, -(-retry_after_ms // MILLISECONDS))


@singledispatch
def error_of(trouble: Any) -> dict[str, Any]:
    """Return the value of ``error`` in the body for an outcome."""
    raise TypeError(f"no error body for {trouble!r}")


@error_of.register
def _(trouble: BadRequest) -> dict[str, Any]:
    return {
        "type": "bad_request",
        "field": trouble.field,
        "message": trouble.message,
    }


@error_of.register
def _(trouble: Refusal) -> dict[str, Any]:
    return {
        "type": str(RequestOutcome.NOT_RUN),
        "reason": str(trouble.reason),
        "message": trouble.message or _TEXT_BY_REASON[trouble.reason],
        "retry_after_ms": trouble.retry_after_ms,
    }


@error_of.register
def _(trouble: Failed) -> dict[str, Any]:
    return {"type": str(RequestOutcome.FAILED), "message": trouble.message}


@error_of.register
def _(trouble: Unknown) -> dict[str, Any]:
    return {"type": str(RequestOutcome.UNKNOWN), "message": trouble.message}


@singledispatch
def status_of(trouble: Any) -> int:
    """Return the HTTP status for an outcome."""
    raise TypeError(f"no status for {trouble!r}")


@status_of.register
def _(trouble: BadRequest) -> int:
    return trouble.status


@status_of.register
def _(trouble: Refusal) -> int:
    return trouble.status or _STATUS_BY_REASON.get(trouble.reason, UNAVAILABLE)


@status_of.register
def _(trouble: Failed) -> int:
    return BAD_GATEWAY


@status_of.register
def _(trouble: Unknown) -> int:
    return GATEWAY_TIMEOUT


def answer_of(trouble: Trouble) -> Response:
    """Return the whole response for an outcome other than a whole answer."""
    headers = [("content-type", JSON)]
    if isinstance(trouble, Refusal):
        seconds = retry_after_seconds(trouble.retry_after_ms)
        headers.append(("retry-after", str(seconds)))
    body = dumps({"error": error_of(trouble)}).encode()
    return Response(status_of(trouble), tuple(headers), body)


def last_event(trouble: Trouble) -> bytes:
    """Return the event that ends a stream which cannot be completed."""
    return b"data: " + dumps({"error": error_of(trouble)}).encode() + b"\n\n"


def json_response(status: int, value: Any) -> Response:
    """Return a response with ``value`` as JSON."""
    return Response(status, (("content-type", JSON),), dumps(value).encode())
