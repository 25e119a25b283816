"""Inputs and outcomes of admission.

Times are monotonic seconds, amounts are in tokens.
"""

from typing import NamedTuple

from clementinebend_records.reasons import NotRunReason


class Capacity(NamedTuple):
    """Maximum number of concurrent requests and, if set, of their reserved tokens."""

    slots: int
    tokens: int | None = None


class Arrival(NamedTuple):
    """A new request.

    ``tokens`` is the upper bound of its cost, ``deadline`` the time by which it
    must have started. Among requests of one team the lowest ``priority`` number
    is served first, as on the engines.
    """

    request: str
    team: str
    weight: float
    priority: int
    tokens: int
    deadline: float


class Admitted(NamedTuple):
    """The request starts now and holds capacity until ``finish`` or ``cancel``."""

    request: str


class Queued(NamedTuple):
    """The request waits; ``Admitted`` or ``Refused`` follows."""

    request: str
    expected_wait: float


class Refused(NamedTuple):
    """The request does not run; ``retry_after_ms`` is based on the expected wait."""

    reason: NotRunReason
    retry_after_ms: int
    request: str


AdmissionOutcome = Admitted | Queued | Refused
