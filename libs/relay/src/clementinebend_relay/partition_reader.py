"""Reads a partition of the store into a table, continuously.

It starts with a snapshot of the newest record of each key, then reads every record.
"""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_platform_client.newest_records import NewestRecords
from clementinebend_relay.decisions import log_dependency

WAIT_FRACTION = 0.5
"""Fraction of the maximum delay for which a read waits for a record. A record ends the
wait at once; a connection that has stopped responding is noticed after the wait."""

BATCH_FRACTION = 0.2
"""Fraction of the maximum delay between reads of a partition with many writers. Without
this pause, 54 endpoints that announce themselves every 1.2 s would cause 45 reads a
second by each entry. Up to five reads may fail before a leaving endpoint gets a call
too many."""

ANSWER_SECONDS = 0.7
"""Seconds that a slow store takes for an answer, beyond the maximum delay of a record
while it is fast."""

DIRECTORY_MAX_DELAY = 8.0
"""Maximum delay in seconds until an added entry or gateway is known. One that has
stopped is noticed sooner, by its unanswered messages."""

RETRY_DELAY = 0.25
"""Seconds before a failed read is retried; the store's limit on reads allows no more
frequent ones."""

PATIENCE_STEP = 0.7
"""Seconds by which the timeout of a snapshot read is extended after each failure. When
many entries start at once the store takes seconds for their first reads, and reads that
are given up early only add to its load."""

MAX_PATIENCE = 1.4
"""Upper limit in seconds of that extension: it delays the detection of a store that is
available again after an outage without error responses."""


class Table(Protocol):
    """Receiver of the records that a reader reads."""

    def on_record(self, record: KeyedRecord) -> Awaitable[None] | None:
        """Apply a record; return an awaitable to await if that takes long."""
        ...

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Apply the names of all keys as of the log's ``end``."""
        ...


class CombinedTable(NamedTuple):
    """Passes the records of one partition to several tables."""

    tables: tuple[Table, ...]

    def on_record(self, record: KeyedRecord) -> Awaitable[None] | None:
        """Pass a record to each table."""
        applying = [table.on_record(record) for table in self.tables]
        unfinished = [each for each in applying if each is not None]
        return _await_each(unfinished) if unfinished else None

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Pass the names of all keys, and the log's end, to each table."""
        for table in self.tables:
            table.on_snapshot(keys, end)


class PartitionReader:
    """Reads one partition forever; the task that runs it owns its state.

    The table gets each record, oldest first, and after the records of a snapshot the
    names of all keys. A record must reach the table within ``max_delay`` seconds. With
    ``is_busy`` the partition has many writers, and records are read in batches.
    ``on_failure`` is called after each failed read.
    """

    def __init__(
        self,
        name: str,
        log: KeyedLog,
        table: Table,
        clock: Callable[[], float],
        max_delay: float,
        is_busy: bool = False,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        self.max_delay = max_delay
        self.wait = WAIT_FRACTION * max_delay
        self.pause = BATCH_FRACTION * max_delay if is_busy else 0.0
        self.name = name
        self.log = log
        self.newest = NewestRecords(log, clock)
        self.table = table
        self.clock = clock
        self.offset: int | None = None
        self.read_at: float | None = None
        self.lost_at: float | None = None
        self.failures = 0
        self.on_failure = on_failure

    async def run(self) -> None:
        """Read forever."""
        while True:
            await self.step()

    def is_lost(self) -> bool:
        """Return whether the last read of the partition has failed."""
        return self.lost_at is not None

    def is_current(self) -> bool:
        """Return whether the table holds what the partition held shortly before.

        The last read has succeeded, no longer ago than reads usually take.
        """
        if self.lost_at is not None or self.read_at is None:
            return False
        return self.clock() - self.read_at <= self.max_delay + ANSWER_SECONDS

    async def step(self) -> None:
        """Read once; after a failure, pause."""
        if self.offset is None:
            outcome: Page | RecordsDropped | StoreFailure = await self.newest.read(
                patience_after(self.failures)
            )
            is_snapshot = True
        else:
            outcome = await self.log.read(self.offset, self.wait)
            is_snapshot = False
        match outcome:
            case Page():
                await self._apply_page(outcome, is_snapshot)
                if outcome.records and self.pause:
                    await sleep(self.pause)
            case RecordsDropped():
                self.offset = None
            case StoreFailure():
                self._on_failure(outcome)
                await sleep(RETRY_DELAY)

    async def _apply_page(self, page: Page, is_snapshot: bool) -> None:
        self.read_at = self.clock()
        self.failures = 0
        if self.lost_at is not None:
            lost_for = round(self.read_at - self.lost_at, 3)
            log_dependency(self.name, is_lost=False, lost_for_s=lost_for)
            self.lost_at = None
        for record in page.records:
            applying = self.table.on_record(record)
            if applying is not None:
                await applying
        if is_snapshot:
            names = frozenset(record.key for record in page.records)
            self.table.on_snapshot(names, page.next_offset)
        self.offset = page.next_offset

    def _on_failure(self, failure: StoreFailure) -> None:
        self.failures += 1
        self.on_failure()
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_dependency(self.name, is_lost=True, problem=failure.message)


def patience_after(failures: int) -> float:
    """Return the extension of the timeout, in seconds, after some failures in a row."""
    return min(MAX_PATIENCE, failures * PATIENCE_STEP)


async def _await_each(unfinished: list[Awaitable[None]]) -> None:
    for each in unfinished:
        await each
