"""Results of a run as known to this entry."""

from typing import NamedTuple

from clementinebend_records.messages import Receipt
from clementinebend_records.reasons import NotRunReason


class RunWhole(NamedTuple):
    """The endpoint returned a complete answer."""

    receipt: Receipt


class RunNotRun(NamedTuple):
    """The run is proved not to have executed."""

    reason: NotRunReason
    retry_after_ms: int


class RunBroke(NamedTuple):
    """The run started and failed; ``receipt`` states its cost."""

    message: str
    receipt: Receipt


class RunUncertain(NamedTuple):
    """The sidecar does not know what the run did or cost."""

    message: str


class SidecarGone(NamedTuple):
    """Another incarnation now serves the sidecar's address."""


class SidecarUnreachable(NamedTuple):
    """The sidecar could not be reached again in time."""


RunResult = (
    RunWhole | RunNotRun | RunBroke | RunUncertain | SidecarGone | SidecarUnreachable
)
