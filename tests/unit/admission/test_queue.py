"""Admission, queueing, refusal and fair order of requests."""

from clementinebend_admission.queue import (
    Admitted,
    Arrival,
    Queued,
    Refused,
    arrive,
    cancel,
    empty_admission,
    expire,
    finish,
    set_capacity,
)
from clementinebend_records.reasons import NotRunReason


def arrival(request: str, team: str = "desk", **changes: float) -> Arrival:
    fields = Arrival(request, team, 1.0, 0, 100, 1000.0)
    return fields._replace(**changes)  # type: ignore[arg-type]


def test_runs_at_once_then_queues_then_runs() -> None:
    state = empty_admission(slots=1)
    state, first = arrive(state, arrival("a"), 0.0)
    state, second = arrive(state, arrival("b"), 0.0)
    assert first == Admitted("a")
    assert isinstance(second, Queued)
    state, started = finish(state, "a", 50, 1.0)
    assert started == (Admitted("b"),)


def test_lower_priority_number_of_a_team_goes_first() -> None:
    state = empty_admission(slots=1)
    state, _ = arrive(state, arrival("running"), 0.0)
    state, _ = arrive(state, arrival("low", priority=5), 0.0)
    state, _ = arrive(state, arrival("high"), 0.0)
    state, started = finish(state, "running", 100, 1.0)
    assert started == (Admitted("high"),)


def test_refuses_on_arrival_what_cannot_start_in_time() -> None:
    state = empty_admission(slots=1)
    state, _ = arrive(state, arrival("a"), 0.0)
    state, _ = finish(state, "a", 100, 4.0)
    state, _ = arrive(state, arrival("b"), 4.0)
    state, _ = arrive(state, arrival("c"), 4.0)
    state, outcome = arrive(state, arrival("d", deadline=9.0), 4.0)
    assert isinstance(outcome, Refused)
    assert outcome.reason is NotRunReason.DEADLINE
    assert 3_000 <= outcome.retry_after_ms <= 4_500


def test_refuses_on_arrival_while_there_is_no_capacity() -> None:
    state = empty_admission(slots=0)
    _, outcome = arrive(state, arrival("a"), 0.0)
    assert isinstance(outcome, Refused)
    assert outcome.reason is NotRunReason.NO_ENDPOINT
    assert outcome.retry_after_ms >= 1_000


def test_full_queue_still_takes_a_small_team() -> None:
    state = empty_admission(slots=1, queue_limit=10)
    for number in range(11):
        state, _ = arrive(state, arrival(f"greedy{number}", "greedy"), 0.0)
    state, greedy = arrive(state, arrival("one more", "greedy"), 0.0)
    state, small = arrive(state, arrival("small", "small"), 0.0)
    assert isinstance(greedy, Refused)
    assert greedy.reason is NotRunReason.OVERLOADED
    assert isinstance(small, Queued)


def test_overdue_requests_are_refused_once_and_never_run() -> None:
    state = empty_admission(slots=1)
    state, _ = arrive(state, arrival("a"), 0.0)
    state, _ = arrive(state, arrival("late", deadline=2.0), 0.0)
    state, started = finish(state, "a", 100, 3.0)
    assert started == ()
    state, refused = expire(state, 3.0)
    assert [one.request for one in refused] == ["late"]
    assert expire(state, 4.0)[1] == ()


def test_more_capacity_and_cancelling_start_waiting_requests() -> None:
    state = empty_admission(slots=1)
    for request in "abc":
        state, _ = arrive(state, arrival(request), 0.0)
    state, started = set_capacity(state, 2)
    assert started == (Admitted("b"),)
    state, started = cancel(state, "a", 1.0)
    assert started == (Admitted("c"),)


def test_more_capacity_starts_nothing_overdue() -> None:
    state = empty_admission(slots=1)
    state, _ = arrive(state, arrival("a"), 0.0)
    state, _ = arrive(state, arrival("late", deadline=2.0), 0.0)
    state, started = set_capacity(state, 2, now=2.0)
    assert started == ()
    assert [one.request for one in expire(state, 2.0)[1]] == ["late"]


def test_an_idle_team_accumulates_no_service() -> None:
    state = empty_admission(slots=1)
    state, _ = arrive(state, arrival("idle0", "idle"), 0.0)
    state, _ = finish(state, "idle0", 100, 1.0)
    for number in range(20):
        state, _ = arrive(state, arrival(f"busy{number}", "busy"), 1.0)
    for number in range(10):
        state, _ = finish(state, f"busy{number}", 100, 2.0)
    for number in range(1, 6):
        state, _ = arrive(state, arrival(f"idle{number}", "idle"), 3.0)
    order = []
    running = "busy10"
    for _ in range(6):
        state, (started,) = finish(state, running, 100, 4.0)
        running = started.request
        order.append(running[:4])
    assert order.count("idle") == 3
