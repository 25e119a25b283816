"""Delays after which rejected callers return."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_admission.return_schedule import (
    MAX_DELAY,
    MIN_DELAY,
    ReturnSchedule,
)

DRAWS = st.floats(0.0, 1.0)


@given(st.sampled_from([0.0, 0.3, 4.0, 1e6]), st.lists(DRAWS, max_size=50))
def test_delays_stay_within_their_bounds(rate: float, draws: list[float]) -> None:
    schedule = ReturnSchedule()
    for draw in draws:
        assert MIN_DELAY <= schedule.next_delay(rate, 10.0, draw) <= MAX_DELAY


def test_callers_return_at_the_rate_that_can_be_served() -> None:
    schedule = ReturnSchedule()
    delays = [schedule.next_delay(4.0, 10.0, 0.5) for _ in range(15)]
    assert all(0.2 < later - earlier < 0.3 for earlier, later in pairwise(delays))


def test_those_for_whom_there_is_no_room_return_spread_out() -> None:
    schedule = ReturnSchedule()
    delays = {schedule.next_delay(0.0, 10.0, draw / 100) for draw in range(100)}
    assert len(delays) == 100
    assert max(delays) - min(delays) > MAX_DELAY / 2
