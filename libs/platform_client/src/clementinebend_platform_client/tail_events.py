"""What the reader of one stream is told, and what it has done."""

from typing import NamedTuple

from clementinebend_platform_client.exceptions import CoverageLost, NewerSchema
from clementinebend_platform_client.log_client import ReadPage
from clementinebend_records.records import Batch, Checkpoint


class PageRead(NamedTuple):
    """The log gave a page; ``at_end`` if it holds all there is."""

    page: ReadPage
    at_end: bool


class TrimmedSeen(NamedTuple):
    """The log keeps nothing before ``oldest``, which this reader has not read."""

    oldest: int


class CheckpointTaken(NamedTuple):
    """The owner made a checkpoint of its state as it is now."""

    checkpoint: Checkpoint
    at_boundary: bool


class CheckpointSettled(NamedTuple):
    """The checkpoint posted is on the log, or was given up."""


TailEvent = PageRead | TrimmedSeen | CheckpointTaken | CheckpointSettled


class Apply(NamedTuple):
    """Replay this batch."""

    offset: int
    batch: Batch


class Restore(NamedTuple):
    """Take the state from this checkpoint in place of any other."""

    checkpoint: Checkpoint


class TakeCheckpoint(NamedTuple):
    """Have the owner make a checkpoint of its state as it is now."""

    at_boundary: bool


class PostCheckpoint(NamedTuple):
    """Append this checkpoint."""

    checkpoint: Checkpoint


class Skip(NamedTuple):
    """These bytes are no batch, to any version; they have no effect."""

    offset: int
    reason: str


class Report(NamedTuple):
    """The reader is not ready, and why."""

    outcome: CoverageLost | NewerSchema


TailEffect = Apply | Restore | TakeCheckpoint | PostCheckpoint | Skip | Report
