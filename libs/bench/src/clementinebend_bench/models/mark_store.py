"""A keyed log in memory that takes its time, and is out of reach at times."""

from asyncio import get_running_loop, sleep
from collections.abc import Sequence
from typing import NamedTuple

from clementinebend_platform_client.keyed_log import (
    Appended,
    Conflict,
    KeyedRecord,
    NewestPage,
    Page,
    RecordsDropped,
    StoreFailure,
)

ANSWER_SECONDS = 0.004
"""What the users' store takes for an answer."""

CALL_SECONDS = 0.6
"""After how long a caller gives up a call that gets no answer."""


class Outage(NamedTuple):
    """A span, in seconds, in which the store answers nobody."""

    start: float
    end: float


class Slowdown(NamedTuple):
    """A period, in seconds, in which each store call takes ``answer_seconds``."""

    start: float
    end: float
    answer_seconds: float


class StoreModel:
    """What the log holds; all entries' logs share it."""

    def __init__(
        self, outages: Sequence[Outage], slowdowns: Sequence[Slowdown] = ()
    ) -> None:
        self.outages = outages
        self.slowdowns = slowdowns
        self.records: list[KeyedRecord] = []
        self.calls = 0

    def is_away(self) -> bool:
        """Tell whether the store answers nobody now."""
        now = get_running_loop().time()
        return any(outage.start <= now < outage.end for outage in self.outages)

    def answer_seconds(self) -> float:
        """Return the duration, in seconds, of a call that starts now."""
        now = get_running_loop().time()
        active = (
            slowdown.answer_seconds
            for slowdown in self.slowdowns
            if slowdown.start <= now < slowdown.end
        )
        return max(active, default=ANSWER_SECONDS)


class ModelLog:
    """One partition of the store, as one entry calls it."""

    def __init__(self, store: StoreModel) -> None:
        self.store = store

    async def append(
        self, records: tuple[tuple[str, bytes], ...], expected_end: int | None
    ) -> Appended | Conflict | StoreFailure:
        """Append records; see ``KeyedLog``."""
        if not await self._answers():
            return StoreFailure(False, "the store is away")
        log = self.store.records
        if expected_end is not None and expected_end != len(log):
            return Conflict(len(log))
        log.extend(KeyedRecord(at, *pair) for at, pair in enumerate(records, len(log)))
        return Appended(len(log))

    async def read(
        self, offset: int, wait: float
    ) -> Page | RecordsDropped | StoreFailure:
        """Read records; see ``KeyedLog``."""
        if not await self._answers():
            return StoreFailure(False, "the store is away")
        return Page(tuple(self.store.records[offset:]), len(self.store.records), True)

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        """Read the newest record of each key; see ``KeyedLog``."""
        if not await self._answers():
            return StoreFailure(False, "the store is away")
        newest = {record.key: record for record in self.store.records}
        kept = tuple(sorted(record for record in newest.values() if record.value))
        return NewestPage(kept, len(self.store.records))

    async def _answers(self) -> bool:
        """Spend the time of a call; return whether it is answered."""
        self.store.calls += 1
        if self.store.is_away():
            await sleep(CALL_SECONDS)
            return False
        await sleep(self.store.answer_seconds())
        return not self.store.is_away()
