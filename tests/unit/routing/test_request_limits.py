"""The order of what is heard of an endpoint's request limit."""

from itertools import permutations
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.request_limits import (
    MAX_VERSION,
    NO_LIMIT,
    RequestLimit,
    allowed,
    merge_limits,
    on_answer,
)

RATES = st.one_of(st.none(), st.sampled_from([0.0, 0.4, 1.8, 1e6]))
LIMITS = st.builds(RequestLimit, st.integers(0, 3), RATES)


def test_a_new_figure_replaces_the_old_one_up_or_down() -> None:
    known = on_answer(NO_LIMIT, 0, 1.8)
    for rate in (0.4, 3.0, 0.0, 1e6, None, 2.0):
        known = on_answer(known, known.version, rate)
        assert known.rate == rate


def test_an_answer_to_an_earlier_call_does_not_end_or_raise_a_limit() -> None:
    known = on_answer(NO_LIMIT, 0, 1.8)
    assert on_answer(known, 0, None) == known
    assert on_answer(known, 0, 2.0) == known
    assert on_answer(known, 0, 0.4).rate == 0.4


@given(st.lists(LIMITS, min_size=1, max_size=4))
def test_entries_that_hear_the_same_in_any_order_know_the_same(
    reported: list[RequestLimit],
) -> None:
    outcomes = set()
    for order in permutations(reported):
        known = NO_LIMIT
        for limit in order:
            known = merge_limits(known, merge_limits(known, limit))
        outcomes.add(known)
    assert len(outcomes) == 1


@given(LIMITS, LIMITS)
def test_a_report_never_ends_a_limit_of_the_same_or_a_later_version(
    known: RequestLimit, reported: RequestLimit
) -> None:
    merged = merge_limits(known, reported)
    if reported.version <= known.version:
        assert allowed(merged.rate) <= allowed(known.rate)


@given(LIMITS, st.floats(), st.integers())
def test_a_report_that_makes_no_sense_changes_nothing(
    known: RequestLimit, rate: float, version: int
) -> None:
    if not (rate >= 0.0 and rate < inf) or not 0 <= version <= MAX_VERSION:
        assert merge_limits(known, RequestLimit(version, rate)) == known
