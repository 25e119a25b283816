"""The newest record of each key, read page by page."""

from collections.abc import Callable
from itertools import chain

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    NewestPage,
    Page,
    StoreFailure,
)

KEPT_SECONDS = 10.0
"""Seconds for which pages are kept. Later ones would be followed by more records that
were written since than the pages hold."""


class NewestRecords:
    """Reads all pages of one partition; those read are kept when a later one fails.

    Else a link on which some calls fail would begin a long partition again each time.
    """

    def __init__(self, log: KeyedLog, clock: Callable[[], float]) -> None:
        self.log = log
        self.clock = clock
        self.pages: list[NewestPage] = []
        self.begun_at = 0.0

    async def read(self, patience: float = 0.0) -> Page | StoreFailure:
        """Return the newest record of each key, and the offset to read on from.

        Of more than one page the log must be read on: records written meanwhile may
        be missing. Each answer may begin ``patience`` seconds later than usual.
        """
        self._begin()
        after = self.pages[-1].last_key if self.pages else ""
        while after is not None:
            page = await self.log.newest(after, patience)
            if isinstance(page, StoreFailure):
                return page
            self.pages.append(page)
            after = page.last_key
        pages, self.pages = self.pages, []
        records = sorted(chain.from_iterable(page.records for page in pages))
        return Page(tuple(records), pages[0].end_offset, is_end=len(pages) == 1)

    def _begin(self) -> None:
        """Drop pages that are too old, and note when the first one is asked for."""
        now = self.clock()
        if now - self.begun_at > KEPT_SECONDS:
            self.pages.clear()
        if not self.pages:
            self.begun_at = now
