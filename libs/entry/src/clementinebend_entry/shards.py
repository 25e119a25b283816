"""All ledger shards of this entry."""

from asyncio import Future, gather
from collections.abc import Callable, Iterable

from expression import Result

from clementinebend_entry.ledger_events import Replayed, Restored
from clementinebend_entry.shard import LedgerShard, LogSettings, ledger_shard
from clementinebend_platform_client.writer import PostOutcome
from clementinebend_records.records import Record
from clementinebend_records.streams import ledger_stream, ledger_streams

TakeBack = Callable[[str, tuple[Record, ...]], None]


class Shards:
    """Posts records to the ledger shards of their budgets.

    ``take_back`` is called with the stream and the records of each rejected post.
    """

    def __init__(
        self,
        count: int,
        log: LogSettings,
        tell: Callable[[Replayed | Restored], None],
        take_back: TakeBack,
    ) -> None:
        self.count = count
        self.take_back = take_back
        self.by_stream = {
            stream: ledger_shard(stream, log, tell) for stream in ledger_streams(count)
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
        """Post records; those that the writer rejects are passed to ``take_back``."""
        rows = tuple(records)
        if rows:
            future = shard.writer.post(rows)
            future.add_done_callback(lambda done: self.check(shard, rows, done))

    def check(
        self, shard: LedgerShard, rows: tuple[Record, ...], done: "Future[PostOutcome]"
    ) -> None:
        """Pass the records of a rejected post to ``take_back``."""
        if done.cancelled():
            return
        match done.result():
            case Result(tag="error"):
                self.take_back(shard.stream, rows)

    async def close(self, patience: float) -> None:
        """Flush all writers for up to ``patience`` seconds, then stop."""
        await gather(*(shard.close(patience) for shard in self.by_stream.values()))
