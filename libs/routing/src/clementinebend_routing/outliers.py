"""Outlier ejection: endpoints that fail again and again get no work for a while.

The time doubles with each ejection in a row. Only a bounded share of a
service's endpoints is ejected at one time: when most fail, the fault lies
elsewhere, and the rest must not be buried under all of the load.
"""

from typing import NamedTuple

FAILURES_TO_EJECT = 4
"""Failures in a row that eject an endpoint."""

FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 120.0

MAX_EJECTED_SHARE = 0.34
"""Largest share of a service's endpoints that is ejected at one time."""


class Health(NamedTuple):
    """Failures in a row, ejections since the last success, and the latest end."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


def on_result(health: Health, ok: bool, may_eject: bool, now: float) -> Health:
    """Take the end of a run; ``may_eject`` tells that the share allows one more."""
    if ok:
        return health._replace(failures=0, ejections=0)
    failures = health.failures + 1
    if failures < FAILURES_TO_EJECT or not may_eject:
        return health._replace(failures=failures)
    seconds = FIRST_EJECTION_SECONDS * 2**health.ejections
    until = now + min(MAX_EJECTION_SECONDS, seconds)
    return Health(0, min(health.ejections + 1, 10), until)


def is_ejected(health: Health, now: float) -> bool:
    """Tell whether the endpoint is to get no work now."""
    return now < health.ejected_until


def ejection_allowed(ejected: int, endpoints: int) -> bool:
    """Tell whether one more of ``endpoints`` may be ejected beside ``ejected``."""
    return ejected + 1 <= max(1, int(endpoints * MAX_EJECTED_SHARE)) < endpoints
