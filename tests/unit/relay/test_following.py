"""Rate of reads of a partition, and delay of its records, by number of writers."""

from asyncio import Event, create_task, get_running_loop, sleep, timeout
from contextlib import suppress

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform_client.keyed_log import KeyedRecord, Page
from clementinebend_relay.partition_reader import (
    BATCH_FRACTION,
    WAIT_FRACTION,
    PartitionReader,
)
from tests.unit.relay.simulated_fleet import FakeLog

WITHIN = 4.0
SECONDS = 60.0
HEARTBEAT = 1.2
"""Interval in seconds between announcements of one endpoint."""


class WaitingLog(FakeLog):
    """Log whose reads wait for a record; counts its reads."""

    def __init__(self) -> None:
        super().__init__([], [])
        self.reads = 0
        self.written = Event()

    async def read(self, offset: int, wait: float) -> Page:
        self.reads += 1
        with suppress(TimeoutError):
            async with timeout(wait):
                while len(self.records) <= offset:
                    await self.written.wait()
        return Page(tuple(self.records[offset:]), len(self.records), True)

    def write(self, key: str) -> None:
        self.records.append(KeyedRecord(len(self.records), key, b"v"))
        self.written.set()
        self.written.clear()


class Table:
    """Records when each record was read."""

    def __init__(self) -> None:
        self.read_at: dict[int, float] = {}

    def on_record(self, record: KeyedRecord) -> None:
        self.read_at[record.offset] = get_running_loop().time()

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Ignore the snapshot."""


async def follow(writers: int, is_busy: bool) -> tuple[int, float]:
    """Return the number of reads in a minute, and the longest delay of a record."""
    loop = get_running_loop()
    log, table = WaitingLog(), Table()
    reader = PartitionReader("f", log, table, loop.time, WITHIN, is_busy)
    running = create_task(reader.run())
    await sleep(0)
    written_at: list[float] = []
    while loop.time() < SECONDS:
        if not writers:
            await sleep(SECONDS)
            break
        await sleep(HEARTBEAT / writers)
        log.write("e")
        written_at.append(loop.time())
    await sleep(WITHIN)
    running.cancel()
    lags = [table.read_at[place] - at for place, at in enumerate(written_at)]
    return log.reads, max(lags, default=0.0)


@pytest.mark.parametrize("writers", [0, 4, 54, 400])
def test_reads_do_not_grow_with_the_number_of_writers(writers: int) -> None:
    reads, lag = run_virtually(follow(writers, is_busy=True))
    assert reads <= (SECONDS + WITHIN) / (BATCH_FRACTION * WITHIN) + 2
    assert lag <= WITHIN / 2


def test_a_record_is_read_at_once_if_few_are_written() -> None:
    reads, lag = run_virtually(follow(0, is_busy=False))
    assert reads <= (SECONDS + WITHIN) / (WAIT_FRACTION * WITHIN) + 2
    reads, lag = run_virtually(follow(1, is_busy=False))
    assert lag == 0.0
