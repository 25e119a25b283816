"""Parses the request headers: API key, idempotency key, deadline and others."""

from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.models import Limits
from clementinebend_entry.outcomes import BadRequest

BEARER = "bearer "
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
MAX_KEY_LENGTH = 255
UNAUTHORIZED = 401
BAD_REQUEST = 400
MAX_DIGITS = 12


class CallHeaders(NamedTuple):
    """The parsed headers of a request.

    ``deadline_ms`` counts from arrival and is capped at the declared maximum.
    ``idempotency_key`` and ``budget`` are empty if absent.
    """

    bearer: str
    idempotency_key: str
    deadline_ms: int
    priority: int
    budget: str


def parse_headers(
    headers: dict[str, str], limits: Limits
) -> Result[CallHeaders, BadRequest]:
    """Return the parsed headers, or the first invalid one."""
    bearer = _bearer(headers.get("authorization", ""))
    if not bearer:
        message = "send the team's key as 'Authorization: Bearer KEY'"
        return Error(BadRequest(UNAUTHORIZED, "authorization", message))
    deadline = _whole_number(headers, "x-deadline-ms", limits.default_deadline_ms)
    if deadline is None or deadline < 1:
        message = "must be a whole number of milliseconds above 0"
        return Error(BadRequest(BAD_REQUEST, "x-deadline-ms", message))
    priority = _whole_number(headers, "x-priority", DEFAULT_PRIORITY)
    if priority is None or priority > MAX_PRIORITY:
        message = f"must be a whole number from 0 to {MAX_PRIORITY}"
        return Error(BadRequest(BAD_REQUEST, "x-priority", message))
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_LENGTH:
        message = f"must have at most {MAX_KEY_LENGTH} characters"
        return Error(BadRequest(BAD_REQUEST, "idempotency-key", message))
    return Ok(
        CallHeaders(
            bearer,
            key,
            min(deadline, limits.max_deadline_ms),
            priority,
            headers.get("x-budget", ""),
        )
    )


def _bearer(value: str) -> str:
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip()


def _whole_number(headers: dict[str, str], name: str, default: int) -> int | None:
    if name not in headers:
        return default
    text = headers[name].strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)
