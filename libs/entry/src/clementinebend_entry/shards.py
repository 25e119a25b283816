"""All ledger shards of this entry."""

from asyncio import Future, gather
from collections.abc import Callable, Iterable

from expression import Result

from clementinebend_entry.ledger_events import Replayed, Restored
from clementinebend_entry.shard import LedgerShard, LogSettings, ledger_shard
from clementinebend_platform_client.writer import PostOutcome
from clementinebend_records.records import Record
from clementinebend_records.streams import ledger_stream, ledger_streams

OnRejected = Callable[[str, tuple[Record, ...]], None]


class LedgerShards:
    """Posts records to the ledger shards of their budgets.

    ``on_rejected`` is called with the stream and the records of each rejected post.
    """

    def __init__(
        self,
        count: int,
        log: LogSettings,
        report: Callable[[Replayed | Restored], None],
        on_rejected: OnRejected,
    ) -> None:
        self.count = count
        self.on_rejected = on_rejected
        self.by_stream = {
            stream: ledger_shard(stream, log, report)
            for stream in ledger_streams(count)
        }

    def of_budget(self, budget: str) -> LedgerShard:
        """Return the shard that stores a budget."""
        return self.by_stream[ledger_stream(budget, self.count)]

    @property
    def is_ready(self) -> bool:
        """Whether all shards have caught up with the log."""
        return all(shard.is_ready for shard in self.by_stream.values())

    @property
    def is_flushed(self) -> bool:
        """Whether all posted records have been read back."""
        return all(shard.is_flushed for shard in self.by_stream.values())

    @property
    def delay(self) -> float:
        """Recent time from a post to its read-back on the slowest shard, in seconds."""
        return max(shard.writer.delay for shard in self.by_stream.values())

    def post_by_budget(self, records: dict[str, tuple[Record, ...]]) -> None:
        """Post planned records to the shards of their budgets."""
        for budget, rows in records.items():
            self.post(self.of_budget(budget), rows)

    def post(self, shard: LedgerShard, records: Iterable[Record]) -> None:
        """Post records; those that the writer rejects are passed to ``on_rejected``."""
        rows = tuple(records)
        if rows:
            future = shard.writer.post(rows)
            future.add_done_callback(lambda done: self.on_post_done(shard, rows, done))

    def on_post_done(
        self, shard: LedgerShard, rows: tuple[Record, ...], done: "Future[PostOutcome]"
    ) -> None:
        """Pass the records of a rejected post to ``on_rejected``."""
        if done.cancelled():
            return
        match done.result():
            case Result(tag="error"):
                self.on_rejected(shard.stream, rows)

    async def close(self, patience: float) -> None:
        """Flush all writers for up to ``patience`` seconds, then stop."""
        await gather(*(shard.close(patience) for shard in self.by_stream.values()))
