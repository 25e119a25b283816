"""Rate limit of endpoints that come back cold and idle during a burst."""

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.cold_endpoints import MAX_COLD_SECONDS, ColdEndpoints
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.models import Endpoint
from clementinebend_transport.client_connection import Address
from tests.unit.relay.cold_world import (
    BOUND,
    COLD_SERVICE,
    MAX_CALLS_PER_SECOND,
    Load,
    Outcome,
    simulate,
)

SIZES = [30, 400]
LOW_RATE, BURST_RATE = 190.0, 400.0
MIN_COLD_RATE = 5.0
"""Minimum rate of calls to a cold endpoint a second; guards against starving it."""

COLD_ENDPOINTS = 6
COLD_LOAD_SECONDS = 1.7
"""Seconds of load between the end of the evacuation and the end of the simulation."""

ENDPOINT = Endpoint("e", "pool", Address("10.9.0.1", 80), "b", 64, False)


def outcome_of(entries: int, load: Load, seed: int = 1) -> Outcome:
    outcome: Outcome = run_virtually(simulate(entries, load, seed))
    return outcome


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("rate", [LOW_RATE, BURST_RATE])
def test_a_zone_that_comes_back_cold_stays_within_the_bound(
    entries: int, rate: float
) -> None:
    outcome = outcome_of(entries, Load(rate))
    assert outcome.max_calls_per_second <= MAX_CALLS_PER_SECOND
    assert outcome.served >= 0.99 * outcome.calls


@pytest.mark.parametrize("entries", SIZES)
def test_cold_endpoints_are_not_starved(entries: int) -> None:
    outcome = outcome_of(entries, Load(BURST_RATE))
    assert outcome.cold_calls >= COLD_ENDPOINTS * MIN_COLD_RATE * COLD_LOAD_SECONDS


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize(
    "load",
    [
        Load(BURST_RATE, loss=0.05),
        Load(BURST_RATE, keepers_restarted_at=0.7),
        Load(BURST_RATE, keepers_restarted_at=0.5),
        Load(BURST_RATE, disconnected_entries=0.3),
        Load(BURST_RATE, disconnected_entries=1.0),
        Load(BURST_RATE, disconnected_entries=0.3, keepers_restarted_at=1.1, loss=0.03),
    ],
)
def test_the_limit_holds_under_faults(entries: int, load: Load) -> None:
    assert outcome_of(entries, load).max_calls_per_second <= MAX_CALLS_PER_SECOND


def cold_endpoints_with(now: list[float], names: int = 1) -> ColdEndpoints:
    directory = Directory()
    for number in range(names):
        item = Announcement(f"entry-{number}#1", "z", "10.1.0.1", number)
        directory.put(f"entry-{number}", item)
    cold = ColdEndpoints("entry-0", directory, lambda: now[0])
    cold.configure([COLD_SERVICE], BOUND)
    return cold


def test_an_endpoint_is_cold_after_start_evacuation_and_by_announcement() -> None:
    now = [100.0]
    cold, state = cold_endpoints_with(now), EndpointState(ENDPOINT, 100.0)
    assert cold.is_cold(state)
    now[0] = 103.1
    assert not cold.is_cold(state)
    state.endpoint = ENDPOINT._replace(cold_seconds=2.0)
    cold.on_announced(state)
    assert cold.is_cold(state)
    now[0] = 105.2
    assert not cold.is_cold(state)
    cold.on_evacuation_ended("b")
    assert cold.is_cold(state)


def test_an_announced_cold_time_is_capped() -> None:
    now = [100.0]
    cold, state = cold_endpoints_with(now), EndpointState(ENDPOINT, 0.0)
    state.endpoint = ENDPOINT._replace(cold_seconds=1e300)
    cold.on_announced(state)
    now[0] += MAX_COLD_SECONDS + 1.0
    assert not cold.is_cold(state)


def test_an_endpoint_that_is_reachable_again_may_be_cold() -> None:
    now = [100.0]
    cold, state = cold_endpoints_with(now), EndpointState(ENDPOINT, 0.0)
    state.on_unreachable(100.0)
    now[0] = 104.0
    state.on_heard(104.0)
    assert cold.is_cold(state)


def test_an_entry_sends_at_most_one_uncounted_call_a_second() -> None:
    now = [100.0]
    cold, state = cold_endpoints_with(now), EndpointState(ENDPOINT, 100.0)
    assert not cold.may_send(state, None)
    cold.directory.known.set()
    assert cold.may_send(state, None)
    state.last_sent_at = 100.0
    now[0] = 100.9
    assert not cold.may_send(state, None)
    now[0] = 101.2
    assert cold.may_send(state, None)


def test_all_entries_select_the_same_entries_for_uncounted_calls() -> None:
    now = [100.0]
    allowed = 0
    for number in range(30):
        cold, state = cold_endpoints_with(now, 30), EndpointState(ENDPOINT, 100.0)
        cold.directory.known.set()
        cold.name = f"entry-{number}"
        allowed += cold.may_send(state, None)
    assert allowed == cold.limits["pool"].uncounted_entries
