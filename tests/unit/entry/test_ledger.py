"""Tests of the ledger task with an in-memory log."""

from asyncio import Task, create_task, gather, wait_for
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from clementinebend_declarations.models import (
    Budget,
    Declarations,
    TopUpDeclaration,
)
from clementinebend_entry.budget_waits import Reservation, outage_retry_ms
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.ledger_events import (
    CostUnknown,
    ReceiptReceived,
    ReservationCancelled,
    WitnessesSeen,
)
from clementinebend_entry.outcomes import Refusal
from clementinebend_entry.shard import LogSettings
from clementinebend_ledger.replay import budget_summary, empty_ledger, replay
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
    new_incarnation,
)
from clementinebend_records.messages import Receipt
from clementinebend_records.reasons import NotRunReason
from clementinebend_records.records import (
    Batch,
    Bill,
    GrantRequest,
    HolderClose,
    Record,
    TopUp,
)
from tests.lib.fake_log import FakeLog

STREAM = "ledger-0"
BUDGET = "desk-2026"
OPERATOR = Incarnation("operator#1")
SIDECAR = Incarnation("engine-1#a")
TIMEOUT_S = 60.0
"""Timeout in seconds that only failing tests reach."""


class Listener:
    """Records the notifications of the ledger."""

    def __init__(self) -> None:
        self.logged: list[Bill] = []
        self.closed: list[Incarnation] = []
        self.rotations = 0

    def on_written(self, writer: Incarnation, now: float) -> None:
        pass

    def on_logged(self, bill: Bill) -> None:
        self.logged.append(bill)

    def on_closed(self, holder: Incarnation) -> None:
        self.closed.append(holder)

    def on_rotated(self) -> None:
        self.rotations += 1


class LedgerHarness:
    """One entry's ledger with an in-memory log."""

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self.listener = Listener()
        incarnation = new_incarnation("entry-1")
        settings = LogSettings(log.client("entry-1"), incarnation)
        self.ledger = Ledger("entry-1", incarnation, 1, settings, self.listener)
        self.sequence = 0

    async def write(self, *records: Record) -> None:
        """Append a batch as an operator."""
        self.sequence += 1
        self.log.put(STREAM, Batch(OPERATOR, self.sequence, records))
        await self.log.wake()

    async def until(self, condition: Callable[[LedgerState], bool]) -> LedgerState:
        """Wait until the replayed log satisfies ``condition``."""
        await wait_for(
            self.log.wait_until(lambda: condition(self.replayed())), TIMEOUT_S
        )
        return self.replayed()

    async def until_replayed(self, condition: Callable[[], bool]) -> None:
        """Wait until the entry has replayed enough for ``condition`` to hold."""
        while not condition():
            self.ledger.changed.clear()
            await wait_for(self.ledger.changed.wait(), TIMEOUT_S)

    def replayed(self) -> LedgerState:
        state = empty_ledger()
        for offset, batch in self.log.batches(STREAM):
            state, _ = replay(state, offset, batch)
        return state

    async def reserve(
        self, run: str, amount: int, patience: float = TIMEOUT_S
    ) -> Reservation | Refusal:
        deadline = self.ledger.loop.time() + patience
        return await self.ledger.reserve(RunId(run), BUDGET, amount, deadline)

    async def reserved(self, run: str, amount: int) -> Reservation:
        answer = await self.reserve(run, amount)
        assert isinstance(answer, Reservation), answer
        return answer


def receipt(reservation: Reservation, amount: int, key: str = "k") -> Receipt:
    """Return the receipt of a run that cost ``amount``."""
    _, budget, grant, holder, _ = reservation
    return Receipt(
        RequestKey(key), reservation.run, budget, grant, holder, "e", amount, True
    )


@asynccontextmanager
async def running_ledger(tokens: int = 1000) -> AsyncIterator[LedgerHarness]:
    harness = LedgerHarness(FakeLog())
    await harness.write(TopUp(BUDGET, "first", tokens, "jana"))
    task: Task[Any] = create_task(harness.ledger.run())
    await wait_for(harness.ledger.shards.by_stream[STREAM].tail.ready.wait(), TIMEOUT_S)
    try:
        yield harness
    finally:
        task.cancel()
        await gather(task, return_exceptions=True)
        await harness.ledger.shards.close(0.0)


async def test_a_run_is_reserved_from_a_grant_and_billed_once() -> None:
    async with running_ledger() as harness:
        reservation = await harness.reserved("r1", 100)
        assert reservation.holder == harness.ledger.incarnation
        harness.ledger.take(ReceiptReceived(receipt(reservation, 30)))
        harness.ledger.take(ReceiptReceived(receipt(reservation, 30)))
        await wait_for(harness.ledger.until_settled(), TIMEOUT_S)
        summary = budget_summary(harness.replayed(), BUDGET)
        assert summary.billed == 30
        assert [bill.amount for bill in harness.listener.logged][:1] == [30]


async def test_what_a_budget_cannot_cover_is_refused_at_once() -> None:
    async with running_ledger() as harness:
        answer = await harness.reserve("r1", 1001)
        assert isinstance(answer, Refusal)
        assert answer.reason is NotRunReason.BUDGET_EXHAUSTED
        assert harness.ledger.is_settled


