"""The bound on requests to an endpoint in need, by the users' page ("LIMIT")."""

from collections.abc import Iterable

WINDOW_SECONDS = 4.0
STABILITY_SECONDS = 3.0
"""Seconds after an endpoint first named its limit from which on the bound holds."""

OVERAGE = 1.5
SLACK = 5.0


def allowed_in_window(rate: float) -> float:
    """Return how many requests an endpoint with a limit may get in one window."""
    return OVERAGE * rate * WINDOW_SECONDS + SLACK


def most_in_window(times: Iterable[float], named_at: float) -> int:
    """Return the most arrivals in any window that begins once the bound holds."""
    counted = [at for at in times if at >= named_at + STABILITY_SECONDS]
    return max(
        (
            sum(first <= at <= first + WINDOW_SECONDS for at in counted)
            for first in counted
        ),
        default=0,
    )
