"""Admission: start a request, queue it for its team, or refuse it.

Virtual token counters keep teams fair (see ``teams``); within a team, requests
are ordered by priority. A request that is not expected to start before its
deadline is refused on arrival. The functions do no I/O: each maps ``(state,
event, now)`` to ``(state, outcomes)``. They modify the state passed in, so
callers must only use the returned one.
"""

from clementinebend_admission.estimates import (
    add_sample,
    expected_wait,
    retry_after_ms,
)
from clementinebend_admission.models import (
    AdmissionOutcome,
    Admitted,
    Arrival,
    Capacity,
    Queued,
    Refused,
)
from clementinebend_admission.state import (
    AdmissionState,
    Running,
    empty_admission,
    has_capacity,
    is_known,
    mark_overdue,
    next_waiting,
    remove,
    waiting,
    waiting_count,
)
from clementinebend_admission.teams import (
    charge,
    enqueue,
    new_team,
    raise_counter,
    tokens_ahead,
    update_used_share,
)
from clementinebend_records.reasons import NotRunReason

__all__ = [
    "AdmissionState",
    "Admitted",
    "Arrival",
    "Queued",
    "Refused",
    "arrive",
    "cancel",
    "empty_admission",
    "expire",
    "finish",
    "set_capacity",
    "waiting_count",
]


def arrive(
    state: AdmissionState, arrival: Arrival, now: float
) -> tuple[AdmissionState, AdmissionOutcome]:
    """Admit, queue or refuse a new request; a queued one gets a final outcome later."""
    if is_known(state, arrival.request):
        raise ValueError(f"request {arrival.request!r} has arrived before")
    next_waiting(state, now)
    state = _register_team(state, arrival.team, arrival.weight, now)
    if arrival.deadline <= now:
        return state, Refused(
            NotRunReason.DEADLINE, _retry_after(state, arrival, 0.0), arrival.request
        )
    if _can_start_now(state, arrival):
        return _start(state, arrival, now), Admitted(arrival.request)
    return _queue_or_refuse(state, arrival, now)


def finish(
    state: AdmissionState, request: str, tokens: int, now: float
) -> tuple[AdmissionState, tuple[Admitted, ...]]:
    """Release a finished request that cost ``tokens`` and start waiting ones."""
    state = state._replace(clock=now)
    running = state.running.pop(request, None)
    if running is None:
        return state, ()
    arrival = running.arrival
    team = state.teams[arrival.team]
    team = charge(team, tokens - running.charged)
    team = update_used_share(team, arrival.tokens, tokens)
    state.teams[arrival.team] = team._replace(running=team.running - 1)
    state = state._replace(
        running_tokens=state.running_tokens - arrival.tokens,
        averages=add_sample(state.averages, now - running.started_at, arrival.tokens),
    )
    return _start_waiting(state, now)


def cancel(
    state: AdmissionState, request: str, now: float
) -> tuple[AdmissionState, tuple[Admitted, ...]]:
    """Remove a request whose caller left and that was not executed.

    If it held capacity, the charge to its team is reversed and waiting requests
    are started.
    """
    state = state._replace(clock=now)
    running = state.running.pop(request, None)
    if running is None:
        state.overdue.pop(request, None)
        remove(state, request)
        return state, ()
    arrival = running.arrival
    team = charge(state.teams[arrival.team], -running.charged)
    state.teams[arrival.team] = team._replace(running=team.running - 1)
    state = state._replace(running_tokens=state.running_tokens - arrival.tokens)
    return _start_waiting(state, now)


def expire(
    state: AdmissionState, now: float
) -> tuple[AdmissionState, tuple[Refused, ...]]:
    """Refuse the waiting requests whose deadline has passed."""
    state = state._replace(clock=now)
    late = [arrival for arrival in waiting(state) if arrival.deadline <= now]
    for arrival in late:
        mark_overdue(state, arrival)
    refused = tuple(
        Refused(
            NotRunReason.DEADLINE, _retry_after(state, arrival, 0.0), arrival.request
        )
        for arrival in state.overdue.values()
    )
    state.overdue.clear()
    return state, refused


