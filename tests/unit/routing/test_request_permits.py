"""Permits of an endpoint that names a request limit, under lost and late messages."""

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.request_permits import (
    BACKUP_SHARE,
    MIN_RATE,
    RAMP_SECONDS,
    CallClass,
    EndpointPermits,
)
from tests.lib.limit_rule import WINDOW_SECONDS, allowed_in_window

CALLS = CallClass(0, "team")
MAX_FLIGHT_SECONDS = 0.5
"""Longest time between a permit and the arrival of its call."""

RATES = st.sampled_from([0.0, 0.2, 0.4, 1.0, 1.8, 3.0, 10.0])


class Step(NamedTuple):
    """An event at the keeper, ``after`` seconds later; 1 in some requests is lost."""

    after: float
    flight: float
    is_backup: bool
    is_repeated: bool
    is_lost: bool
    restarts: bool


STEPS = st.lists(
    st.builds(
        Step,
        st.floats(0.0, 1.0),
        st.floats(0.0, MAX_FLIGHT_SECONDS),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.sampled_from([True] + [False] * 30),
    ),
    min_size=20,
    max_size=200,
)


def limited(rate: float, now: float = 0.0) -> EndpointPermits:
    permits = EndpointPermits(now)
    permits.change(RequestLimit(1, rate), now)
    return permits


def most_in_a_window(times: list[float]) -> int:
    return max(
        (sum(first <= at <= first + WINDOW_SECONDS for at in times) for first in times),
        default=0,
    )


@settings(max_examples=300, deadline=None)
@given(RATES, STEPS)
def test_calls_stay_within_the_bound_in_any_window(
    rate: float, steps: list[Step]
) -> None:
    """Answers are lost, requests repeated, calls held up, and the keeper restarts.

    The keeper and its backup grant permits at the same time.
    """
    now, keeper, backup = 0.0, limited(rate), limited(rate)
    arrivals = []
    for number, step in enumerate(steps):
        now += step.after
        if step.restarts:
            keeper = limited(rate, now)
        granting = backup if step.is_backup else keeper
        request = f"r{number}"
        answers = [
            granting.request(request, CALLS, step.is_backup, now)
            for _ in range(1 + step.is_repeated)
        ]
        if answers[-1].is_granted and not step.is_lost:
            keeper.on_sent(request, now)
            arrivals.append(now + step.flight)
    assert most_in_a_window(arrivals) <= allowed_in_window(rate)


@pytest.mark.parametrize("rate", [0.4, 1.0, 1.8, 10.0])
def test_a_limit_is_used_when_there_is_demand(rate: float) -> None:
    permits, granted, seconds = limited(rate), 0, 60.0
    steps = int(seconds * 20)
    for number in range(steps):
        now = number * seconds / steps
        granted += permits.request(f"r{number}", CALLS, False, now).is_granted
    assert 0.9 * rate * seconds <= granted <= rate * seconds + 1


def test_an_endpoint_that_takes_nothing_is_tried_again() -> None:
    permits = limited(0.0)
    granted = [
        now
        for now in range(0, 60)
        if permits.request(f"r{now}", CALLS, False, float(now)).is_granted
    ]
    assert len(granted) == pytest.approx(60 * MIN_RATE, abs=1)


def test_a_backup_grants_a_part_of_the_limit() -> None:
    permits = limited(4.0)
    granted = sum(
        permits.request(f"r{number}", CALLS, True, number * 0.05).is_granted
        for number in range(1_200)
    )
    assert granted <= 60 * 4.0 * BACKUP_SHARE + 1


def test_a_call_without_a_permit_is_charged() -> None:
    permits = limited(1.0)
    permits.on_sent("unasked", 1.0)
    assert permits.wait(CALLS, 1.0) == pytest.approx(1.0)


def test_a_call_with_a_permit_is_charged_once() -> None:
    permits = limited(1.0)
    assert permits.request("r", CALLS, False, 1.0).is_granted
    permits.on_sent("r", 1.0)
    assert permits.wait(CALLS, 2.0) == 0.0


def test_calls_that_share_an_id_need_a_permit_each() -> None:
    permits = limited(1.0)
    assert permits.request("r", CALLS, False, 1.0).is_granted
    assert not permits.request("r", CALLS, False, 1.0).is_granted
    permits.on_sent("r", 1.0)
    permits.on_sent("r", 1.0)
    assert permits.wait(CALLS, 1.0) == pytest.approx(2.0)


def test_a_released_endpoint_gets_calls_in_growing_numbers() -> None:
    permits = limited(0.4)
    permits.change(RequestLimit(2, None), 10.0)
    granted = [
        now
        for number in range(1_000)
        if permits.request(
            f"r{number}", CALLS, False, now := 10.0 + number * RAMP_SECONDS / 1_000
        ).is_granted
    ]
    first = sum(now < 11.0 for now in granted)
    last = sum(now >= 12.0 for now in granted)
    assert first <= 5 < last
    assert permits.wait(CALLS, 10.0 + RAMP_SECONDS) is None


def test_urgent_calls_get_all_that_they_need() -> None:
    permits = limited(10.0)
    urgent, other = CallClass(0, "team"), CallClass(1, "team")
    granted = {urgent: 0, other: 0}
    for number in range(6_000):
        now = number * 0.01
        if number % 20 == 0:
            granted[urgent] += permits.request(f"u{now}", urgent, False, now).is_granted
        granted[other] += permits.request(f"o{now}", other, False, now).is_granted
    assert granted[urgent] >= 0.95 * 300
    assert granted[urgent] + granted[other] >= 0.9 * 600


def test_teams_get_equal_parts_and_small_ones_all_that_they_need() -> None:
    permits = limited(10.0)
    loads = {"large": 1, "larger": 1, "small": 100}
    granted = dict.fromkeys(loads, 0)
    asked = dict.fromkeys(loads, 0)
    for number in range(6_000):
        now = number * 0.01
        for team, every in loads.items():
            if number % every == 0:
                asked[team] += 1
                request = f"{team}{number}"
                answer = permits.request(request, CallClass(0, team), False, now)
                granted[team] += answer.is_granted
    assert granted["small"] >= 0.95 * asked["small"]
    assert granted["large"] == pytest.approx(granted["larger"], rel=0.1)
    assert sum(granted.values()) >= 0.9 * 600
