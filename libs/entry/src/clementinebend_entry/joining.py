"""What an execution does when its key has a run already: it joins that one."""

from typing import TYPE_CHECKING

from clementinebend_entry.attachment import Attached, attach
from clementinebend_entry.conclusions import FINAL_REFUSALS, conclude
from clementinebend_entry.outcomes import Failed, Refusal, Trouble, Unknown
from clementinebend_entry.pointer_desk import Standing
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunResult,
    RunWhole,
)
from clementinebend_records.reasons import NotRun

if TYPE_CHECKING:
    from clementinebend_entry.execution import Execution

NOWHERE = ""
"""The endpoint in a pointer that only asks whether another one stands."""


async def join(execution: "Execution", standing: Standing) -> None:
    """Relay the answer of the run that the key has already.

    A pointer to a run that gives no answer is dropped, and the call goes on by
    itself; whether it may still run is then for its claim to say.
    """
    execution.account.withdraw()
    if standing.body_digest != execution.call.body_digest:
        execution.end(Refusal(NotRun.KEY_CONFLICT, 0))
        return
    services, call = execution.services, execution.call
    execution.dispatched = True
    attached = await attach(services, call, standing, execution.output)
    execution.dispatched = isinstance(attached, Attached)
    if isinstance(attached, Attached):
        execution.follower = attached.follower
        await take_joined(execution, attached.result, standing)
    else:
        services.pointers.drop(call.key, standing.run)


async def join_earlier(execution: "Execution") -> bool:
    """Join the key's earlier run, if one is known; return whether that ended it.

    For idempotent work that is about to be refused: "not run" must not be said
    of a key that runs elsewhere. Claims say so of other calls.
    """
    call = execution.call
    may_run_elsewhere = call.has_key and call.idempotent and not execution.account.lost
    if not may_run_elsewhere or execution.has_looked:
        return False
    execution.has_looked = True
    standing = await execution.services.pointers.put(call, execution.run_id, NOWHERE)
    if standing is None:
        execution.drop_pointer()
        return False
    await join(execution, standing)
    return execution.ended


async def take_joined(
    execution: "Execution", result: RunResult, standing: Standing
) -> None:
    """Take the result of a run that another request began.

    If that failed, idempotent work runs again: it is this request's first run
    and so outside the retry budget.
    """
    is_final = isinstance(result, RunWhole) or (
        isinstance(result, RunNotRun) and result.reason in FINAL_REFUSALS
    )
    if is_final or not execution.call.idempotent:
        await conclude(result, execution)
        return
    execution.services.pointers.drop(execution.call.key, standing.run)
    if execution.may_try_again("joined", is_free=True):
        execution.earlier = _trouble_of(result)
    else:
        await conclude(result, execution)


def _trouble_of(result: RunResult) -> Trouble | None:
    """Return what is to be told if the key's next run is refused."""
    match result:
        case RunNotRun():
            return None
        case RunBroke():
            return Failed(result.message)
        case _:
            return Unknown("the endpoint's answer was lost")
