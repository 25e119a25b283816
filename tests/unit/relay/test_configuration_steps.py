"""Large configurations are applied while the event loop serves others."""

from asyncio import create_task, get_running_loop, sleep

from msgspec.json import encode

from clementinebend_platform.records import ITEMS_PER_STEP, PlatformRecords
from clementinebend_platform_client.keyed_log import KeyedRecord, Page
from clementinebend_relay.configuration import ConfigurationTable, find_route
from clementinebend_relay.models import Configuration
from clementinebend_relay.partition_reader import CombinedTable, PartitionReader
from tests.unit.relay.entry_world import NoLog

HOST = "desk.example"
LARGE = 1_400
"""Routes of a large configuration."""


def configuration(version: int, routes: int, teams: int = 1) -> bytes:
    """Return a configuration as the operator writes it."""
    document = {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": HOST,
                "path_prefix": f"/r{number}/",
                "kind": "safe",
                "timeout_ms": 4000,
                "service": "pool",
            }
            for number in range(routes)
        ],
        "services": [{"name": "pool"}],
        "tenants": [
            {"name": f"t{number}", "api_keys": [f"k{number}"]}
            for number in range(teams)
        ],
    }
    return encode(document)


class PageLog(NoLog):
    """A log that holds one page of records."""

    def __init__(self, *values: tuple[str, bytes]) -> None:
        numbered = enumerate(values)
        records = tuple(KeyedRecord(at, *record) for at, record in numbered)
        self.page = Page(records, len(records), True)

    async def read(self, offset: int, wait: float) -> Page:  # type: ignore[override]
        return self.page


class EntryStub:
    """The configuration of an entry, its reader, and the versions at each record."""

    def __init__(self, *values: tuple[str, bytes]) -> None:
        self.applied: list[int] = []
        self.versions: list[tuple[str, int | None]] = []
        self.table = ConfigurationTable(PlatformRecords(), self.on_change)
        clock = get_running_loop().time
        tables = CombinedTable((self, self.table))
        self.reader = PartitionReader("op", PageLog(*values), tables, clock, 2.0)
        self.reader.offset = 0

    def on_change(self, applied: Configuration) -> None:
        """Record an applied version."""
        self.applied.append(applied.version)

    def version(self) -> int | None:
        """Return the current version, if there is one."""
        return None if self.table.current is None else self.table.current.version

    def on_record(self, record: KeyedRecord) -> None:
        """Record which version is current as a record is applied."""
        self.versions.append((record.key, self.version()))

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Do nothing."""


async def iterations_while_reading(entry: EntryStub) -> int:
    """Return the iterations of the event loop in which a page is applied."""
    reading = create_task(entry.reader.step())
    iterations = 0
    while not reading.done():  # noqa: ASYNC110 - each iteration is counted
        iterations += 1
        await sleep(0.0)
    await reading
    return iterations


async def test_a_large_configuration_lets_other_tasks_run_meanwhile() -> None:
    """Guards against requests that wait for a whole configuration to be decoded."""
    entry = EntryStub(("config", configuration(2, LARGE, LARGE)))
    iterations = await iterations_while_reading(entry)
    assert iterations >= 2 * LARGE / ITEMS_PER_STEP
    assert entry.table.current is not None
    assert len(entry.table.current.routes[HOST]) == LARGE
    assert len(entry.table.current.keys) == LARGE
    assert find_route(entry.table.current, HOST, f"/r{LARGE - 1}/x") is not None


async def test_records_after_a_large_configuration_are_applied_after_it() -> None:
    entry = EntryStub(
        ("config", configuration(3, LARGE)),
        ("evacuate/z", b"1"),
        ("config", configuration(2, LARGE)),
        ("config", configuration(4, 1)),
        ("evacuate/z", b""),
    )
    await iterations_while_reading(entry)
    assert entry.applied == [3, 4]
    assert entry.versions == [
        ("config", None),
        ("evacuate/z", 3),
        ("config", 3),
        ("config", 3),
        ("evacuate/z", 4),
    ]


async def test_the_version_before_is_current_until_the_last_step() -> None:
    entry = EntryStub(("config", configuration(2, LARGE)))
    entry.table.on_record(KeyedRecord(0, "config", configuration(1, 1)))
    reading = create_task(entry.reader.step())
    for _ in range(LARGE // ITEMS_PER_STEP // 2):
        await sleep(0.0)
        assert entry.version() == 1
    reading.cancel()
    await sleep(0.0)
    assert reading.cancelled()
    assert entry.applied == [1]


async def test_a_large_configuration_with_an_invalid_part_is_refused() -> None:
    valid = configuration(2, LARGE)
    entry = EntryStub(("config", valid.replace(b'"safe"', b"5", LARGE)))
    await iterations_while_reading(entry)
    assert entry.applied == []
