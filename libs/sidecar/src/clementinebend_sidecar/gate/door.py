"""Whether a new run may come in, and how long it would wait."""

from math import ceil

from clementinebend_records.messages import RunRefused, RunStart
from clementinebend_records.reasons import NotRunReason
from clementinebend_sidecar.gate.state import GateState

MS_PER_S = 1000
LEAVING_RETRY_MS = 1000
MINIMUM_RETRY_MS = 100


def refusal(state: GateState, start: RunStart) -> RunRefused | None:
    """Return why ``start`` cannot run here, or None if it can."""
    wait_s = expected_wait(state, start.priority)
    wait_ms = max(MINIMUM_RETRY_MS, int(wait_s * MS_PER_S))
    reason = _reason(state, start, wait_s)
    match reason:
        case None:
            return None
        case NotRunReason.LEAVING:
            return RunRefused(start.run, reason, LEAVING_RETRY_MS)
        case NotRunReason.OVERLOADED | NotRunReason.DEADLINE:
            return RunRefused(start.run, reason, wait_ms)
        case _:
            return RunRefused(start.run, reason, 0)


def expected_wait(state: GateState, priority: int) -> float:
    """Return the seconds until a run of ``priority`` would begin.

    Source: mean duration of recent runs, times the rounds of all slots that
    the runs ahead of it need.
    """
    if len(state.executing) < state.limits.slots and not state.queue:
        return 0.0
    ahead = sum(place.rank <= -priority for place in state.queue)
    rounds = ceil((ahead + 1) / state.limits.slots)
    return rounds * state.figures["mean_run_s"]


def _reason(state: GateState, start: RunStart, wait_s: float) -> NotRunReason | None:
    if state.figures["leaving"]:
        return NotRunReason.LEAVING
    if start.ticket.sidecar != state.identity.incarnation:
        return NotRunReason.WRONG_INCARNATION
    if start.ticket.holder in state.closed:
        return NotRunReason.HOLDER_CLOSED
    if wait_s * MS_PER_S >= start.deadline_ms:
        return NotRunReason.DEADLINE
    if len(state.queue) >= state.limits.queue_bound and _is_full(state):
        return NotRunReason.OVERLOADED
    return None


def _is_full(state: GateState) -> bool:
    return len(state.executing) >= state.limits.slots
