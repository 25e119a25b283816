"""Builds the HTTP response to one caller from the pieces of an execution.

A caller is answered by its deadline at the latest. If it disconnects, a call
that was not dispatched is withdrawn, and a dispatched one is still billed.
"""

from collections.abc import AsyncIterator, Callable
from functools import partial

from clementinebend_entry.answers import error_event, error_response
from clementinebend_entry.budget_waits import budget_busy_refusal
from clementinebend_entry.exceptions import AnswerCutOff
from clementinebend_entry.execution import Execution
from clementinebend_entry.metrics import ABANDONED, REQUESTS
from clementinebend_entry.outcomes import (
    BadRequest,
    ErrorOutcome,
    Failed,
    Refusal,
    Unknown,
)
from clementinebend_entry.pieces import Begun, Part, Whole
from clementinebend_records.reasons import NotRunReason, RequestOutcome
from clementinebend_transport.http_server import Response
from clementinebend_transport.late_waits import LateTimer

DEADLINE_RETRY_MS = 1_000

OnEnd = Callable[[], None]


async def respond(execution: Execution, on_end: OnEnd) -> Response:
    """Return the response to a call; ``on_end`` is called when it has ended."""
    timer = LateTimer(execution.call.deadline, partial(on_deadline, execution))
    execution.output.on_finish = timer.cancel
    try:
        piece = await execution.output.pieces.get()
    except BaseException:
        on_disconnect(execution)
        on_end()
        raise
    if isinstance(piece, Begun):
        headers = (("content-type", piece.content_type), ("cache-control", "no-store"))
        return Response(piece.status, headers, stream_body(execution, on_end))
    on_end()
    if isinstance(piece, Whole):
        count_outcome(RequestOutcome.WHOLE)
        return Response(
            piece.status, (("content-type", piece.content_type),), piece.data
        )
    assert not isinstance(piece, Part), "a part came before its head"
    count_error(piece)
    return error_response(piece)


async def stream_body(execution: Execution, on_end: OnEnd) -> AsyncIterator[bytes]:
    """Yield the chunks of a streamed answer; raise if it cannot be completed."""
    is_ended = False
    try:
        while not is_ended:
            piece = await execution.output.pieces.get()
            is_ended = not isinstance(piece, Begun | Part)
            if isinstance(piece, Part):
                yield piece.data
            elif isinstance(piece, Whole):
                count_outcome(RequestOutcome.WHOLE)
                yield piece.data
            elif not isinstance(piece, Begun):
                count_error(piece)
                yield error_event(piece)
                raise AnswerCutOff(type(piece).__name__)
    finally:
        if not is_ended:
            on_disconnect(execution)
        on_end()


def on_deadline(execution: Execution) -> None:
    """Answer the caller with what is known at its deadline, if still unanswered."""
    if execution.output.is_finished:
        return
    execution.abandon()
    if execution.dispatched:
        execution.tell(Unknown("the deadline passed while the request ran"))
    elif execution.waits_for_budget:
        execution.tell(budget_busy_refusal())
    else:
        execution.tell(Refusal(NotRunReason.DEADLINE, DEADLINE_RETRY_MS))


def on_disconnect(execution: Execution) -> None:
    """Count the disconnect of a caller and abandon its execution."""
    ABANDONED.inc()
    execution.abandon()


def count_error(error_outcome: ErrorOutcome) -> None:
    """Count an error outcome."""
    match error_outcome:
        case Refusal():
            count_outcome(RequestOutcome.NOT_RUN, error_outcome.reason)
        case Failed():
            count_outcome(RequestOutcome.FAILED)
        case Unknown():
            count_outcome(RequestOutcome.UNKNOWN)
        case BadRequest():
            REQUESTS.labels("bad_request", error_outcome.field).inc()


def count_outcome(outcome: RequestOutcome, reason: str = "") -> None:
    """Count an answered request."""
    REQUESTS.labels(outcome, reason).inc()
