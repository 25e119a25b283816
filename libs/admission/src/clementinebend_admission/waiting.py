"""Which waiting prompt is sent next, and which is turned away. Pure.

Load pattern: bursts of three to four times the usual load while a part of the pool
is dark or slow. Endpoints that queue first come, first served then give every first
token late, up to the moment at which callers leave. So prompts wait here, and
endpoints' own queues are kept short: those that can still be on time go first, the
others use what is left while their callers are there. What cannot start before its
caller leaves is refused at once.

Times are in seconds on the steady clock, amounts in tokens.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

MAX_AHEAD_FRACTION = 0.4
"""Part of the shortest latency target that the prompts ahead of a new one may take at
its endpoint; the rest is for the prompt itself and for the way there."""

ON_TIME_WAIT_FRACTION = 0.25
"""Part of a latency target that a prompt may wait here and still be on time: what is
ahead of it at its endpoint, and reading it, take the rest."""

MIN_PATIENCE = 2.0
PATIENCE_IN_LATENCY_TARGETS = 4.0
"""A caller leaves a stream that gives no event for the longest of these: seconds, and
latency targets."""

MAX_WAIT_FRACTION = 0.5
"""Part of a caller's patience that a prompt may wait here; the rest is for reading
it, and for the way back."""

RATE_TIME_CONSTANT = 2.0
"""Time constant of the rate at which prompts start: shorter than a burst, longer
than the gaps between first tokens."""

MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.5, 5.0
"""Bounds of the seconds after which a refused caller is to come back: one that is told
more may not wait so long, and one that is told less meets the same queue."""

RETRY_JITTER = 0.5
"""Part by which times to come back are spread, so that returns don't come together."""


class WaitingPrompt(NamedTuple):
    """A prompt that waits for an endpoint with little ahead.

    ``on_time_deadline`` is when it must start to be on time, ``wait_deadline`` is when
    it is turned away. ``priority`` is 0 for the most urgent.
    """

    request: str
    priority: int
    tokens: int
    arrived: float
    on_time_deadline: float
    wait_deadline: float


class StartRate(NamedTuple):
    """Tokens of prompts that start in a second, as seen lately."""

    tokens: float = 0.0
    updated_at: float = 0.0


def new_waiting_prompt(
    request: str, priority: int, tokens: int, latency_target: float, now: float
) -> WaitingPrompt:
    """Return a prompt that has come now."""
    patience = max(MIN_PATIENCE, PATIENCE_IN_LATENCY_TARGETS * latency_target)
    return WaitingPrompt(
        request,
        priority,
        tokens,
        now,
        now + latency_target * ON_TIME_WAIT_FRACTION,
        now + MAX_WAIT_FRACTION * patience,
    )


def next_prompt(waiting: Iterable[WaitingPrompt], now: float) -> WaitingPrompt | None:
    """Return which prompt starts when there is room for one.

    Those that can still be on time go first, the most urgent first among them and
    then the one that has least time left. The others follow in the same order.
    """
    return min(waiting, key=lambda prompt: _sort_key(prompt, now), default=None)


def record_started_prompt(rate: StartRate, tokens: int, now: float) -> StartRate:
    """Count a prompt that has started."""
    return StartRate(current_rate(rate, now) + tokens / RATE_TIME_CONSTANT, now)


def current_rate(rate: StartRate, now: float) -> float:
    """Return the tokens of prompts that start in a second, as seen now."""
    return rate.tokens * exp(-max(0.0, now - rate.updated_at) / RATE_TIME_CONSTANT)


def expected_wait(
    prompt: WaitingPrompt,
    waiting: Iterable[WaitingPrompt],
    rate: StartRate,
    now: float,
) -> float:
    """Return the seconds until ``prompt`` starts, with those that go before it."""
    order = _sort_key(prompt, now)
    before = sum(other.tokens for other in waiting if _sort_key(other, now) < order)
    if not before:
        return 0.0
    return before / max(1.0, current_rate(rate, now))


def can_start_in_time(prompt: WaitingPrompt, wait: float, now: float) -> bool:
    """Tell whether a prompt starts before it would be turned away."""
    return now + wait < prompt.wait_deadline


def retry_after_seconds(wait: float, draw: float) -> float:
    """Return after how many seconds a refused caller will find room.

    ``wait`` is how long the queue is now; ``draw`` from 0 to 1 spreads the returns.
    """
    spread = 1 + RETRY_JITTER * draw
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait) * spread)


def _sort_key(prompt: WaitingPrompt, now: float) -> tuple[bool, int, float, str]:
    is_late = now > prompt.on_time_deadline
    return is_late, prompt.priority, prompt.on_time_deadline, prompt.request
