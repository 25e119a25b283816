"""Joins a call to an earlier run of its key.

Like ``conclude``, these functions return a refusal if the call must be
refused.
"""

from clementinebend_entry.attachment import Attached, attach
from clementinebend_entry.call_state import CallState
from clementinebend_entry.conclusions import FINAL_REFUSALS, conclude
from clementinebend_entry.outcomes import ErrorOutcome, Failed, Refusal, Unknown
from clementinebend_entry.pointer_client import ExistingRun
from clementinebend_entry.run_results import (
    RunBroke,
    RunNotRun,
    RunResult,
    RunWhole,
)
from clementinebend_records.reasons import NotRunReason

QUERY_ENDPOINT = ""
"""The endpoint in a pointer that only queries for an earlier run."""


async def join(state: CallState, existing_run: ExistingRun) -> Refusal | None:
    """Relay the answer of the earlier run of the key.

    If that run cannot be attached to, its pointer is dropped and the call
    continues on its own; its claim then decides whether it may still run.
    """
    state.account.withdraw()
    if existing_run.body_digest != state.call.body_digest:
        state.end(Refusal(NotRunReason.KEY_CONFLICT, 0))
        return None
    services, call = state.services, state.call
    state.dispatched = True
    attached = await attach(services, call, existing_run, state.output)
    state.dispatched = isinstance(attached, Attached)
    if isinstance(attached, Attached):
        state.follower = attached.follower
        return await handle_joined_result(state, attached.result, existing_run)
    services.pointers.drop(call.key, existing_run.run)
    return None


async def join_earlier(state: CallState) -> Refusal | None:
    """Join the earlier run of the key, if one is known.

    Called before an idempotent call is refused: a refusal reports that the call
    did not run, which must not be said of a key that runs elsewhere. For other
    calls the claim makes this check.
    """
    call = state.call
    may_run_elsewhere = (
        call.has_idempotency_key and call.idempotent and not state.account.lost
    )
    if not may_run_elsewhere or state.has_checked_pointer:
        return None
    state.has_checked_pointer = True
    existing_run = await state.services.pointers.put(call, state.run_id, QUERY_ENDPOINT)
    if existing_run is None:
        state.drop_pointer()
        return None
    return await join(state, existing_run)


async def handle_joined_result(
    state: CallState, result: RunResult, existing_run: ExistingRun
) -> Refusal | None:
    """Handle the result of a run that another request started.

    If that run failed, an idempotent call runs again. That is this request's
    first run, so it is exempt from the retry budget.
    """
    is_final = isinstance(result, RunWhole) or (
        isinstance(result, RunNotRun) and result.reason in FINAL_REFUSALS
    )
    if is_final or not state.call.idempotent:
        return await conclude(result, state)
    state.services.pointers.drop(state.call.key, existing_run.run)
    if state.consume_retry("joined", is_free=True):
        state.joined_outcome = _earlier_outcome(result)
        return None
    return await conclude(result, state)


def _earlier_outcome(result: RunResult) -> ErrorOutcome | None:
    """Return the outcome to report if the next run of the key is refused."""
    match result:
        case RunNotRun():
            return None
        case RunBroke():
            return Failed(result.message)
        case _:
            return Unknown("the endpoint's answer was lost")
