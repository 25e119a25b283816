"""When a process is taken for gone by what it leaves unanswered."""

from clementinebend_membership.suspicion import (
    ANSWER_TIMEOUT,
    MAX_UNANSWERED,
    FailureDetector,
)

STEP = 1.5 * ANSWER_TIMEOUT


def asked(times: int, step: float = STEP) -> tuple[FailureDetector, float]:
    """Return what is thought of a process that was asked some times in a row."""
    suspicions, now = FailureDetector(), 100.0
    for _ in range(times):
        suspicions.on_asked("b", now)
        now += step
    return suspicions, now


def test_a_process_is_suspected_after_some_questions_and_time_to_answer() -> None:
    suspicions, now = asked(MAX_UNANSWERED)
    assert suspicions.is_suspected("b", now)
    assert not suspicions.is_suspected("b", now - STEP)
    assert not suspicions.is_suspected("other", now)


def test_fewer_questions_leave_no_suspicion_however_long_ago() -> None:
    suspicions, now = asked(MAX_UNANSWERED - 1)
    assert not suspicions.is_suspected("b", now + 60)


def test_questions_at_once_count_as_one() -> None:
    suspicions, now = asked(50, step=0.0)
    assert not suspicions.is_suspected("b", now + 60)


def test_any_word_ends_the_suspicion() -> None:
    suspicions, now = asked(MAX_UNANSWERED)
    suspicions.on_heard("b")
    assert not suspicions.is_suspected("b", now)


def test_boots_that_ended_are_forgotten() -> None:
    suspicions, _ = asked(MAX_UNANSWERED)
    suspicions.retain_only(frozenset({"other"}))
    assert not suspicions.unanswered
