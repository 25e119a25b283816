"""Which calls an entry still takes while it stops as planned."""

import pytest

from clementinebend_relay.models import Reason, Route, RouteKind
from clementinebend_relay.planned_stop import MAX_ROUTES, RECENT_CALLS, PlannedStop
from tests.unit.relay.calls import admitted, route

TIME_LIMIT = 5.0
ENDS_AT = 100.0
ONCE = route(RouteKind.ONCE)
SAFE = route(RouteKind.IDEMPOTENT)


def stop_at(seconds_left: float) -> PlannedStop:
    """Return an ordered stop that ends in so many seconds."""
    planned_stop = PlannedStop(lambda: ENDS_AT - seconds_left)
    planned_stop.ends_at = ENDS_AT
    return planned_stop


def test_every_call_is_taken_before_the_order() -> None:
    assert PlannedStop(lambda: 0.0).rejection(admitted(ONCE)) is None


@pytest.mark.parametrize(("left", "is_taken"), [(5.0, True), (4.9, False)])
def test_a_call_of_an_unknown_route_may_take_its_time_limit(
    left: float, is_taken: bool
) -> None:
    assert (stop_at(left).rejection(admitted(SAFE)) is None) == is_taken


def test_a_refused_call_has_not_run_and_returns_elsewhere_at_once() -> None:
    rejection = stop_at(1.0).rejection(admitted(SAFE))
    assert rejection is not None
    assert rejection.reason is Reason.STOPPING
    assert rejection.retry_after == 0.0
    assert rejection.is_last


@pytest.mark.parametrize(("of", "is_taken"), [(ONCE, False), (SAFE, True)])
def test_a_slow_call_counts_against_those_that_may_not_be_repeated(
    of: Route, is_taken: bool
) -> None:
    planned_stop = stop_at(1.0)
    for seconds in (*(0.5 for _ in range(RECENT_CALLS - 1)), 2.0):
        planned_stop.on_whole("r", seconds)
    assert (planned_stop.rejection(admitted(of)) is None) == is_taken


def test_a_call_is_never_expected_to_outlast_its_time_limit() -> None:
    planned_stop = stop_at(TIME_LIMIT)
    planned_stop.on_whole("r", 60.0)
    assert planned_stop.rejection(admitted(ONCE)) is None


def test_the_durations_of_routes_are_bounded() -> None:
    planned_stop = stop_at(1.0)
    for number in range(2 * MAX_ROUTES):
        planned_stop.on_whole(f"r{number}", 1.0)
    assert len(planned_stop.durations) == MAX_ROUTES
