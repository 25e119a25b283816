"""Pages of newest records: which are kept, and for how long."""

from clementinebend_platform_client.keyed_log import (
    KeyedRecord,
    NewestPage,
    Page,
    StoreFailure,
)
from clementinebend_platform_client.newest_records import KEPT_SECONDS, NewestRecords
from tests.unit.relay.simulated_fleet import FakeLog

FAILURE = StoreFailure(False, "away")
FIRST = NewestPage((KeyedRecord(7, "a", b"1"),), 8, "a")
LAST = NewestPage((KeyedRecord(3, "b", b"2"),), 9)


class Script(FakeLog):
    """A log that gives the pages of a script, and notes what was asked for."""

    def __init__(self, *pages: NewestPage | StoreFailure) -> None:
        super().__init__([], [])
        self.pages = list(pages)
        self.asked: list[str] = []
        self.now = 100.0

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        self.asked.append(after)
        return self.pages.pop(0)


async def test_reading_goes_on_behind_the_last_page_that_came() -> None:
    log = Script(FIRST, FAILURE, LAST)
    newest = NewestRecords(log, lambda: log.now)
    assert await newest.read() == FAILURE
    page = await newest.read()
    assert log.asked == ["", "a", "a"]
    # What was written while the pages were read stands behind the first one's end.
    assert page == Page((*LAST.records, *FIRST.records), 8, is_end=False)


async def test_pages_that_are_too_old_are_read_again() -> None:
    log = Script(FIRST, FAILURE, LAST)
    newest = NewestRecords(log, lambda: log.now)
    await newest.read()
    log.now += KEPT_SECONDS + 1
    page = await newest.read()
    assert log.asked == ["", "a", ""]
    assert page == Page(LAST.records, 9, is_end=True)
