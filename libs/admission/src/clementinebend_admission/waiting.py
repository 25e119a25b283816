"""Scheduling of waiting prompts: which is sent next, and which is refused. No I/O.

Designed for bursts of three to four times the usual load while a part of the pool
is unreachable or slow. Endpoints that queue first come, first served then deliver
every first token late, up to the time at which callers give up. So prompts wait
here, and the endpoints' own queues are kept short: prompts that can still meet their
latency target go first, and the others use the remaining capacity until their
callers give up. A prompt that cannot start before then is refused at once: what waits
before it counts, and so does what will overtake it (see ``load_rates``).

Times are in seconds on a monotonic clock, amounts in tokens.
"""

from collections.abc import Callable, Iterable
from math import exp, inf
from typing import NamedTuple

from clementinebend_admission.turn_order import Turn, TurnKey, turn_key

MAX_AHEAD_FRACTION = 0.4
"""Fraction of the shortest latency target that the prompts ahead of a new one may take
at its endpoint; the rest is for the prompt itself and for the network."""

YIELDED_FRACTION = 0.5
"""Fraction of that which a prompt leaves free while others with precedence wait. With a
larger one, the endpoint could be idle until they have asked again."""

ON_TIME_WAIT_FRACTION = 0.25
"""Fraction of a latency target that a prompt may wait here and still be on time: the
prompts ahead of it at its endpoint and its own prefill take the rest."""

MIN_PATIENCE = 2.0
PATIENCE_IN_LATENCY_TARGETS = 4.0
"""Callers abandon a stream without events after ``MIN_PATIENCE`` seconds or after this
many latency targets, whichever is longer."""

MAX_WAIT_FRACTION = 0.5
"""Fraction of a caller's patience that a prompt may wait here; the rest is for its
prefill and for the response."""

RATE_TIME_CONSTANT = 2.0
"""Time constant, in seconds, of moving averages of rates: shorter than a
burst, longer than the gaps between first tokens."""

MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.5, 5.0
"""Bounds of the retry time in seconds, before jitter: callers may not wait for a longer
one, and after a shorter one they would find the same queue."""

RETRY_JITTER = 0.5
"""Maximum jitter as a fraction of a retry time, so that retries do not coincide."""


class WaitingPrompt(NamedTuple):
    """A prompt that waits for an endpoint with a short queue.

    To meet its latency target it must start by ``on_time_deadline``; if it has not
    started by ``wait_deadline``, it is refused. The most urgent ``priority`` is 0.
    ``team`` is the one that is charged for it. ``since`` orders the prompts of a team,
    the earliest first: it is ``on_time_deadline``, or that of the first try for a
    caller that was rejected and returns as told.
    """

    request: str
    priority: int
    tokens: int
    arrived: float
    on_time_deadline: float
    wait_deadline: float
    team: str
    since: float


class MovingRate(NamedTuple):
    """Moving average of an amount per second, as of ``updated_at``."""

    per_second: float = 0.0
    updated_at: float = 0.0


def new_waiting_prompt(
    request: str,
    priority: int,
    tokens: int,
    latency_target: float,
    now: float,
    team: str,
) -> WaitingPrompt:
    """Return a prompt that arrives at ``now``, with its deadlines."""
    on_time_deadline = now + latency_target * ON_TIME_WAIT_FRACTION
    patience = max(MIN_PATIENCE, PATIENCE_IN_LATENCY_TARGETS * latency_target)
    return WaitingPrompt(
        request,
        priority,
        tokens,
        now,
        on_time_deadline,
        now + MAX_WAIT_FRACTION * patience,
        team,
        on_time_deadline,
    )


def max_ahead_seconds(latency_target: float, is_preceded: bool) -> float:
    """Return how long the prompts ahead of a new one may take at its endpoint.

    ``latency_target`` is the shortest one of the service's routes, in seconds. With
    ``is_preceded`` less is allowed, so that a prompt with precedence that waits for
    the endpoint finds room earlier.
    """
    seconds = MAX_AHEAD_FRACTION * latency_target
    return (1.0 - YIELDED_FRACTION) * seconds if is_preceded else seconds


def as_turn(prompt: WaitingPrompt, now: float) -> Turn:
    """Return what decides on the turn of a prompt."""
    return Turn(
        prompt.request,
        prompt.priority,
        prompt.team,
        now <= prompt.on_time_deadline,
        prompt.since,
    )


def in_order(
    waiting: Iterable[WaitingPrompt], key: Callable[[Turn], TurnKey], now: float
) -> list[WaitingPrompt]:
    """Return prompts in the order in which they are to start."""
    return sorted(waiting, key=lambda prompt: key(as_turn(prompt, now)))


def deadline_key(turn: Turn) -> TurnKey:
    """Return the sort key by priority and deadline, which tells no teams apart."""
    return turn_key(turn, is_starved=False, level=0.0)


def add_to_rate(rate: MovingRate, amount: int, now: float) -> MovingRate:
    """Return the rate updated with an amount at ``now``."""
    return MovingRate(current_rate(rate, now) + amount / RATE_TIME_CONSTANT, now)


def current_rate(rate: MovingRate, now: float) -> float:
    """Return the amount per second, decayed to ``now``."""
    return rate.per_second * exp(-max(0.0, now - rate.updated_at) / RATE_TIME_CONSTANT)


def wait_behind(before: float, starts: float, overtaking: float) -> float:
    """Return the seconds until the prompts that precede one have started.

    ``before`` are their tokens. ``starts`` and ``overtaking`` are in tokens per second:
    what starts, and what arrives with precedence. The wait is infinite if the latter
    reaches the former.
    """
    if before <= 0:
        return 0.0
    return before / (starts - overtaking) if overtaking < starts else inf


def retry_after_seconds(wait: float, draw: float) -> float:
    """Return the seconds after which a refused caller should retry.

    ``wait`` is the expected wait in the queue; ``draw``, a random number from 0 to 1,
    sets the jitter.
    """
    spread = 1 + RETRY_JITTER * draw
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait) * spread)
