"""Replay, reader and writer of one stream of the log."""

from collections.abc import Callable, Mapping
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from clementinebend_entry.ledger_events import Replayed, Restored
from clementinebend_entry.log_health import failing_for
from clementinebend_ledger.checkpoints import claims_checkpoint, restore_claims
from clementinebend_ledger.claims import (
    ClaimsOutcome,
    ClaimsState,
    empty_claims,
    replay_claims,
)
from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import (
    LedgerState,
    empty_ledger,
    ledger_checkpoint,
    replay,
    restore_ledger,
)
from clementinebend_platform_client.log_client import LogClient
from clementinebend_platform_client.tail import StreamTail, TailSettings
from clementinebend_platform_client.writer import StreamWriter
from clementinebend_platform_client.writer_core import WriterSettings
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Checkpoint


class ReplayedState(Protocol):
    """A replayed state that stores the sequence number of each writer's last batch."""

    @property
    def sequences(self) -> Mapping[Incarnation, int]:
        """The sequence number of the last batch of each writer."""
        ...


State = TypeVar("State", bound=ReplayedState)
Outcome = TypeVar("Outcome")


class LogSettings(NamedTuple):
    """Log client and settings for the readers and writers of one process."""

    client: LogClient
    writer: Incarnation
    tail: TailSettings = TailSettings()
    post: WriterSettings = WriterSettings()


class Replay(NamedTuple, Generic[State, Outcome]):
    """Functions that replay one kind of stream into a state."""

    empty: Callable[[], State]
    apply: Callable[[State, int, Batch], tuple[State, tuple[Outcome, ...]]]
    checkpoint: Callable[[State, str], Checkpoint]
    restore: Callable[[Checkpoint], State]


class Shard(Generic[State, Outcome]):
    """Replays one stream; create it inside a running loop.

    ``on_outcomes`` is called with the writer of each batch and the outcomes of its
    records, ``on_restored`` after the state was restored from a checkpoint.
    """

    def __init__(
        self,
        stream: str,
        log: LogSettings,
        rules: Replay[State, Outcome],
        on_outcomes: Callable[[Incarnation, tuple[Outcome, ...]], Any],
        on_restored: Callable[[], Any] = lambda: None,
    ) -> None:
        self.stream = stream
        self.rules = rules
        self.on_outcomes = on_outcomes
        self.on_restored = on_restored
        self.state: State = rules.empty()
        self.writer = StreamWriter(log.client, stream, log.writer, log.post)
        self.tail = StreamTail(
            log.client,
            stream,
            self.on_batch,
            self.on_restore,
            lambda: rules.checkpoint(self.state, stream),
            self.writer,
            settings=log.tail,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay the next batch."""
        self.writer.on_read(offset, batch)
        self.state, outcomes = self.rules.apply(self.state, offset, batch)
        self.on_outcomes(batch.writer, outcomes)

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Restore the state from a checkpoint."""
        self.state = self.rules.restore(checkpoint)
        last = self.state.sequences.get(self.writer.writer, 0)
        self.writer.on_restored(checkpoint.offset, last)
        self.on_restored()

    @property
    def is_ready(self) -> bool:
        """Whether the reader has recently reached the end of the stream."""
        return self.tail.ready.is_set()

    @property
    def is_flushed(self) -> bool:
        """Whether all posted records have been read back."""
        state = self.writer.state
        return not (state.in_flight or state.queue)

    def failing_for(self, now: float) -> float:
        """Return for how many seconds reads or appends have been failing."""
        return failing_for(self.tail, self.writer, now)

    async def close(self, patience: float) -> None:
        """Flush the writer for up to ``patience`` seconds, then stop."""
        await self.writer.close(patience)
        await self.tail.close()


LedgerShard = Shard[LedgerState, LedgerOutcome]
ClaimsShard = Shard[ClaimsState, ClaimsOutcome]

LEDGER = Replay(empty_ledger, replay, ledger_checkpoint, restore_ledger)
CLAIMS = Replay(empty_claims, replay_claims, claims_checkpoint, restore_claims)


def ledger_shard(
    stream: str, log: LogSettings, report: Callable[[Replayed | Restored], None]
) -> LedgerShard:
    """Return one ledger shard, which reports replayed batches and restores."""
    return Shard(
        stream,
        log,
        LEDGER,
        lambda writer, outcomes: report(Replayed(stream, writer, outcomes)),
        lambda: report(Restored(stream)),
    )


def claims_shard(
    stream: str, log: LogSettings, report: Callable[[ClaimsOutcome], None]
) -> ClaimsShard:
    """Return one claims shard, which reports each outcome."""

    def report_outcomes(
        writer: Incarnation, outcomes: tuple[ClaimsOutcome, ...]
    ) -> None:
        for outcome in outcomes:
            report(outcome)

    return Shard(stream, log, CLAIMS, report_outcomes)
