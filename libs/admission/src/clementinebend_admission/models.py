"""What goes into admission and what comes out of it.

Times are monotonic seconds, amounts are in tokens.
"""

from typing import NamedTuple

from clementinebend_records.reasons import NotRun


class Capacity(NamedTuple):
    """What may run at one time: requests, and upper bounds of tokens if given."""

    slots: int
    tokens: int | None = None


class Arrival(NamedTuple):
    """A request at the door.

    ``tokens`` is its upper bound, ``deadline`` the time by which it must have
    started; among requests of one team the lower ``priority`` number goes
    first, as on the engines.
    """

    request: str
    team: str
    weight: float
    priority: int
    tokens: int
    deadline: float


class Admitted(NamedTuple):
    """The request runs now and holds capacity until ``finish``."""

    request: str


class Queued(NamedTuple):
    """The request waits; ``Admitted`` or ``Refused`` follows."""

    request: str
    expected_wait: float


class Refused(NamedTuple):
    """The request does not run; ``retry_after_ms`` follows from the state."""

    reason: NotRun
    retry_after_ms: int
    request: str


AdmissionOutcome = Admitted | Queued | Refused
