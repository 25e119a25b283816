"""One ledger shard as this entry sees it: its replay, reader and writer."""

from collections.abc import Callable
from typing import NamedTuple

from clementinebend_entry.ledger_events import Replayed, Restored
from clementinebend_entry.log_health import failing_for
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


class LogSettings(NamedTuple):
    """How readers and writers of one process talk to the log."""

    client: LogClient
    writer: Incarnation
    tail: TailSettings = TailSettings()
    post: WriterSettings = WriterSettings()


class Shard:
    """Replays one ledger stream; create it inside a running loop."""

    def __init__(
        self,
        stream: str,
        log: LogSettings,
        tell: Callable[[Replayed | Restored], None],
    ) -> None:
        self.stream = stream
        self.tell = tell
        self.state: LedgerState = empty_ledger()
        self.writer = StreamWriter(log.client, stream, log.writer, log.post)
        self.tail = StreamTail(
            log.client,
            stream,
            self.on_batch,
            self.on_restore,
            lambda: ledger_checkpoint(self.state, stream),
            self.writer,
            settings=log.tail,
        )

    def on_batch(self, offset: int, batch: Batch) -> None:
        """Replay the next batch."""
        self.writer.on_read(offset, batch)
        self.state, outcomes = replay(self.state, offset, batch)
        self.tell(Replayed(self.stream, batch.writer, outcomes))

    def on_restore(self, checkpoint: Checkpoint) -> None:
        """Go on from a checkpoint."""
        self.state = restore_ledger(checkpoint)
        last = self.state.sequences.get(self.writer.writer, 0)
        self.writer.on_restored(checkpoint.offset, last)
        self.tell(Restored(self.stream))

    @property
    def is_ready(self) -> bool:
        """Whether the state is that of the stream's end, lately."""
        return self.tail.ready.is_set()

    def failing_for(self, now: float) -> float:
        """Return for how many seconds the log has not taken or given anything."""
        return failing_for(self.tail, self.writer, now)

    async def close(self, patience: float) -> None:
        """Flush the writer for up to ``patience`` seconds, then stop."""
        await self.writer.close(patience)
        await self.tail.close()
