"""Follows a partition of the store: first the newest of each key, then all."""

from asyncio import sleep
from collections.abc import Callable
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
"""Part of the time within which a change must act that a read waits for a record: a
record ends the wait at once, and a connection that went silent is noticed after it."""

BATCH_FRACTION = 0.2
"""Part of that time between reads of a partition that many write to: 54 endpoints that
announce themselves each 1.2 s would else make 45 reads a second of each entry. Five
reads may fail before an endpoint that leaves gets a call too many."""

DIRECTORY_MAX_DELAY = 8.0
"""Seconds within which an entry or gateway that was added must be known: one that is
gone is noticed by what it leaves unanswered."""

RETRY_DELAY = 0.25
"""Seconds after a failed read, as often as the store's limit of reads allows."""

PATIENCE_STEP = 0.7
"""Seconds that an answer with all newest records may begin later than usual after a
first failure, and as much again after each further one. When many entries start at
once the store takes seconds for their first reads, and calls given up early only add
to its work."""

MAX_PATIENCE = 1.4
"""The longest of it: a store that is back after a silent outage is noticed after it."""


class Table(Protocol):
    """What keeps the records that a reader reads."""

    def on_record(self, record: KeyedRecord) -> None:
        """Take a record."""
        ...

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Take the names of all keys, and the log's end."""
        ...


class CombinedTable(NamedTuple):
    """Passes the records of one partition to several tables."""

    tables: tuple[Table, ...]

    def on_record(self, record: KeyedRecord) -> None:
        """Pass a record to each table."""
        for table in self.tables:
            table.on_record(record)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Pass the names of all keys, and the log's end, to each table."""
        for table in self.tables:
            table.on_snapshot(keys, end)


class PartitionReader:
    """Reads one partition for ever; the task that runs it owns its state.

    The table takes each record, oldest first, and after those of a fresh start
    the names of all keys there are. What is written must be known ``max_delay``
    seconds. With ``is_busy`` many write there, and what they write is read together.
    """

    def __init__(
        self,
        name: str,
        log: KeyedLog,
        table: Table,
        clock: Callable[[], float],
        max_delay: float,
        is_busy: bool = False,
    ) -> None:
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

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self.step()

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
                self._apply_page(outcome, is_snapshot)
                if outcome.records and self.pause:
                    await sleep(self.pause)
            case RecordsDropped():
                self.offset = None
            case StoreFailure():
                self._on_failure(outcome)
                await sleep(RETRY_DELAY)

    def _apply_page(self, page: Page, is_snapshot: bool) -> None:
        self.read_at = self.clock()
        self.failures = 0
        if self.lost_at is not None:
            lost_for = round(self.read_at - self.lost_at, 3)
            log_dependency(self.name, is_lost=False, lost_for_s=lost_for)
            self.lost_at = None
        for record in page.records:
            self.table.on_record(record)
        if is_snapshot:
            names = frozenset(record.key for record in page.records)
            self.table.on_snapshot(names, page.next_offset)
        self.offset = page.next_offset

    def _on_failure(self, failure: StoreFailure) -> None:
        self.failures += 1
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_dependency(self.name, is_lost=True, problem=failure.message)


def patience_after(failures: int) -> float:
    """Return the seconds that the next answer may begin late, after some failures."""
    return min(MAX_PATIENCE, failures * PATIENCE_STEP)
