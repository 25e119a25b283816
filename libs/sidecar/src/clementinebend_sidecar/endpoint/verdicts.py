"""What an endpoint's answer proves about a run.

Model engines (source: OpenAI API reference, RFC 9110, RFC 6585):

* no connection: refused, proved not run; the request was sent but no answer
  came: not known whether it ran.
* 404, 429 and 503 are said at the door (the model is not loaded, too busy, not
  accepting): refused, proved not run, so an entry may try another endpoint.
* other 4xx: the engine's own whole answer, which tells the caller what is
  wrong. Nothing was generated: billed once, with the amount 0.
* other 5xx: the engine may have generated before it failed: ran and failed,
  billed by its usage, or else with the whole reservation.
* 200: whole only with the end marker and without an error event (streamed), or
  as whole JSON.

Plain services: every answer below 500 is the service's own, whole answer. A
5xx says that it ran and failed; it may have had its effect, so it is billed as
any call, never zero, and never called not run.
"""

from http import HTTPStatus

from msgspec import DecodeError
from msgspec.json import decode

from clementinebend_records.reasons import NotRunReason
from clementinebend_sidecar.endpoint.scan import Scan, usage_of
from clementinebend_sidecar.gate.events import Broken, Refused, Verdict, Whole

RETRY_MS = 1000
"""When to come back to an engine that named no time."""

NO_USAGE = 0

REFUSED_AT_THE_DOOR: dict[int, NotRunReason] = {
    HTTPStatus.NOT_FOUND: NotRunReason.NOT_READY,
    HTTPStatus.TOO_MANY_REQUESTS: NotRunReason.OVERLOADED,
    HTTPStatus.SERVICE_UNAVAILABLE: NotRunReason.NOT_READY,
}


def no_answer(sent: bool, message: str) -> Verdict:
    """Return the verdict on a request to which no answer came."""
    if not sent:
        return Refused(NotRunReason.UNREACHABLE, RETRY_MS)
    return Broken(message, usage=None, certain=False)


def refused_by_engine(status: int) -> Refused | None:
    """Return the refusal that a model engine's status is, or None."""
    reason = REFUSED_AT_THE_DOOR.get(status)
    return None if reason is None else Refused(reason, RETRY_MS)


def stream_verdict(scan: Scan, stopped: bool) -> Verdict:
    """Return the verdict on a streamed answer whose body ended whole."""
    if scan.failed:
        return Broken("the engine told of an error", scan.usage, certain=True)
    if scan.done:
        return Whole(scan.usage, succeeded=True)
    message = "the run was cancelled" if stopped else "the answer has no end marker"
    return Broken(message, scan.usage, certain=True)


def model_verdict(status: int, body: bytes, stopped: bool) -> Verdict:
    """Return the verdict on a model engine's answer that is not streamed.

    After a cancel the engine may hand back the part it has as if it were
    whole, so then it never counts as whole.
    """
    usage = usage_of(body)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Broken(f"the engine answered with status {status}", usage, certain=True)
    if status >= HTTPStatus.BAD_REQUEST:
        return Whole(usage or NO_USAGE, succeeded=False)
    if stopped:
        return Broken("the run was cancelled", usage, certain=True)
    if not _is_json(body):
        return Broken("the engine's answer is cut off", usage, certain=True)
    return Whole(usage, succeeded=True)


def plain_verdict(status: int) -> Verdict:
    """Return the verdict on a plain service's whole answer."""
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        message = f"the service answered with status {status}"
        return Broken(message, usage=None, certain=True)
    return Whole(usage=None, succeeded=status < HTTPStatus.BAD_REQUEST)


def _is_json(body: bytes) -> bool:
    try:
        decode(body)
    except (DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return True
