"""What a call does when its key has a run already: it joins that one.

Like ``conclude``, these return the refusal with which the call is to be given
up, if there is nothing else.
"""

from clementinebend_entry.attachment import Attached, attach
from clementinebend_entry.call_state import CallState
from clementinebend_entry.conclusions import FINAL_REFUSALS, conclude
from clementinebend_entry.outcomes import ErrorOutcome, Failed, Refusal, Unknown
from clementinebend_entry.pointer_desk import Standing
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunResult,
    RunWhole,
)
from clementinebend_records.reasons import NotRunReason

NOWHERE = ""
"""The endpoint in a pointer that only asks whether another one stands."""


async def join(state: CallState, standing: Standing) -> Refusal | None:
    """Relay the answer of the run that the key has already.

    A pointer to a run that gives no answer is dropped, and the call goes on by
    itself; whether it may still run is then for its claim to say.
    """
    state.account.withdraw()
    if standing.body_digest != state.call.body_digest:
        state.end(Refusal(NotRunReason.KEY_CONFLICT, 0))
        return None
    services, call = state.services, state.call
    state.dispatched = True
    attached = await attach(services, call, standing, state.output)
    state.dispatched = isinstance(attached, Attached)
    if isinstance(attached, Attached):
        state.follower = attached.follower
        return await take_joined(state, attached.result, standing)
    services.pointers.drop(call.key, standing.run)
    return None


async def join_earlier(state: CallState) -> Refusal | None:
    """Join the key's earlier run, if one is known.

    For idempotent work that is about to be refused: "not run" must not be said
    of a key that runs elsewhere. Claims say so of other calls.
    """
    call = state.call
    may_run_elsewhere = (
        call.has_idempotency_key and call.idempotent and not state.account.lost
    )
    if not may_run_elsewhere or state.has_checked_pointer:
        return None
    state.has_checked_pointer = True
    standing = await state.services.pointers.put(call, state.run_id, NOWHERE)
    if standing is None:
        state.drop_pointer()
        return None
    return await join(state, standing)


async def take_joined(
    state: CallState, result: RunResult, standing: Standing
) -> Refusal | None:
    """Take the result of a run that another request began.

    If that failed, idempotent work runs again: it is this request's first run
    and so outside the retry budget.
    """
    is_final = isinstance(result, RunWhole) or (
        isinstance(result, RunNotRun) and result.reason in FINAL_REFUSALS
    )
    if is_final or not state.call.idempotent:
        return await conclude(result, state)
    state.services.pointers.drop(state.call.key, standing.run)
    if state.consume_retry("joined", is_free=True):
        state.joined_outcome = _trouble_of(result)
        return None
    return await conclude(result, state)


def _trouble_of(result: RunResult) -> ErrorOutcome | None:
    """Return what is to be told if the key's next run is refused."""
    match result:
        case RunNotRun():
            return None
        case RunBroke():
            return Failed(result.message)
        case _:
            return Unknown("the endpoint's answer was lost")
