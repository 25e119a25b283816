"""When the readers of a stream append a checkpoint, and which of them."""

from enum import IntEnum
from typing import NamedTuple

from clementinebend_platform_client.schedule import fraction_of


class CheckpointPolicy(NamedTuple):
    """When a checkpoint is due.

    ``every`` is in offsets: each reader takes a digest at each multiple of it,
    so that readers check one another. ``retention_margin`` is the share of the
    retained records below which coverage counts as running out. ``age`` and
    the two staggers are in seconds: a reader that finds a checkpoint due waits
    a part of the stagger of its own before it appends one.
    """

    every: int = 1024
    retention_margin: float = 0.5
    age: float = 900.0
    stagger: float = 10.0
    urgent_stagger: float = 1.0


class Coverage(NamedTuple):
    """What one reader knows of checkpoints on its stream.

    ``covered`` is the first offset that the newest checkpoint leaves to replay
    (0 if there is none: a whole stream needs none), ``changed`` tells whether
    batches from there on hold more than checkpoints, and ``covered_at`` is when
    the reader saw that checkpoint.
    """

    position: int
    oldest: int
    covered: int
    changed: bool
    covered_at: float


class Urgency(IntEnum):
    """How soon a checkpoint is to be appended."""

    NOT_DUE = 0
    DUE = 1
    URGENT = 2


def checkpoint_urgency(
    coverage: Coverage, policy: CheckpointPolicy, now: float
) -> Urgency:
    """Return whether a checkpoint is due.

    Urgent: the log has trimmed records that no checkpoint covers, so that a
    cold reader could not start.
    """
    if coverage.position == 0:
        return Urgency.NOT_DUE
    if coverage.oldest > coverage.covered:
        return Urgency.URGENT
    if now - coverage.covered_at >= policy.age:
        return Urgency.DUE
    if coverage.changed and _running_out(coverage, policy):
        return Urgency.DUE
    return Urgency.NOT_DUE


def stagger_of(
    urgency: Urgency, policy: CheckpointPolicy, reader: str, covered: int
) -> float:
    """Return the seconds that ``reader`` waits for another's checkpoint."""
    longest = policy.urgent_stagger if urgency is Urgency.URGENT else policy.stagger
    return longest * fraction_of(reader, covered)


def _running_out(coverage: Coverage, policy: CheckpointPolicy) -> bool:
    if coverage.position - coverage.covered >= policy.every:
        return True
    retained = coverage.position - coverage.oldest
    margin = coverage.covered - coverage.oldest
    return coverage.oldest > 0 and margin < retained * policy.retention_margin
