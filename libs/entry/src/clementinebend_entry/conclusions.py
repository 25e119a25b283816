"""What an execution does with the result of a run: end, or try again."""

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from clementinebend_entry.outcomes import Failed, Refusal, Unknown
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunUncertain,
    RunWhole,
    SidecarGone,
    SidecarUnreachable,
)
from clementinebend_records.reasons import NotRun

if TYPE_CHECKING:
    from clementinebend_entry.execution import Execution

FINAL_REFUSALS = frozenset((NotRun.KEY_CONFLICT, NotRun.CANCELLED))
"""Refusals that another endpoint would not change."""

PLANNED_REFUSALS = frozenset(
    (NotRun.LEAVING, NotRun.WRONG_INCARNATION, NotRun.HOLDER_CLOSED)
)
"""Refusals by which a sidecar corrects what this entry believed.

Further attempts after these are no load on anybody and end with the view
corrected, so they are outside the retry budget: a planned stop of a sidecar
under load must not refuse requests that another could have run. A request
asks each endpoint once at most.
"""


@singledispatch
async def conclude(result: Any, execution: "Execution") -> None:
    """Take the result of a run."""
    raise TypeError(f"no run result: {result!r}")


@conclude.register(RunWhole)
async def _(result: RunWhole, execution: "Execution") -> None:
    services, output = execution.services, execution.output
    execution.settle(result)
    if output.broken:
        execution.end(Failed(output.broken))
        return
    answer = output.answer
    execution.claim.record(answer.status, answer.content_type, bytes(answer.body))
    zone = execution.zone_of_sidecar()
    if not await services.receipts.make_safe(result.receipt, execution.call, zone):
        execution.end(Unknown("the receipt could not be made safe in time"))
        return
    execution.ended = True
    output.release()


@conclude.register(RunNotRun)
async def _(result: RunNotRun, execution: "Execution") -> None:
    execution.drop_pointer()
    execution.refusal = Refusal(result.reason, result.retry_after_ms)
    if result.reason is NotRun.LEAVING:
        execution.note_leaving()
    if result.reason is NotRun.HOLDER_CLOSED:
        execution.account.withdraw()
    is_final = result.reason in FINAL_REFUSALS
    is_free = result.reason in PLANNED_REFUSALS
    if is_final or not execution.may_try_again("not_run", is_free):
        await execution.give_up(execution.refusal)


@conclude.register(RunBroke)
async def _(result: RunBroke, execution: "Execution") -> None:
    execution.drop_pointer()
    if execution.call.idempotent and execution.may_try_again("failed"):
        execution.lose(result)
        return
    execution.settle(result)
    execution.claim.record_failure(result.message)
    execution.end(Failed(result.message))


@conclude.register(RunUncertain)
@conclude.register(SidecarGone)
@conclude.register(SidecarUnreachable)
async def _(
    result: RunUncertain | SidecarGone | SidecarUnreachable, execution: "Execution"
) -> None:
    execution.drop_pointer()
    execution.lose(result)
    if not (execution.call.idempotent and execution.may_try_again("lost")):
        execution.end(Unknown("the endpoint's answer was lost"))
