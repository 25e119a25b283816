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
