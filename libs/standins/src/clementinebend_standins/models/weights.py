"""Pure model of the weight store: sizes, and a limit on loads a second."""

from collections import deque
from typing import NamedTuple

RATE_WINDOW = 1.0
"""Seconds over which loads are counted against the rate limit."""


class WeightsState(NamedTuple):
    """Times of the loads in the last window, in monotonic seconds."""

    load_times: deque[float]


class Busy(NamedTuple):
    """The load was refused; ``retry_after`` is in seconds."""

    retry_after: float


def empty_weights() -> WeightsState:
    """Return a store that nobody has loaded from."""
    return WeightsState(deque())


def load_weights(
    state: WeightsState, now: float, per_second: int
) -> tuple[WeightsState, Busy | None]:
    """Count one load, or refuse it when the last second is full."""
    times = state.load_times
    while times and times[0] <= now - RATE_WINDOW:
        times.popleft()
    if len(times) >= per_second:
        oldest = times[0] if times else now
        return state, Busy(oldest + RATE_WINDOW - now)
    times.append(now)
    return state, None
