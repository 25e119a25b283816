"""How a run ended, as far as this entry knows."""

from typing import NamedTuple

from clementinebend_records.messages import Receipt
from clementinebend_records.reasons import NotRunReason


class RunWhole(NamedTuple):
    """The endpoint gave a whole answer."""

    receipt: Receipt


class RunNotRun(NamedTuple):
    """It is proved that the run did not take place."""

    reason: NotRunReason
    retry_after_ms: int


class RunBroke(NamedTuple):
    """The run began and failed; ``receipt`` is what it cost."""

    message: str
    receipt: Receipt


class RunUncertain(NamedTuple):
    """The sidecar cannot say what the run did or cost."""

    message: str


class SidecarGone(NamedTuple):
    """Another incarnation answers at the sidecar's address."""


class SidecarUnreachable(NamedTuple):
    """The sidecar could not be reached again in time."""


RunResult = (
    RunWhole | RunNotRun | RunBroke | RunUncertain | SidecarGone | SidecarUnreachable
)
