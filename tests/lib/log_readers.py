"""Reads whole streams off the log and replays them, for tests' oracles."""

from typing import NamedTuple

from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import replay
from clementinebend_ledger.state import LedgerState, empty_ledger
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_records.codec import decode_batch
from clementinebend_records.records import Batch
from clementinebend_transport.http_client import HttpClient

READER_NAME = "test"
PAGE_LIMIT = 1000


class ReplayedLedger(NamedTuple):
    """A ledger stream's state, and all outcomes in offset order."""

    state: LedgerState
    outcomes: tuple[LedgerOutcome, ...]


async def read_batches(
    http: HttpClient, log_url: str, stream: str
) -> list[tuple[int, Batch]]:
    """Return all batches that the log keeps of a stream."""
    client = http_log_client(log_url, http, READER_NAME)
    batches: list[tuple[int, Batch]] = []
    offset, done = 0, False
    while not done:
        page = (await client.read(stream, offset, PAGE_LIMIT, 0)).ok
        decoded = [(at, decode_batch(data)) for at, data in page.records]
        batches += [(at, batch) for at, batch in decoded if isinstance(batch, Batch)]
        offset, done = page.next_offset, not page.records
    return batches


async def replay_ledger(http: HttpClient, log_url: str, stream: str) -> ReplayedLedger:
    """Return what replay makes of a ledger stream, from its first record."""
    state, outcomes = empty_ledger(), list[LedgerOutcome]()
    for offset, batch in await read_batches(http, log_url, stream):
        state, applied = replay(state, offset, batch)
        outcomes += applied
    return ReplayedLedger(state, tuple(outcomes))
