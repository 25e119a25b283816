"""Hedging of the slowest look-ups, within its share of all look-ups."""

from clementinebend_routing.hedging import (
    HedgingState,
    hedge_delay,
    initial_hedging,
    may_hedge,
    on_latency,
    on_look_up,
)


def with_latencies(latencies: list[float]) -> HedgingState:
    state = initial_hedging(ratio=0.05)
    for latency in latencies:
        state = on_look_up(state, 0.0)
        state = on_latency(state, latency, 0.0)
    return state


def test_hedges_after_the_95th_percentile() -> None:
    state = with_latencies([number / 100 for number in range(1, 101)])
    assert hedge_delay(state) == 0.95
    state, early = may_hedge(state, 0.94, 0.0)
    state, late = may_hedge(state, 0.95, 0.0)
    assert (early, late) == (False, True)


def test_does_not_hedge_before_the_minimum_of_samples() -> None:
    state = with_latencies([0.1] * 39)
    assert hedge_delay(state) is None
    assert not may_hedge(state, 100.0, 0.0)[1]


def test_hedges_stay_within_their_share_when_everything_is_slow() -> None:
    state = with_latencies([0.1] * 100)
    hedges = 0
    for _ in range(10_000):
        state = on_look_up(state, 0.0)
        state, allowed = may_hedge(state, 10.0, 0.0)
        hedges += allowed
    assert 490 <= hedges <= 506
