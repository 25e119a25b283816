"""Writes to a log what other members of a fleet would."""

from asyncio import get_running_loop, sleep
from itertools import count
from typing import Any

from clementinebend_bench.slopes.documents import (
    budget_name,
    changed,
    publication,
    top_ups,
)
from clementinebend_platform_client.log_client import LogClient
from clementinebend_records.codec import encode_batch
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
    digest_of,
)
from clementinebend_records.records import Batch, Bill, GrantRequest, Record, Settle
from clementinebend_records.streams import CONFIGURATION_STREAM, ledger_stream

OPERATOR = Incarnation("operator#0123456789ab")
OTHER_ENTRY = Incarnation("entry-99#0123456789ab")
GRANT = GrantId(f"{OTHER_ENTRY}/1")
GRANT_TOKENS = 10**8
BILL_TOKENS = 250
BATCH_INTERVAL_S = 0.5
"""How often one entry appends: 400 appends a second over half of 370 entries."""

ROWS_IN_BATCH = 500


class LogDriver:
    """Appends for an operator and for another entry; counts its appends."""

    def __init__(self, client: LogClient, document: dict[str, Any]) -> None:
        self.client = client
        self.document = document
        self.revision = 0
        self.appends = 0
        self.sequences = count(1)
        self.keys = count()

    async def append(
        self, stream: str, writer: Incarnation, records: tuple[Record, ...]
    ) -> None:
        """Append one batch; raises ``RuntimeError`` if the log does not take it."""
        batch = Batch(writer, next(self.sequences), records)
        answer = await self.client.append(stream, encode_batch(batch))
        if answer.is_error():
            raise RuntimeError(f"the log did not take a batch: {answer.error}")
        self.appends += 1

    async def declare(self) -> None:
        """Publish the document and top all of its budgets up."""
        await self.publish({}, self.document)
        rows = top_ups(len(self.document["budgets"]))
        stream = ledger_stream(budget_name(0), 1)
        for start in range(0, len(rows), ROWS_IN_BATCH):
            part = rows[start : start + ROWS_IN_BATCH]
            await self.append(stream, OPERATOR, part)

    async def publish(self, old: dict[str, Any], new: dict[str, Any]) -> None:
        """Publish one change."""
        record = publication(self.revision, old, new)
        await self.append(CONFIGURATION_STREAM, OPERATOR, (record,))
        self.revision += 1
        self.document = new

    async def publish_forever(self, rate: float) -> None:
        """Publish ``rate`` changes a second."""
        loop = get_running_loop()
        due = loop.time()
        for number in count(1):
            due += 1 / rate
            await sleep(due - loop.time())
            await self.publish(self.document, changed(self.document, number))

    async def bill_forever(self, rate: float) -> None:
        """Bill ``rate`` requests a second as one other entry would."""
        budget = budget_name(0)
        stream = ledger_stream(budget, 1)
        grant = GrantRequest(budget, OTHER_ENTRY, GRANT, GRANT_TOKENS)
        await self.append(stream, OTHER_ENTRY, (grant,))
        loop = get_running_loop()
        due = loop.time()
        while True:
            due += BATCH_INTERVAL_S
            await sleep(due - loop.time())
            bills = tuple(self.bill() for _ in range(round(rate * BATCH_INTERVAL_S)))
            await self.append(stream, OTHER_ENTRY, (Settle(budget, bills),))

    def bill(self) -> Bill:
        """Return a bill of a new request."""
        digest = digest_of(str(next(self.keys)).encode())
        key = RequestKey(f"team-00000/{digest}")
        return Bill(key, RunId(digest), GRANT, BILL_TOKENS)
