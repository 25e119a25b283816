"""What a link to a sidecar tells of one run."""

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
    """The connection ended while the run was open on it."""


RunEvent = RunAccepted | RunRefused | RunHead | RunChunk | RunEnd | RunFailed | LinkLost
