"""Follows a partition of the store: first the newest of each key, then all."""

from asyncio import sleep
from collections.abc import Callable

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_relay.decisions import log_dependency

READ_WAIT = 1.0
"""Seconds that a read waits for a first record; also how soon a connection
that went silent is noticed, well inside the 2 s in which a change must act."""

BATCH_PAUSE = 0.4
"""Seconds between reads of a partition that many write to: 32 endpoints that
announce themselves each 1.2 s would else make 27 reads a second of each entry.
Well inside the 2 s in which a leaving endpoint must be left alone."""

RETRY_PAUSE = 0.25
"""Seconds after a failed read, as often as the store's limit of reads allows."""


class Follower:
    """Reads one partition for ever; the task that runs it owns its state.

    ``on_record`` takes each record, oldest first. ``on_snapshot`` takes the
    names of all keys there are, after the records of a fresh start. Between
    reads that find something there is a ``pause`` in seconds.
    """

    def __init__(
        self,
        name: str,
        log: KeyedLog,
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[frozenset[str], int], None],
        clock: Callable[[], float],
        pause: float = 0.0,
    ) -> None:
        self.pause = pause
        self.name = name
        self.log = log
        self.on_record = on_record
        self.on_snapshot = on_snapshot
        self.clock = clock
        self.offset: int | None = None
        self.read_at: float | None = None
        self.lost_at: float | None = None

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Read once; after a failure, pause."""
        if self.offset is None:
            outcome: Page | RecordsDropped | StoreFailure = await self.log.newest()
            is_snapshot = True
        else:
            outcome = await self.log.read(self.offset, READ_WAIT)
            is_snapshot = False
        match outcome:
            case Page():
                self._take(outcome, is_snapshot)
                if outcome.records and self.pause:
                    await sleep(self.pause)
            case RecordsDropped():
                self.offset = None
            case StoreFailure():
                self._lose(outcome)
                await sleep(RETRY_PAUSE)

    def _take(self, page: Page, is_snapshot: bool) -> None:
        self.read_at = self.clock()
        if self.lost_at is not None:
            lost_for = round(self.read_at - self.lost_at, 3)
            log_dependency(self.name, is_lost=False, lost_for_s=lost_for)
            self.lost_at = None
        for record in page.records:
            self.on_record(record)
        if is_snapshot:
            names = frozenset(record.key for record in page.records)
            self.on_snapshot(names, page.next_offset)
        self.offset = page.next_offset

    def _lose(self, failure: StoreFailure) -> None:
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_dependency(self.name, is_lost=True, problem=failure.message)
