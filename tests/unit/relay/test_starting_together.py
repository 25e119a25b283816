"""Many entries that start at once and share the read bandwidth of the store."""

from asyncio import create_task, gather, get_running_loop, sleep, timeout

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform_client.keyed_log import (
    KeyedRecord,
    NewestPage,
    Page,
    StoreFailure,
)
from clementinebend_platform_client.store_paths import StorePaths
from clementinebend_relay.partition_reader import (
    MAX_PATIENCE,
    PartitionReader,
    patience_after,
)
from clementinebend_transport.client_connection import Address
from tests.unit.relay.simulated_fleet import FakeLog

STORE = Address("10.0.0.1", 1)
RECORD = KeyedRecord(0, "config", b"v")
BYTES_PER_SECOND = 80e6
WITHIN = 4.0
CHANGE_SECONDS = 9.0
"""Maximum seconds until a change is in force at all entries, up to 370 of them."""


class BusyStore:
    """Store that serves reads one by one, including reads that timed out meanwhile."""

    def __init__(self, size: float) -> None:
        self.size = size
        self.free_at = 0.0

    async def serve_read(self) -> None:
        now = get_running_loop().time()
        begins_at = max(now, self.free_at)
        self.free_at = begins_at + self.size / BYTES_PER_SECOND
        await sleep(begins_at - now)


class BusyLog(FakeLog):
    """Log of one entry on the busy store, with the timeouts of a real one."""

    def __init__(self, store: BusyStore) -> None:
        super().__init__([], [])
        self.store = store
        self.paths = StorePaths(STORE, get_running_loop().time)

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        try:
            async with timeout(self.paths.limit + patience):
                await self.store.serve_read()
        except TimeoutError:
            self.paths.on_silence()
            return StoreFailure(True, "no answer in time")
        return NewestPage((RECORD,), 1)

    async def read(self, offset: int, wait: float) -> Page:
        await sleep(wait)
        return Page((), offset, is_end=True)


class Table:
    """Records when the first snapshot was read."""

    def __init__(self) -> None:
        self.known_at: float | None = None

    def on_record(self, record: KeyedRecord) -> None:
        """Ignore the record."""

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        self.known_at = get_running_loop().time()


async def start(entries: int, size: float, seconds: float) -> list[float]:
    """Return when each entry that got the configuration in time read it."""
    store = BusyStore(size)
    clock = get_running_loop().time
    tables = [Table() for _ in range(entries)]
    running = [
        create_task(PartitionReader("f", BusyLog(store), table, clock, WITHIN).run())
        for table in tables
    ]
    await sleep(seconds)
    for task in running:
        task.cancel()
    await gather(*running, return_exceptions=True)
    return [table.known_at for table in tables if table.known_at is not None]


@pytest.mark.parametrize(
    ("entries", "size"), [(4, 2.7e6), (41, 2.7e6), (68, 2.7e6), (370, 0.5e6)]
)
def test_all_get_a_large_configuration(entries: int, size: float) -> None:
    # Guards against read timeouts that are too short: reads that time out are repeated,
    # which keeps the store busy. Of 41 entries that were killed and restarted together
    # some took 7.2 s for what the store sends to all in 1.4 s; 86 reads timed out.
    known = run_virtually(start(entries, size, seconds=20.0))
    assert len(known) == entries
    assert max(known) < CHANGE_SECONDS


def test_patience_is_bounded() -> None:
    assert patience_after(0) == 0.0
    assert 0.0 < patience_after(1) < MAX_PATIENCE
    assert patience_after(1000) == MAX_PATIENCE
