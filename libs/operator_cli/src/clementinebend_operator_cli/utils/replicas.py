"""A command's own replay of one stream, with what it saw on the way."""

from collections import deque
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

from clementinebend_declarations.replay import (
    empty_configuration_state,
    replay_configuration,
    restore_configuration,
)
from clementinebend_declarations.state import ConfigurationState
from clementinebend_ledger.replay import (
    LedgerState,
    empty_ledger,
    replay,
    restore_ledger,
)
from clementinebend_records.records import Batch, Checkpoint
from clementinebend_records.streams import CONFIGURATION_STREAM

MAX_HISTORY = 10_000
"""Batches that a replica remembers, the latest ones."""

State = TypeVar("State", bound=ConfigurationState | LedgerState)


class Step(NamedTuple):
    """A batch, where it stands, and what became of its records."""

    offset: int
    batch: Batch
    outcomes: tuple[Any, ...]


class Replica(Generic[State]):
    """The state of a stream, replayed batch by batch."""

    def __init__(
        self,
        stream: str,
        state: State,
        replay_batch: Callable[[State, int, Batch], tuple[State, tuple[Any, ...]]],
        restore_state: Callable[[Checkpoint], State],
    ) -> None:
        self.stream = stream
        self.state = state
        self.replay_batch = replay_batch
        self.restore_state = restore_state
        self.history: deque[Step] = deque(maxlen=MAX_HISTORY)

    def apply(self, offset: int, batch: Batch) -> None:
        """Replay the batch at ``offset``."""
        self.state, outcomes = self.replay_batch(self.state, offset, batch)
        self.history.append(Step(offset, batch, outcomes))

    def restore(self, checkpoint: Checkpoint) -> None:
        """Go on from a checkpoint; raises if it is damaged."""
        self.state = self.restore_state(checkpoint)

    def step_at(self, offset: int) -> Step | None:
        """Return what was replayed at ``offset``, if it is remembered."""
        latest_first = reversed(self.history)
        return next((step for step in latest_first if step.offset == offset), None)


def configuration_replica() -> Replica[ConfigurationState]:
    """Return a replica of the configuration, before its first record."""
    return Replica(
        CONFIGURATION_STREAM,
        empty_configuration_state(),
        replay_configuration,
        restore_configuration,
    )


def ledger_replica(stream: str) -> Replica[LedgerState]:
    """Return a replica of one ledger stream, before its first record."""
    return Replica(stream, empty_ledger(), replay, restore_ledger)
