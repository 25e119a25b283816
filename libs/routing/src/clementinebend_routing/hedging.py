"""Hedged requests for idempotent look-ups.

A look-up that has waited longer than the 95th percentile of recent latencies may be
sent to a second endpoint, and the first answer is used. Hedges are limited to a small
share of all look-ups, so that they stop when every endpoint is slow. Source: Dean and
Barroso, "The Tail at Scale" (CACM, 2013).
"""

from math import ceil
from typing import NamedTuple

HEDGE_RATIO = 0.05
"""Hedges earned by each look-up."""

MAX_HEDGE_BALANCE = 5.0
"""Maximum number of hedges that accumulate while none are sent."""

HEDGE_COST = 1 - 1e-9
"""Balance needed for one hedge: 1, less a margin for the rounding error of adding up
ratios."""

HEDGE_PERCENTILE = 95
MAX_SAMPLES = 400
MIN_SAMPLES = 40
"""Latencies needed before the percentile is considered meaningful."""

SAMPLES_PER_UPDATE = 20
"""New latencies after which the percentile is recomputed."""


class HedgingState(NamedTuple):
    """Recent latencies in seconds, oldest first, and the balance of hedges.

    ``delay`` is the percentile of the latencies, or ``None`` if there are too few.
    ``new_samples`` counts the latencies added since it was computed.
    """

    ratio: float
    balance: float
    latencies: list[float]
    new_samples: int = 0
    delay: float | None = None


def initial_hedging(ratio: float = HEDGE_RATIO) -> HedgingState:
    """Return the state before the first look-up."""
    return HedgingState(ratio, 0.0, [])


def on_look_up(state: HedgingState, now: float) -> HedgingState:
    """Record the first attempt of a look-up."""
    return state._replace(balance=min(MAX_HEDGE_BALANCE, state.balance + state.ratio))


def on_latency(state: HedgingState, latency: float, now: float) -> HedgingState:
    """Record the latency of an answer, measured from the first attempt."""
    state.latencies.append(latency)
    del state.latencies[:-MAX_SAMPLES]
    state = state._replace(new_samples=state.new_samples + 1)
    if len(state.latencies) < MIN_SAMPLES:
        return state
    if state.delay is not None and state.new_samples < SAMPLES_PER_UPDATE:
        return state
    return state._replace(new_samples=0, delay=_percentile(state.latencies))


def hedge_delay(state: HedgingState) -> float | None:
    """Return the seconds after which a look-up counts as slow, if known."""
    return state.delay


def may_hedge(
    state: HedgingState, waited: float, now: float
) -> tuple[HedgingState, bool]:
    """Return whether to hedge a look-up that has ``waited``, and spend the balance."""
    if state.delay is None or waited < state.delay or state.balance < HEDGE_COST:
        return state, False
    return state._replace(balance=state.balance - 1), True


def _percentile(latencies: list[float]) -> float:
    ordered = sorted(latencies)
    return ordered[ceil(len(ordered) * HEDGE_PERCENTILE / 100) - 1]
