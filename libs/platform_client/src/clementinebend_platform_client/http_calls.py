"""Calls over HTTP whose every failure is a value.

A status of 4xx is a refusal: the call was not executed. After 5xx, or when no
whole answer came to a request that went out, it may have been. Source: RFC
9110.
"""

from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import quote

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_transport.http_client import Answer, HttpClient, HttpFailure

Decoded = TypeVar("Decoded")
Headers = Iterable[tuple[str, str]]

FIRST_ERROR_STATUS = 300
FIRST_SERVER_ERROR = 500
RETRY_AFTER = "retry-after"
JSON_TYPE = ("content-type", "application/json")


async def call(
    http: HttpClient,
    method: str,
    url: str,
    timeout: float,
    headers: Headers = (),
    body: bytes = b"",
) -> Result[Answer, CallFailed]:
    """Return the whole answer, whatever its status, within ``timeout`` seconds."""
    answer = await http.request(method, url, headers, body, timeout)
    return answer.map_error(unanswered)


async def call_successfully(
    http: HttpClient,
    method: str,
    url: str,
    timeout: float,
    headers: Headers = (),
    body: bytes = b"",
) -> Result[Answer, CallFailed]:
    """Return the whole answer if its status is one of success."""
    answer = await call(http, method, url, timeout, headers, body)
    return answer.bind(_successful)


def decoded(answer: Answer, kind: type[Decoded]) -> Result[Decoded, CallFailed]:
    """Return the JSON body of an answer as ``kind``."""
    try:
        return Ok(decode(answer.body, type=kind))
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        message = f"cannot read the answer: {error}"
        return Error(CallFailed(True, message, answer.status))


def unanswered(failure: HttpFailure) -> CallFailed:
    """Return the failure of a call that got no whole answer."""
    return CallFailed(failure.sent, failure.message)


def url_of(base: str, *segments: str) -> str:
    """Return the URL of a path below ``base``, each segment quoted."""
    quoted = (quote(segment, safe="") for segment in segments)
    return "/".join((base.rstrip("/"), *quoted))


def retry_after_of(answer: Answer) -> float:
    """Return the seconds after which to come back, 0 if none are named."""
    text = answer.headers.get(RETRY_AFTER, "")
    return float(text) if text.isdecimal() else 0.0


def _successful(answer: Answer) -> Result[Answer, CallFailed]:
    if answer.status < FIRST_ERROR_STATUS:
        return Ok(answer)
    return Error(
        CallFailed(
            sent=answer.status >= FIRST_SERVER_ERROR,
            message=f"answered with status {answer.status}",
            status=answer.status,
            retry_after=retry_after_of(answer),
        )
    )
