"""The retries that one entry counts for a service."""

from clementinebend_admission.retry_window import RetryLimits, RetryWindow

LIMITS = RetryLimits(ratio=0.0, slack=5.0, window=10.0)
"""Allows four retries in a window."""


def test_a_retry_that_is_given_back_is_allowed_again() -> None:
    """Guards against retries that are counted and never sent."""
    window = RetryWindow()
    assert [window.may_retry(LIMITS, 1, float(at)) for at in range(5)] == [
        True,
        True,
        True,
        True,
        False,
    ]
    window.refund_retry(3.0)
    assert list(window.retries) == [0.0, 1.0, 2.0]
    assert window.may_retry(LIMITS, 1, 5.0)


def test_no_earlier_retry_is_given_back() -> None:
    """Guards against a larger budget by retries that others have sent."""
    window = RetryWindow()
    window.may_retry(LIMITS, 1, 1.0)
    window.refund_retry(2.0)
    assert list(window.retries) == [1.0]


def test_requests_of_a_service_without_retries_are_forgotten() -> None:
    """Guards against memory that grows with each request of such a service."""
    window = RetryWindow()
    for at in range(100_000):
        window.on_request(LIMITS, at / 100)
    assert len(window.requests) <= 100 * LIMITS.window + 1


def test_requests_within_the_window_earn_retries() -> None:
    """Guards against requests that are forgotten too early."""
    limits = RetryLimits(ratio=0.5, slack=0.0, window=10.0)
    window = RetryWindow()
    for at in range(20):
        window.on_request(limits, float(at))
    assert [window.may_retry(limits, 1, 19.0) for _ in range(5)] == [True] * 4 + [False]
