"""Hedging of idempotent look-ups: a second attempt for the slowest few.

A look-up that has waited longer than 95 in 100 of the recent ones took may be
sent to a second endpoint, and the first answer is used. Hedges are kept to a
small share of the look-ups, so that they stop when everything is slow.
Source: Dean and Barroso, "The Tail at Scale" (CACM, 2013).
"""

from math import ceil
from typing import NamedTuple

HEDGE_RATIO = 0.05
"""Hedges allowed for each look-up."""

MAX_HEDGE_BALANCE = 5.0
"""Most hedges that a quiet time can save up."""

HEDGE_COST = 1 - 1e-9
"""A whole hedge, less the rounding error of adding up ratios."""

HEDGE_PERCENTILE = 95
MAX_SAMPLES = 400
MIN_SAMPLES = 40
"""Without so many latencies the percentile says too little."""

SAMPLES_PER_UPDATE = 20
"""Latencies after which the percentile is worked out anew."""


class HedgingState(NamedTuple):
    """Recent latencies in seconds, oldest first, and hedges left.

    ``delay`` is the percentile of the latencies, ``None`` while too few are
    known; ``new_samples`` counts latencies since it was worked out.
    """

    ratio: float
    balance: float
    latencies: list[float]
    new_samples: int = 0
    delay: float | None = None


def initial_hedging(ratio: float = HEDGE_RATIO) -> HedgingState:
    """Return hedging before the first look-up."""
    return HedgingState(ratio, 0.0, [])


def on_look_up(state: HedgingState, now: float) -> HedgingState:
    """Count a look-up that is sent for the first time."""
    return state._replace(balance=min(MAX_HEDGE_BALANCE, state.balance + state.ratio))


def on_latency(state: HedgingState, latency: float, now: float) -> HedgingState:
    """Take the latency of a look-up's answer, from its first attempt on."""
    state.latencies.append(latency)
    del state.latencies[:-MAX_SAMPLES]
    state = state._replace(new_samples=state.new_samples + 1)
    if len(state.latencies) < MIN_SAMPLES:
        return state
    if state.delay is not None and state.new_samples < SAMPLES_PER_UPDATE:
        return state
    return state._replace(new_samples=0, delay=_percentile(state.latencies))


def hedge_delay(state: HedgingState) -> float | None:
    """Return after how long a look-up is slow, or ``None`` if that is unknown."""
    return state.delay


def may_hedge(
    state: HedgingState, waited: float, now: float
) -> tuple[HedgingState, bool]:
    """Tell whether to hedge a look-up that has ``waited``; if so it is counted."""
    if state.delay is None or waited < state.delay or state.balance < HEDGE_COST:
        return state, False
    return state._replace(balance=state.balance - 1), True


def _percentile(latencies: list[float]) -> float:
    ordered = sorted(latencies)
    return ordered[ceil(len(ordered) * HEDGE_PERCENTILE / 100) - 1]