def set_capacity(
    state: AdmissionState,
    slots: int,
    tokens: int | None = None,
    now: float | None = None,
) -> tuple[AdmissionState, tuple[Admitted, ...]]:
    """Change the capacity and start the waiting requests that fit into it.

    Without ``now``, the time of the last event is used, and requests that have
    become overdue since then may start.
    """
    clock = state.clock if now is None else now
    state = state._replace(capacity=Capacity(slots, tokens), clock=clock)
    return _start_waiting(state, clock)


def _register_team(
    state: AdmissionState, name: str, weight: float, now: float
) -> AdmissionState:
    """Add or update the team, and raise its counter if it has nothing waiting."""
    team = state.teams.get(name) or new_team(weight, state.floor)
    if name not in state.backlogged:
        counters = (state.teams[other].counter for other in state.backlogged)
        team = raise_counter(team, min(counters, default=state.floor))
    state.teams[name] = team._replace(weight=new_team(weight, 0.0).weight)
    return state._replace(clock=now)


def _can_start_now(state: AdmissionState, arrival: Arrival) -> bool:
    """Return whether the request can start now without overtaking waiting ones."""
    if not has_capacity(state, arrival):
        return False
    rivals = (state.teams[name].counter for name in state.backlogged)
    least = min(rivals, default=float("inf"))
    return (
        arrival.team not in state.backlogged
        and state.teams[arrival.team].counter < least
    )


def _queue_or_refuse(
    state: AdmissionState, arrival: Arrival, now: float
) -> tuple[AdmissionState, AdmissionOutcome]:
    wait = _expected_wait(state, arrival)
    remaining = arrival.deadline - now
    if wait >= remaining:
        reason = (
            NotRunReason.DEADLINE if state.capacity.slots else NotRunReason.NO_ENDPOINT
        )
        after = _retry_after(state, arrival, remaining)
        return state, Refused(reason, after, arrival.request)
    if _queue_is_full(state, arrival):
        after = _retry_after(state, arrival, wait / 2)
        return state, Refused(NotRunReason.OVERLOADED, after, arrival.request)
    team = enqueue(state.teams[arrival.team], arrival, state.sequence)
    state.teams[arrival.team] = team
    state.backlogged[arrival.team] = None
    state.team_by_request[arrival.request] = arrival.team
    state = state._replace(sequence=state.sequence + 1)
    return state, Queued(arrival.request, wait)


def _queue_is_full(state: AdmissionState, arrival: Arrival) -> bool:
    """Return whether the queue is full for this team.

    A full queue still accepts a team's requests up to the team's share by weight,
    so that a team that fills the queue cannot lock out the others.
    """
    if len(state.team_by_request) < state.queue_limit:
        return False
    own = state.teams[arrival.team]
    names = {arrival.team, *state.backlogged}
    weights = sum(state.teams[name].weight for name in names)
    return len(own.waiting) >= state.queue_limit * own.weight / weights


def _expected_wait(state: AdmissionState, arrival: Arrival) -> float:
    ahead = tokens_ahead(state.teams, state.backlogged, arrival)
    return expected_wait(state.capacity, state.averages, ahead)


def _retry_after(state: AdmissionState, arrival: Arrival, tolerated: float) -> int:
    """Return the time in which the wait is expected to fall to ``tolerated``."""
    return retry_after_ms(
        max(0.0, _expected_wait(state, arrival) - tolerated), arrival.request
    )


def _start(state: AdmissionState, arrival: Arrival, now: float) -> AdmissionState:
    team = state.teams[arrival.team]
    charged = arrival.tokens * team.used_share
    team = charge(team, charged)
    state.teams[arrival.team] = team._replace(running=team.running + 1)
    state.running[arrival.request] = Running(arrival, now, charged)
    floor = state.floor if team.waiting else max(state.floor, team.counter)
    return state._replace(
        running_tokens=state.running_tokens + arrival.tokens, floor=floor
    )


def _start_waiting(
    state: AdmissionState, now: float
) -> tuple[AdmissionState, tuple[Admitted, ...]]:
    """Start waiting requests in order while capacity is free.

    Requests past their deadline are set aside for ``expire`` to refuse.
    """
    admitted = []
    while (arrival := next_waiting(state, now)) is not None and has_capacity(
        state, arrival
    ):
        remove(state, arrival.request)
        state = _start(state, arrival, now)
        admitted.append(Admitted(arrival.request))
    return state, tuple(admitted)
