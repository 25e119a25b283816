"""Whether an entry's view of the endpoints is that of shortly before."""

from clementinebend_platform_client.keyed_log import Page, StoreFailure
from clementinebend_relay.partition_reader import ANSWER_SECONDS, PartitionReader

MAX_DELAY = 2.0


class EmptyTable:
    """Takes no notice of records."""

    def on_record(self, record: object) -> None:
        """Ignore a record."""

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Ignore a snapshot."""


class FailingLog:
    """A log that answers, or fails, as ``outcome`` says."""

    def __init__(self) -> None:
        self.outcome: Page | StoreFailure = Page((), 1, True)

    async def read(self, offset: int, wait: float) -> Page | StoreFailure:
        return self.outcome


async def test_a_view_is_current_while_reads_succeed_in_time() -> None:
    """Guards against versions of endpoints that an entry cut off still believes."""
    now, log = 10.0, FailingLog()
    reader = PartitionReader(
        "endpoints",
        log,  # type: ignore[arg-type]
        EmptyTable(),
        lambda: now,
        MAX_DELAY,
    )
    assert not reader.is_current()
    reader.offset = 0
    await reader.step()
    assert reader.is_current()
    now += MAX_DELAY + ANSWER_SECONDS
    assert reader.is_current()
    now += 0.01
    assert not reader.is_current()
    await reader.step()
    assert reader.is_current()
    log.outcome = StoreFailure(False, "down")
    await reader.step()
    assert not reader.is_current()
