"""When a process is suspected because of unanswered requests."""

from clementinebend_membership.suspicion import (
    ANSWER_TIMEOUT,
    MAX_UNANSWERED,
    FailureDetector,
)

STEP = 1.5 * ANSWER_TIMEOUT


def after_requests(count: int, step: float = STEP) -> tuple[FailureDetector, float]:
    """Return a detector after ``count`` unanswered requests to one process."""
    detector, now = FailureDetector(), 100.0
    for _ in range(count):
        detector.on_asked("b", now)
        now += step
    return detector, now


def test_a_process_is_suspected_after_unanswered_requests_and_the_timeout() -> None:
    detector, now = after_requests(MAX_UNANSWERED)
    assert detector.is_suspected("b", now)
    assert not detector.is_suspected("b", now - STEP)
    assert not detector.is_suspected("other", now)


def test_fewer_requests_never_cause_suspicion() -> None:
    detector, now = after_requests(MAX_UNANSWERED - 1)
    assert not detector.is_suspected("b", now + 60)


def test_concurrent_requests_count_as_one() -> None:
    detector, now = after_requests(50, step=0.0)
    assert not detector.is_suspected("b", now + 60)


def test_any_message_clears_the_suspicion() -> None:
    detector, now = after_requests(MAX_UNANSWERED)
    detector.on_heard("b")
    assert not detector.is_suspected("b", now)


def test_a_further_request_does_not_clear_the_suspicion() -> None:
    """Guards against a dead process that counts as live whenever it is checked."""
    detector, now = after_requests(MAX_UNANSWERED)
    for _ in range(20):
        detector.on_asked("b", now)
        assert detector.is_suspected("b", now)
        now += ANSWER_TIMEOUT / 2


def test_state_of_ended_boots_is_dropped() -> None:
    detector, _ = after_requests(MAX_UNANSWERED)
    detector.retain_only(frozenset({"other"}))
    assert not detector.unanswered
