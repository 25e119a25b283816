"""Detection of the request that causes endpoints to end."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_routing.fatal_runs import (
    CONCLUSIVE_ENDS,
    MAX_RUNS,
    MIN_FATAL_ENDS,
    MIN_MIXED_ENDS,
    Evidence,
    FatalRun,
    is_fatal,
    is_same_point,
    is_suspected,
    runs_at_same_point,
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


SEQUENTIAL = evidence_of((0.0, 0.1), (0.3, 0.4), (0.6, 0.7))


def test_three_sequential_ends_are_fatal() -> None:
    assert is_suspected(SEQUENTIAL[:2])
    assert not is_fatal(SEQUENTIAL[:2], ())
    assert is_fatal(SEQUENTIAL, ())


def test_concurrent_ends_count_as_one() -> None:
    concurrent = evidence_of(*[(0.1 * number, 1.0) for number in range(9)])
    assert sequential_ends(concurrent) == 1
    assert not is_fatal(concurrent, ())


def test_overlapping_runs_count_only_where_they_are_sequential() -> None:
    overlapping = evidence_of((0.0, 0.15), (0.1, 0.25), (0.2, 0.35), (0.3, 0.45))
    assert sequential_ends(overlapping) == 2


def test_an_endpoint_counts_once_and_evidence_is_bounded() -> None:
    evidence: Evidence = ()
    for number in range(3 * MAX_RUNS):
        run = FatalRun(f"e{number}", number, number + 0.5)
        evidence = with_run(with_run(evidence, run), run)
    assert len(evidence) == MAX_RUNS
    assert evidence[-1].endpoint == f"e{3 * MAX_RUNS - 1}"


def test_another_request_at_all_ends_delays_the_decision() -> None:
    assert not is_fatal(SEQUENTIAL, [SEQUENTIAL])
    assert is_fatal(SEQUENTIAL, [SEQUENTIAL[:2]])
    more = evidence_of(*[(number, number + 0.5) for number in range(5)])
    assert sequential_ends(more) == CONCLUSIVE_ENDS
    assert is_fatal(more, [more])


def test_a_withdrawn_end_does_not_count() -> None:
    assert not is_fatal(without_endpoints(SEQUENTIAL, ["e1"]), ())


@given(st.lists(runs, max_size=12))
def test_the_order_of_reports_does_not_matter(taken: list[FatalRun]) -> None:
    in_order: Evidence = ()
    reversed_order: Evidence = ()
    for run in taken:
        in_order = with_run(in_order, run)
    for run in reversed(taken):
        reversed_order = with_run(reversed_order, run)
    assert sequential_ends(in_order) == sequential_ends(reversed_order)


@given(st.lists(runs, max_size=8))
def test_the_sequence_is_the_longest_possible(taken: list[FatalRun]) -> None:
    evidence = tuple({run.endpoint: run for run in taken}.values())
    assert sequential_ends(evidence) == _longest_sequence(evidence, -1.0)


def _longest_sequence(evidence: Evidence, last: float) -> int:
    """Return the length of the longest sequence by exhaustive search."""
    following = [
        run for run in evidence if run.sent_at >= last - 0.02 and run.ended_at > last
    ]
    return max(
        (1 + _longest_sequence(evidence, run.ended_at) for run in following), default=0
    )


def test_fewer_ends_than_the_minimum_are_not_fatal() -> None:
    assert MIN_FATAL_ENDS == 3
    for ends in range(MIN_FATAL_ENDS):
        assert not is_fatal(SEQUENTIAL[:ends], ())


MIXED = evidence_of((0.0, 0.9), (1.0, 1.4), (1.5, 2.2), (2.3, 3.2))


def test_ends_at_different_points_are_fatal_only_if_there_are_more() -> None:
    """Guards against a popular request that is present wherever endpoints end."""
    assert sequential_ends(MIXED) == MIN_MIXED_ENDS
    assert not is_fatal(MIXED[:MIN_FATAL_ENDS], ())
    assert is_fatal(MIXED, ())


def test_a_request_that_ran_well_before_is_fatal_only_after_conclusive_ends() -> None:
    """Guards against history that is ignored, and against history that protects."""
    more = evidence_of(*[(number, number + 0.5) for number in range(CONCLUSIVE_ENDS)])
    assert not is_fatal(more[:-1], (), has_run_well=True)
    assert is_fatal(more, (), has_run_well=True)


def test_another_request_that_was_there_at_other_points_is_not_the_cause() -> None:
    """Guards against a popular neighbour that delays the decision about the cause."""
    neighbour = tuple(
        run._replace(sent_at=run.sent_at - delay)
        for run, delay in zip(SEQUENTIAL, (0.0, 0.5, 1.5), strict=True)
    )
    assert is_fatal(SEQUENTIAL, [neighbour])


def test_a_run_that_waited_shortly_was_interrupted_at_the_same_point() -> None:
    """Guards against a queue at the endpoint that hides the cause."""
    at_once, queued = evidence_of((0.0, 0.01), (1.0, 1.25))
    assert is_same_point(at_once, queued)


def test_streams_are_compared_by_the_time_since_their_first_events() -> None:
    """Guards against a slow first event that makes equal points look different."""
    early, late = evidence_of((0.0, 0.6), (1.0, 2.9))
    early = early._replace(first_event_at=0.1)
    late = late._replace(first_event_at=2.4)
    assert is_same_point(early, late)
    assert not is_same_point(early, late._replace(first_event_at=2.8))


def test_a_report_without_a_first_event_is_compared_by_the_time_since_sending() -> None:
    """Guards against reports of older builds, which name no first event."""
    known, unknown = evidence_of((0.0, 0.5), (1.0, 1.5))
    assert is_same_point(known._replace(first_event_at=0.05), unknown)


@given(st.lists(runs, max_size=8))
def test_runs_at_one_point_are_part_of_the_evidence(taken: list[FatalRun]) -> None:
    evidence = tuple({run.endpoint: run for run in taken}.values())
    group = runs_at_same_point(evidence)
    assert set(group) <= set(evidence)
    assert bool(group) == bool(evidence)


def test_the_earliest_first_event_at_an_endpoint_is_kept() -> None:
    """Guards against a report of a newer run that hides how long the first one ran."""
    first = FatalRun("e", 0.0, 1.0, 0.6)
    newer = FatalRun("e", 0.5, 1.0, 0.4)
    for reports in ((first, newer), (newer, first)):
        evidence: Evidence = ()
        for run in reports:
            evidence = with_run(evidence, run)
        assert evidence == (first._replace(first_event_at=0.4),)
