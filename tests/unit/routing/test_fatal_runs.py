"""Which request is taken for the cause of endpoints' ends."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.fatal_runs import (
    CONCLUSIVE_ENDS,
    MAX_RUNS,
    MIN_FATAL_ENDS,
    Evidence,
    FatalRun,
    is_fatal,
    is_suspected,
    sequential_ends,
    with_run,
    without_endpoints,
)

runs = st.builds(
    lambda number, sent, lasts: FatalRun(f"e{number}", sent, sent + lasts),
    st.integers(0, 8),
    st.floats(0, 10),
    st.floats(0, 2),
)


def evidence_of(*spans: tuple[float, float]) -> Evidence:
    return tuple(FatalRun(f"e{number}", *span) for number, span in enumerate(spans))


IN_SERIES = evidence_of((0.0, 0.1), (0.3, 0.4), (0.6, 0.7))


def test_three_ends_one_after_the_other_decide() -> None:
    assert is_suspected(IN_SERIES[:2])
    assert not is_fatal(IN_SERIES[:2], ())
    assert is_fatal(IN_SERIES, ())


def test_endpoints_that_end_together_are_no_more_than_one_end() -> None:
    together = evidence_of(*[(0.1 * number, 1.0) for number in range(9)])
    assert sequential_ends(together) == 1
    assert not is_fatal(together, ())


def test_runs_that_overlap_count_as_far_as_they_follow_one_another() -> None:
    overlapping = evidence_of((0.0, 0.15), (0.1, 0.25), (0.2, 0.35), (0.3, 0.45))
    assert sequential_ends(overlapping) == 2


def test_the_same_endpoint_counts_once_and_what_is_kept_is_bounded() -> None:
    evidence: Evidence = ()
    for number in range(3 * MAX_RUNS):
        run = FatalRun(f"e{number}", number, number + 0.5)
        evidence = with_run(with_run(evidence, run), run)
    assert len(evidence) == MAX_RUNS
    assert evidence[-1].endpoint == f"e{3 * MAX_RUNS - 1}"


def test_one_that_was_at_all_the_same_ends_leaves_it_undecided_for_a_while() -> None:
    assert not is_fatal(IN_SERIES, [IN_SERIES])
    assert is_fatal(IN_SERIES, [IN_SERIES[:2]])
    more = evidence_of(*[(number, number + 0.5) for number in range(5)])
    assert sequential_ends(more) == CONCLUSIVE_ENDS
    assert is_fatal(more, [more])


def test_an_endpoint_that_lives_takes_its_end_back() -> None:
    assert not is_fatal(without_endpoints(IN_SERIES, ["e1"]), ())


@given(st.lists(runs, max_size=12))
def test_the_order_in_which_word_comes_changes_nothing(taken: list[FatalRun]) -> None:
    forwards: Evidence = ()
    backwards: Evidence = ()
    for run in taken:
        forwards = with_run(forwards, run)
    for run in reversed(taken):
        backwards = with_run(backwards, run)
    assert sequential_ends(forwards) == sequential_ends(backwards)


@given(st.lists(runs, max_size=8))
def test_the_series_is_the_longest_there_is(taken: list[FatalRun]) -> None:
    evidence = tuple({run.endpoint: run for run in taken}.values())
    assert sequential_ends(evidence) == _longest(evidence, -1.0)


def _longest(evidence: Evidence, last: float) -> int:
    """Return the longest series by trying all, as the oracle."""
    following = [
        run for run in evidence if run.sent_at >= last - 0.02 and run.ended_at > last
    ]
    return max((1 + _longest(evidence, run.ended_at) for run in following), default=0)


def test_fewer_ends_than_allowed_never_decide() -> None:
    assert MIN_FATAL_ENDS == 3
    for ends in range(MIN_FATAL_ENDS):
        assert not is_fatal(IN_SERIES[:ends], ())
