"""The state of admission, with helpers to query and update it."""

from collections.abc import Iterator
from typing import NamedTuple

from clementinebend_admission.estimates import ServiceAverages
from clementinebend_admission.models import Arrival, Capacity
from clementinebend_admission.teams import TeamState, dequeue, next_arrival, next_team

DEFAULT_SLOTS = 64
DEFAULT_QUEUE_LIMIT = 1024


class Running(NamedTuple):
    """A request that holds capacity, and the tokens charged to its team for it."""

    arrival: Arrival
    started_at: float
    charged: float


class AdmissionState(NamedTuple):
    """The whole state of admission.

    ``backlogged`` holds the teams with requests waiting, ``team_by_request`` the
    team of each waiting request, ``overdue`` the requests that waited past their
    deadline and are still to be refused by ``expire``, and ``floor`` the
    highest counter of a team that had nothing left waiting after a start. At most
    twice ``queue_limit`` requests wait.
    """

    capacity: Capacity
    queue_limit: int
    teams: dict[str, TeamState]
    backlogged: dict[str, None]
    team_by_request: dict[str, str]
    overdue: dict[str, Arrival]
    running: dict[str, Running]
    running_tokens: int = 0
    averages: ServiceAverages = ServiceAverages()
    floor: float = 0.0
    sequence: int = 0
    clock: float = 0.0


def empty_admission(
    slots: int = DEFAULT_SLOTS,
    tokens: int | None = None,
    queue_limit: int = DEFAULT_QUEUE_LIMIT,
) -> AdmissionState:
    """Return the state before the first request."""
    return AdmissionState(Capacity(slots, tokens), queue_limit, {}, {}, {}, {}, {})


def waiting_count(state: AdmissionState) -> int:
    """Return how many requests wait."""
    return len(state.team_by_request)


def is_known(state: AdmissionState, request: str) -> bool:
    """Return whether the request waits, runs, or is still to be refused."""
    return (
        request in state.team_by_request
        or request in state.running
        or request in state.overdue
    )


def has_capacity(state: AdmissionState, arrival: Arrival) -> bool:
    """Return whether there is free capacity for the request.

    A request above the token capacity can run while no other request runs.
    """
    capacity = state.capacity
    if len(state.running) >= capacity.slots:
        return False
    if capacity.tokens is None or not state.running:
        return True
    return state.running_tokens + arrival.tokens <= capacity.tokens


def next_waiting(state: AdmissionState, now: float) -> Arrival | None:
    """Return the next request to start, marking overdue ones as such."""
    while (name := next_team(state.teams, state.backlogged)) is not None:
        arrival = next_arrival(state.teams[name])
        if arrival is None:
            raise ValueError(f"team {name!r} is backlogged with nothing waiting")
        if arrival.deadline > now:
            return arrival
        mark_overdue(state, arrival)
    return None


def mark_overdue(state: AdmissionState, arrival: Arrival) -> None:
    """Move a waiting request to ``overdue``, for ``expire`` to refuse."""
    remove(state, arrival.request)
    state.overdue[arrival.request] = arrival


def remove(state: AdmissionState, request: str) -> None:
    """Remove a request from its team's queue if it is waiting."""
    name = state.team_by_request.pop(request, None)
    if name is None:
        return
    team = dequeue(state.teams[name], request)
    state.teams[name] = team
    if not team.waiting:
        del state.backlogged[name]


def waiting(state: AdmissionState) -> Iterator[Arrival]:
    """Return the waiting requests of all teams."""
    return (
        arrival
        for name in state.backlogged
        for arrival in state.teams[name].waiting.values()
    )
