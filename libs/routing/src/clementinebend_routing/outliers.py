"""Outlier ejection: an endpoint with repeated failures receives no requests for a time.

The time doubles with each consecutive ejection. Only a limited share of a service's
endpoints is ejected at one time: when most of them fail, the cause lies elsewhere, and
the remaining ones must not receive the whole load.
"""

from typing import NamedTuple

FAILURES_TO_EJECT = 4
"""Consecutive failures after which an endpoint is ejected."""

FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 120.0

MAX_EJECTED_SHARE = 0.34
"""Maximum share of a service's endpoints that is ejected at one time."""


class Health(NamedTuple):
    """Consecutive failures, ejections in a row, and the end of the latest ejection."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


def on_result(health: Health, ok: bool, may_eject: bool, now: float) -> Health:
    """Record the end of a run; ``may_eject`` allows one more ejection."""
    if ok:
        return health._replace(failures=0, ejections=0)
    failures = health.failures + 1
    if failures < FAILURES_TO_EJECT or not may_eject:
        return health._replace(failures=failures)
    seconds = FIRST_EJECTION_SECONDS * 2**health.ejections
    until = now + min(MAX_EJECTION_SECONDS, seconds)
    return Health(0, min(health.ejections + 1, 10), until)


def is_ejected(health: Health, now: float) -> bool:
    """Return whether the endpoint is ejected."""
    return now < health.ejected_until


def ejection_allowed(ejected: int, endpoints: int) -> bool:
    """Return whether one more of ``endpoints`` may be ejected."""
    return ejected + 1 <= max(1, int(endpoints * MAX_EJECTED_SHARE)) < endpoints