async def test_request_waits_while_settlement_may_free_enough() -> None:
    async with running_ledger() as harness:
        first = await harness.reserved("r1", 900)
        waiting = create_task(harness.reserve("r2", 900))
        await harness.until(lambda state: state.offset > 2)
        assert not waiting.done()
        harness.ledger.take(ReceiptReceived(receipt(first, 50)))
        second = await wait_for(waiting, TIMEOUT_S)
        assert isinstance(second, Reservation)


async def test_held_grant_serves_during_log_outage() -> None:
    async with running_ledger() as harness:
        first = await harness.reserved("r1", 300)
        harness.ledger.take(ReservationCancelled(first.run))
        await harness.log.set(outage=True)
        second = await harness.reserved("r2", 300)
        harness.ledger.take(ReceiptReceived(receipt(second, 10)))
        refusal = await harness.reserve("r3", 600)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is NotRunReason.BUDGET_UNAVAILABLE
        await harness.log.set(outage=False)
        state = await harness.until(lambda state: bool(state.billed_runs))
        assert budget_summary(state, BUDGET).billed == 10


def test_retry_delay_equals_outage_within_bounds() -> None:
    assert [outage_retry_ms(seconds) for seconds in (0.0, 7.5, 900.0)] == [
        1_000,
        7_500,
        30_000,
    ]


async def test_cancelled_request_leaves_no_waiter() -> None:
    async with running_ledger() as harness:
        first = await harness.reserved("r1", 900)
        waiting = create_task(harness.reserve("r2", 500))
        await harness.until(lambda state: state.offset > 2)
        waiting.cancel()
        await gather(waiting, return_exceptions=True)
        harness.ledger.take(ReservationCancelled(first.run))
        assert isinstance(await harness.reserve("r3", 1000), Reservation)
        assert harness.ledger.waiters == {}


async def test_closed_holder_is_replaced_and_its_runs_are_billed() -> None:
    async with running_ledger() as harness:
        harness.ledger.take(WitnessesSeen((SIDECAR,), ()))
        first = await harness.reserved("r1", 100)
        await harness.until_replayed(lambda: harness.ledger.is_witness(BUDGET, SIDECAR))
        await harness.write(HolderClose(first.holder, OPERATOR))
        await harness.until_replayed(lambda: harness.listener.rotations == 1)
        assert harness.listener.closed == [first.holder]
        second = await harness.reserved("r2", 100)
        assert second.holder == harness.ledger.incarnation != first.holder
        harness.ledger.take(ReceiptReceived(receipt(first, 40)))
        await wait_for(
            harness.until_replayed(lambda: bool(harness.listener.logged)), TIMEOUT_S
        )
        await harness.until_replayed(lambda: harness.ledger.is_witness(BUDGET, SIDECAR))
        state = harness.replayed()
        assert budget_summary(state, BUDGET).billed == 40
        assert SIDECAR in state.holders[second.holder]["sidecars"]


async def test_receipt_of_foreign_holder_is_billed() -> None:
    async with running_ledger() as harness:
        other = Incarnation("entry-2#x")
        await harness.write(GrantRequest(BUDGET, other, GrantId("g2"), 500))
        ran = Reservation(RunId("r9"), BUDGET, GrantId("g2"), other, 100)
        harness.ledger.take(ReceiptReceived(receipt(ran, 70)))
        state = await harness.until(lambda state: bool(state.billed_runs))
        assert budget_summary(state, BUDGET).billed == 70
        assert state.grants[GrantId("g2")]["remainder"] == 430


async def test_run_of_unknown_cost_is_held_in_full() -> None:
    async with running_ledger() as harness:
        reservation = await harness.reserved("r1", 120)
        harness.ledger.take(CostUnknown(reservation.run, RequestKey("k")))
        state = await harness.until(lambda state: bool(state.billed_runs))
        summary = budget_summary(state, BUDGET)
        assert (summary.billed, summary.held) == (0, 120)


async def test_declared_top_ups_that_are_missing_are_posted_once() -> None:
    async with running_ledger() as harness:
        top_ups = (TopUpDeclaration("first", 1000), TopUpDeclaration("second", 500))
        harness.ledger.top_ups.declarations = Declarations(
            budgets={BUDGET: Budget("desk", ("chat",), top_ups)}
        )
        answer = await harness.reserved("r1", 1400)
        assert answer.amount == 1400
        posted = [
            record
            for _, batch in harness.log.batches(STREAM)
            for record in batch.records
            if isinstance(record, TopUp) and record.author == "entry-1"
        ]
        assert posted == [TopUp(BUDGET, "second", 500, "entry-1")]


async def test_a_planned_stop_frees_all_grants() -> None:
    async with running_ledger() as harness:
        reservation = await harness.reserved("r1", 100)
        harness.ledger.take(ReceiptReceived(receipt(reservation, 30)))
        await wait_for(harness.ledger.until_settled(), TIMEOUT_S)
        assert await harness.ledger.close(TIMEOUT_S)
        summary = budget_summary(harness.replayed(), BUDGET)
        assert (summary.billed, summary.granted, summary.available) == (30, 0, 970)
