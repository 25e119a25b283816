"""Admission under one interface: the fleet's queue and a plain FIFO queue."""

from collections import deque
from functools import singledispatch
from typing import NamedTuple

from clementinebend_admission.queue import (
    AdmissionState,
    Admitted,
    Arrival,
    Refused,
    arrive,
    expire,
    finish,
)


class FifoState(NamedTuple):
    """Baseline: one bounded queue for all teams, first come first served."""

    slots: int
    limit: int
    queue: deque[Arrival]
    running: set[str]


Door = AdmissionState | FifoState


def fifo(slots: int, limit: int) -> FifoState:
    """Return the baseline with nothing in it."""
    return FifoState(slots, limit, deque(), set())


@singledispatch
def enter(door: Door, arrival: Arrival, now: float) -> tuple[Door, tuple[str, ...]]:
    """Take a request; return those that run now."""
    raise TypeError(f"no door: {door!r}")


@enter.register
def _(
    door: AdmissionState, arrival: Arrival, now: float
) -> tuple[Door, tuple[str, ...]]:
    state, verdict = arrive(door, arrival, now)
    return state, (verdict.request,) if isinstance(verdict, Admitted) else ()


@enter.register
def _(door: FifoState, arrival: Arrival, now: float) -> tuple[Door, tuple[str, ...]]:
    if len(door.queue) < door.limit:
        door.queue.append(arrival)
    return door, _start_waiting(door, now)


@singledispatch
def leave(
    door: Door, request: str, tokens: int, now: float
) -> tuple[Door, tuple[str, ...]]:
    """Take the end of a running request; return those that run now."""
    raise TypeError(f"no door: {door!r}")


@leave.register
def _(
    door: AdmissionState, request: str, tokens: int, now: float
) -> tuple[Door, tuple[str, ...]]:
    state, admitted = finish(door, request, tokens, now)
    return state, tuple(one.request for one in admitted)


@leave.register
def _(
    door: FifoState, request: str, tokens: int, now: float
) -> tuple[Door, tuple[str, ...]]:
    door.running.discard(request)
    return door, _start_waiting(door, now)


def drop_overdue(door: Door, now: float) -> tuple[Door, tuple[Refused, ...]]:
    """Refuse what has waited past its deadline; FIFO does so at the queue's head."""
    return expire(door, now) if isinstance(door, AdmissionState) else (door, ())


def _start_waiting(door: FifoState, now: float) -> tuple[str, ...]:
    started = []
    while door.queue and len(door.running) < door.slots:
        arrival = door.queue.popleft()
        if arrival.deadline > now:
            door.running.add(arrival.request)
            started.append(arrival.request)
    return tuple(started)
