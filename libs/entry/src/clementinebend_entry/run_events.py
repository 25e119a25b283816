"""Events of one run that a sidecar link delivers."""

from typing import NamedTuple

from clementinebend_records.messages import (
    RunAccepted,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
)


class LinkLost(NamedTuple):
    """The connection closed while the run was in progress on it."""


RunEvent = RunAccepted | RunRefused | RunHead | RunChunk | RunEnd | RunFailed | LinkLost
