"""Handles the result of a run: the call ends, or is retried.

``conclude`` returns a refusal if the call must be refused. If it returns None,
the call has ended, or continues with another attempt.
"""

from functools import singledispatch
from typing import Any

from clementinebend_entry.call_state import CallState
from clementinebend_entry.outcomes import Failed, Refusal, Unknown
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunUncertain,
    RunWhole,
    SidecarGone,
    SidecarUnreachable,
)
from clementinebend_records.reasons import NotRunReason

FINAL_REFUSALS = frozenset((NotRunReason.KEY_CONFLICT, NotRunReason.CANCELLED))
"""Refusals that every other endpoint would repeat, so the call is not retried."""

PLANNED_REFUSALS = frozenset(
    (NotRunReason.LEAVING, NotRunReason.WRONG_INCARNATION, NotRunReason.HOLDER_CLOSED)
)
"""Refusals by which a sidecar corrects this entry's outdated view of it.

Retries after these are exempt from the retry budget: they add no load, and stop
once the view is corrected, since a request tries each endpoint at most once.
Otherwise a planned stop of a sidecar under load would refuse requests that
another endpoint could have run.
"""


@singledispatch
async def conclude(result: Any, state: CallState) -> Refusal | None:
    """Handle the result of a run; return a refusal if the call must be refused."""
    raise TypeError(f"unsupported run result: {result!r}")


@conclude.register(RunWhole)
async def _(result: RunWhole, state: CallState) -> Refusal | None:
    services, output = state.services, state.output
    state.settle(result)
    if output.broken:
        state.end(Failed(output.broken))
        return None
    answer = output.answer
    state.claim.record(answer.status, answer.content_type, bytes(answer.body))
    zone = state.sidecar_zone()
    if not await services.receipts.make_safe(result.receipt, state.call, zone):
        state.end(Unknown("the receipt could not be made safe in time"))
        return None
    state.ended = True
    output.release()
    return None


@conclude.register(RunNotRun)
async def _(result: RunNotRun, state: CallState) -> Refusal | None:
    state.drop_pointer()
    state.refusal = Refusal(result.reason, result.retry_after_ms)
    if result.reason is NotRunReason.LEAVING:
        state.note_leaving()
    if result.reason is NotRunReason.HOLDER_CLOSED:
        state.account.withdraw()
    is_final = result.reason in FINAL_REFUSALS
    is_free = result.reason in PLANNED_REFUSALS
    if is_final or not state.consume_retry("not_run", is_free):
        return state.refusal
    return None


@conclude.register(RunBroke)
async def _(result: RunBroke, state: CallState) -> Refusal | None:
    state.drop_pointer()
    if state.call.idempotent and state.consume_retry("failed"):
        state.lose(result)
        return None
    state.settle(result)
    state.claim.record_failure(result.message)
    state.end(Failed(result.message))
    return None


@conclude.register(RunUncertain)
@conclude.register(SidecarGone)
@conclude.register(SidecarUnreachable)
async def _(
    result: RunUncertain | SidecarGone | SidecarUnreachable, state: CallState
) -> Refusal | None:
    state.drop_pointer()
    state.lose(result)
    if not (state.call.idempotent and state.consume_retry("lost")):
        state.end(Unknown("the endpoint's answer was lost"))
    return None
