"""Rate limits for endpoints that may be cold."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.cold_start import (
    WINDOW_SECONDS,
    ColdBound,
    PermitLimit,
    RecentCalls,
    cold_limit,
)

BOUND = ColdBound(1.5, 5.0)


def test_a_service_whose_endpoints_are_never_cold_has_no_limit() -> None:
    assert cold_limit(0.0, 13.0, BOUND) is None
    assert cold_limit(3.0, 0.0, BOUND) is None
    assert cold_limit(-1.0, 13.0, BOUND) is None


@given(st.floats(0.1, 1e4), st.floats(0.5, 4.0), st.floats(0.0, 50.0))
def test_counted_and_uncounted_calls_together_stay_within_the_bound(
    rate: float, overage: float, slack: float
) -> None:
    max_rate = max(1.0, rate * overage + slack)
    limit = cold_limit(3.0, rate, ColdBound(overage, slack))
    assert limit is not None
    assert (
        1
        <= limit.cold.max_sent
        <= limit.cold.max_total
        <= limit.warm.max_total
        <= max_rate
    )
    assert limit.uncounted_entries >= 0
    assert limit.cold.max_total + limit.uncounted_entries <= max_rate


@given(st.lists(st.tuples(st.floats(0.0, 0.3), st.booleans()), max_size=200))
def test_no_second_contains_more_calls_than_the_limit(
    requests: list[tuple[float, bool]],
) -> None:
    """A permit may remain unused, but no call is sent without one."""
    limit, now = PermitLimit(13, 18), 0.0
    recent = RecentCalls(-WINDOW_SECONDS)
    sent: list[float] = []
    for pause, is_sent in requests:
        now += pause
        if recent.request_permit(limit, now) and is_sent:
            recent.on_sent(now)
            sent.append(now)
    for start in sent:
        assert (
            sum(start <= at < start + WINDOW_SECONDS for at in sent) <= limit.max_sent
        )


def test_outstanding_permits_count_until_they_expire() -> None:
    recent = RecentCalls(-WINDOW_SECONDS)
    given = [recent.request_permit(PermitLimit(13, 18), 0.001 * i) for i in range(30)]
    assert given.count(True) == 18
    assert recent.request_permit(PermitLimit(13, 18), 0.2)


def test_permits_are_undecided_in_the_first_second_of_a_count() -> None:
    recent, limit = RecentCalls(7.0), PermitLimit(1, 1)
    recent.on_sent(7.1)
    assert recent.request_permit(limit, 7.0 + WINDOW_SECONDS - 0.01) is None
    assert recent.request_permit(limit, 7.0 + WINDOW_SECONDS) is False
    assert recent.request_permit(limit, 9.0) is True
