"""Partitions whose keys need several pages of the store."""

from asyncio import create_task, get_running_loop

from clementinebend_platform.store import PartitionLog
from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_platform_client.store_calls import StoreCalls
from clementinebend_platform_client.store_paths import StorePaths
from clementinebend_relay.partition_reader import PartitionReader
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpClient
from tests.lib.platform_store import PAGE_KEYS, StoreStandin
from tests.lib.waiting import until

KEY_COUNT = 2 * PAGE_KEYS + 200
MAX_DELAY = 2.0


class RecordTable:
    """Keeps the newest record of each key, and the keys of the last snapshot."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.snapshot_keys: frozenset[str] = frozenset()

    def on_record(self, record: KeyedRecord) -> None:
        self.records[record.key] = record.value

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        self.snapshot_keys = keys


async def test_pages_are_kept_when_a_later_page_fails() -> None:
    # A reader that starts over after a failed page never completes the list of
    # endpoints when every second call fails, as happened to entries on slow links.
    store, client = StoreStandin(), HttpClient()
    await store.start()
    for number in range(KEY_COUNT):
        store.put("servers", f"e-{number:04}", b"old")
    store.fault = "uneven"
    clock = get_running_loop().time
    calls = StoreCalls(StorePaths(Address("127.0.0.1", store.port), clock), client)
    table = RecordTable()
    log = PartitionLog(calls, "servers")
    partition_reader = create_task(
        PartitionReader("endpoints", log, table, clock, MAX_DELAY).run()
    )
    await until(lambda: len(table.snapshot_keys) == KEY_COUNT)
    store.put("servers", "e-0000", b"new")
    await until(lambda: table.records["e-0000"] == b"new")
    partition_reader.cancel()
    await client.close()
    await store.stop()
