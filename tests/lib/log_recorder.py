"""Records a stream as it grows, so that an oracle outlives its retention."""

from asyncio import CancelledError, Task, create_task, sleep
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import replay
from clementinebend_ledger.state import empty_ledger
from clementinebend_platform_client.log_client import Trimmed, http_log_client
from clementinebend_records.codec import decode_batch
from clementinebend_records.records import Batch
from clementinebend_transport.http_client import HttpClient
from tests.lib.log_readers import PAGE_LIMIT, ReplayedLedger

PAUSE_S = 0.01
RECORDER = "recorder"


class LogRecorder:
    """All batches of a stream from its first record on."""

    def __init__(self, url: str, stream: str) -> None:
        self.stream = stream
        self.http = HttpClient()
        self.client = http_log_client(url, self.http, RECORDER)
        self.offset = 0
        self.batches: list[tuple[int, Batch]] = []

    async def run(self) -> None:
        """Read for ever; an outage is waited out."""
        while True:
            await self.read()
            await sleep(PAUSE_S)

    async def read(self) -> None:
        """Take what the stream has now."""
        page = await self.client.read(self.stream, self.offset, PAGE_LIMIT, 0)
        if page.is_error():
            assert not isinstance(page.error, Trimmed), "the recorder is too slow"
            return
        decoded = ((at, decode_batch(data)) for at, data in page.ok.records)
        self.batches += [
            (at, batch) for at, batch in decoded if isinstance(batch, Batch)
        ]
        self.offset = page.ok.next_offset

    def ledger(self) -> ReplayedLedger:
        """Return what replay makes of the whole stream."""
        state, outcomes = empty_ledger(), list[LedgerOutcome]()
        for offset, batch in self.batches:
            state, applied = replay(state, offset, batch)
            outcomes += applied
        return ReplayedLedger(state, tuple(outcomes))


@asynccontextmanager
async def recording(url: str, stream: str) -> AsyncIterator[LogRecorder]:
    """Give a recorder that reads along."""
    recorder = LogRecorder(url, stream)
    task: Task[None] = create_task(recorder.run())
    try:
        yield recorder
    finally:
        task.cancel()
        with suppress(CancelledError):
            await task
        await recorder.http.close()
