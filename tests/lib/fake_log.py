"""The platform's log in memory, with faults that a test switches.

Waiting is on conditions only. ``FakeLog`` is the service, ``FakeLogClient``
one process's ``LogClient`` to it.
"""

from asyncio import Condition, timeout
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_platform_client.log_client import LogFailure, ReadPage, Trimmed
from clementinebend_records.codec import decode_batch, encode_batch
from clementinebend_records.records import Batch


class FakeStream(NamedTuple):
    """Records kept, by offset, and the offset that the next append gets."""

    records: dict[int, bytes]
    end: int = 0

    @property
    def oldest(self) -> int:
        """The first offset kept, or the end if none is."""
        return min(self.records, default=self.end)


class FakeLog:
    """A log whose faults are plain attributes; change them through ``set``.

    ``outage`` and ``cut`` (client names) fail at once, not executed;
    ``lose_answers`` and ``throttle`` count the appends to come that are
    executed without an answer, or refused; ``slow`` holds all answers back
    after their effect until it is cleared; ``retain`` is the number of records
    kept in a stream; ``deaf`` fails reads only.
    """

    def __init__(self) -> None:
        self.streams: dict[str, FakeStream] = {}
        self.appends: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.outage = False
        self.deaf = False
        self.slow = False
        self.lose_answers = 0
        self.throttle = 0
        self.retain: int | None = None
        self.cut: set[str] = set()
        self.changed = Condition()

    def client(self, name: str = "") -> "FakeLogClient":
        """Return the log client of the process called ``name``."""
        return FakeLogClient(self, name)

    async def set(self, **faults: object) -> None:
        """Change faults and wake all who wait."""
        for name, value in faults.items():
            assert hasattr(self, name), name
            setattr(self, name, value)
        await self.wake()

    async def trim(self, stream: str, oldest: int) -> None:
        """Drop the records before ``oldest``, as retention time does."""
        kept = self.stream(stream)
        self.streams[stream] = kept._replace(
            records={o: data for o, data in kept.records.items() if o >= oldest}
        )
        await self.wake()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; it is looked at after each call."""
        async with self.changed:
            await self.changed.wait_for(condition)

    async def wake(self) -> None:
        """Have all who wait look again."""
        async with self.changed:
            self.changed.notify_all()

    def stream(self, name: str) -> FakeStream:
        """Return a stream, empty if nothing was appended."""
        return self.streams.setdefault(name, FakeStream({}))

    def batches(self, name: str) -> list[tuple[int, Batch]]:
        """Return the batches kept of a stream, with repeats."""
        decoded = (
            (offset, decode_batch(data))
            for offset, data in sorted(self.stream(name).records.items())
        )
        return [
            (offset, batch) for offset, batch in decoded if isinstance(batch, Batch)
        ]

    def put(self, name: str, batch: Batch) -> int:
        """Append a batch directly, past all faults, waking nobody."""
        return self.put_bytes(name, encode_batch(batch))

    def put_bytes(self, name: str, data: bytes) -> int:
        """Append bytes directly, past all faults, waking nobody."""
        stream = self.stream(name)
        stream.records[stream.end] = data
        offset, end = stream.end, stream.end + 1
        oldest = 0 if self.retain is None else end - self.retain
        kept = {o: d for o, d in stream.records.items() if o >= oldest}
        self.streams[name] = FakeStream(kept, end)
        return offset


class FakeLogClient:
    """A ``LogClient`` of one process."""

    def __init__(self, log: FakeLog, name: str) -> None:
        self.log = log
        self.name = name

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append as the log's faults allow."""
        log = self.log
        log.appends[stream] += 1
        refusal = self.refusal() or self.throttled()
        if refusal is not None:
            log.refused[stream] += 1
            await log.wake()
            return Error(refusal)
        offset = log.put_bytes(stream, data)
        await log.wake()
        await log.wait_until(lambda: not log.slow)
        if log.lose_answers > 0:
            log.lose_answers -= 1
            return Error(LogFailure(True, "answer lost"))
        return Ok(offset)

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> Result[ReadPage, LogFailure | Trimmed]:
        """Read as the log's faults allow."""
        log = self.log
        log.reads[stream] += 1
        await log.wake()
        await self.wait_for_record(stream, offset, wait)
        await log.wait_until(lambda: not log.slow)
        refusal = self.refusal()
        if refusal is not None or log.deaf:
            return Error(refusal or LogFailure(False, "reads fail"))
        kept = log.stream(stream)
        if offset < kept.oldest:
            return Error(Trimmed(kept.oldest))
        found = range(offset, min(offset + limit, kept.end))
        records = tuple((found_at, kept.records[found_at]) for found_at in found)
        return Ok(ReadPage(records, offset + len(records), kept.oldest))

    async def wait_for_record(self, stream: str, offset: int, wait: float) -> None:
        """Wait for a record at ``offset``, a fault, or the end of ``wait``."""
        log = self.log
        try:
            async with timeout(wait):
                await log.wait_until(
                    lambda: log.stream(stream).end > offset or self.fails()
                )
        except TimeoutError:
            return

    def fails(self) -> bool:
        """Tell whether a read fails now."""
        return self.refusal() is not None or self.log.deaf

    def refusal(self) -> LogFailure | None:
        """Return why the log does not talk to this client, if so."""
        if self.log.outage:
            return LogFailure(False, "log is out")
        if self.name in self.log.cut:
            return LogFailure(False, "cut off from the log")
        return None

    def throttled(self) -> LogFailure | None:
        """Return a refusal if the log takes no more appends."""
        if self.log.throttle <= 0:
            return None
        self.log.throttle -= 1
        return LogFailure(False, "too many appends", throttled=True)
