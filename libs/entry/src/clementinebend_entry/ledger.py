"""The task that owns this entry's grants and its view of the ledger shards.

Reservations, settlements and cancellations change the state in memory; the
resulting records are appended in the next group commit of each shard's writer.
One holder incarnation covers all shards. When replay shows that it is closed in
any shard, the entry switches to a new holder; runs reserved under the old holder
are still billed to it.
"""

from asyncio import Event, Future, get_running_loop, timeout
from collections.abc import Iterable
from functools import singledispatchmethod
from logging import getLogger

from clementinebend_entry.budget_waits import Reservation, Waiter
from clementinebend_entry.holders import Holders
from clementinebend_entry.ledger_events import (
    CostUnknown,
    LedgerEvent,
    ReceiptReceived,
    Replayed,
    ReservationCancelled,
    ReservationRequested,
    Restored,
    Ticked,
    TransferReceived,
    WitnessesSeen,
)
from clementinebend_entry.ledger_listener import LedgerListener
from clementinebend_entry.ledger_outcomes import (
    count_outcome,
    logged_bill,
    touched_budgets,
)
from clementinebend_entry.metrics import BUDGET_REFUSALS, HELD_BILLS
from clementinebend_entry.outcomes import Refusal
from clementinebend_entry.posting import unmark_posted
from clementinebend_entry.settles import settle_records
from clementinebend_entry.shard import LogSettings
from clementinebend_entry.shards import LedgerShards
from clementinebend_entry.succession import Succession
from clementinebend_entry.top_ups import TopUpPoster
from clementinebend_entry.waiter_refusals import find_refusals
from clementinebend_ledger.holder import (
    HolderState,
    Reserved,
    has_witness,
    observe_budget,
    receive_transfer,
    reserve,
    settle,
)
from clementinebend_ledger.outcomes import HolderClosed, LedgerOutcome
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt
from clementinebend_records.records import Record
from clementinebend_transport.late_waits import wait_until_set

logger = getLogger(__name__)

IDLE_TICK_S = 0.25
BUSY_TICK_S = 0.05


class Ledger:
    """Owns the holder and the shards; create it inside a running loop."""

    def __init__(
        self,
        name: str,
        incarnation: Incarnation,
        shards: int,
        log: LogSettings,
        listener: LedgerListener,
    ) -> None:
        self.name = name
        self.loop = get_running_loop()
        self.listener = listener
        self.holders = Holders(name, incarnation)
        self.waiters: dict[RunId, Waiter] = {}
        self.dirty = Event()
        self.changed = Event()
        self.shards = LedgerShards(shards, log, self.take, self.unmark_unwritten)
        self.top_ups = TopUpPoster(name, self.shards)
        self.succession = Succession(self.holders, self.shards, self.loop.time())

    # Queries.

    @property
    def holder(self) -> HolderState:
        """The current holder."""
        return self.holders.current

    @holder.setter
    def holder(self, state: HolderState) -> None:
        self.holders.current = state

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the holder that makes new reservations."""
        return self.holder.incarnation

    @property
    def is_settled(self) -> bool:
        """Whether nothing is reserved and replay has confirmed all bills."""
        return self.holders.is_settled

    def is_witness(self, budget: str, witness: Incarnation) -> bool:
        """Return whether a witness may be used for runs of a budget."""
        stream = self.shards.of_budget(budget).stream
        return has_witness(self.holder, stream, witness)

    def is_witness_everywhere(self, witness: Incarnation) -> bool:
        """Return whether a witness may be used for runs of any budget."""
        streams = self.shards.by_stream
        return all(has_witness(self.holder, name, witness) for name in streams)

    async def reserve(
        self, run: RunId, budget: str, amount: int, deadline: float
    ) -> Reservation | Refusal:
        """Reserve tokens for a run, waiting for a grant if necessary."""
        reply: Future[Reservation | Refusal] = self.loop.create_future()
        now = self.loop.time()
        self.take(
            ReservationRequested(
                Waiter(run, budget, max(1, amount), deadline, reply, now)
            )
        )
        try:
            answer = await reply
        except BaseException:
            self.take(ReservationCancelled(run))
            raise
        if isinstance(answer, Reservation):
            return answer._replace(amount=amount)
        BUDGET_REFUSALS.labels(answer.reason).inc()
        return answer

    # Events.

    async def run(self) -> None:
        """Append due records and process waiting requests until cancelled."""
        while True:
            try:
                async with timeout(BUSY_TICK_S if self.waiters else IDLE_TICK_S):
                    await self.dirty.wait()
            except TimeoutError:
                waiting = (waiter.budget for waiter in self.waiters.values())
                self.refresh_budgets(waiting)
            self.dirty.clear()
            self.take(Ticked())

    @singledispatchmethod
    def take(self, event: LedgerEvent) -> None:
        """Apply one event."""
        raise TypeError(f"unknown ledger event: {event!r}")

    @take.register
    def _(self, event: Replayed) -> None:
        now = self.loop.time()
        self.listener.on_written(event.writer, now)
        own = self.holders.incarnations()
        for outcome in event.outcomes:
            count_outcome(outcome, own)
            self.apply_outcome(outcome, now, event.stream)
        if self.succession.switch_if_due():
            self.listener.on_rotated()
        budgets = touched_budgets(event.outcomes)
        self.refresh_budgets(self.holder.budgets if budgets is None else budgets)
        self.changed.set()
        self.dirty.set()

    @take.register
    def _(self, event: Restored) -> None:
        state = self.shards.by_stream[event.stream].state
        self.holders.resume(state, event.stream)
        if self.succession.switch_if_due():
            self.listener.on_rotated()
        self.dirty.set()

    @take.register
    def _(self, event: ReservationRequested) -> None:
        self.waiters[event.waiter.run] = event.waiter
        if not self.try_reserve(event.waiter):
            self.dirty.set()

    @take.register
    def _(self, event: ReservationCancelled) -> None:
        self.waiters.pop(event.run, None)
        self.holders.cancel(event.run)
        self.changed.set()
        self.dirty.set()

    @take.register
    def _(self, event: ReceiptReceived) -> None:
        receipt = event.receipt
        holder = self.holders.find(receipt.run)
        if holder is None:
            self.bill_foreign_run(receipt)
        else:
            now = self.loop.time()
            settle(holder, receipt.run, receipt.key, receipt.amount, now=now)
        self.dirty.set()

    @take.register
    def _(self, event: CostUnknown) -> None:
        holder = self.holders.find(event.run)
        if holder is not None:
            amount = holder.runs[event.run].amount
            settle(holder, event.run, event.key, amount, held=True)
            HELD_BILLS.inc()
        self.dirty.set()

    @take.register
    def _(self, event: WitnessesSeen) -> None:
        self.succession.reachable_witnesses = event
        self.succession.widen()

    @take.register
    def _(self, event: TransferReceived) -> None:
        self.holder = receive_transfer(self.holder, event.give)
        self.dirty.set()

    @take.register
    def _(self, event: Ticked) -> None:
        now = self.loop.time()
        waiting = tuple(self.waiters.values())
        left = [waiter for waiter in waiting if not self.try_reserve(waiter)]
        for run, refusal in find_refusals(left, self.holder, self.top_ups, now):
            self.waiters[run].reply.set_result(refusal)
            self.take(ReservationCancelled(run))
        self.succession.prepare_if_due(now)
        self.succession.append_planned(now)
        self.top_ups.post_due(now)

    # Steps.

    def apply_outcome(self, outcome: LedgerOutcome, now: float, stream: str) -> None:
        """Pass a replay outcome to the holders and the listener."""
        self.holders.apply_outcome(outcome, now, stream)
        bill = logged_bill(outcome)
        if bill is not None:
            self.listener.on_logged(bill)
        if isinstance(outcome, HolderClosed):
            self.listener.on_closed(outcome.holder)

    def try_reserve(self, waiter: Waiter) -> bool:
        """Reserve for a waiting request if a grant has enough free tokens.

        Returns whether the request has its reply.
        """
        now = self.loop.time()
        if waiter.reply.done():
            return True
        run, budget, amount = waiter.run, waiter.budget, waiter.amount
        self.holder, answer = reserve(self.holder, budget, run, amount, now)
        if not isinstance(answer, Reserved):
            return False
        reservation = Reservation(run, budget, answer.grant, self.incarnation, amount)
        del self.waiters[run]
        waiter.reply.set_result(reservation)
        return True

    def mark_peers_asked(self, waiters: Iterable[Waiter]) -> None:
        """Record that peers were asked for tokens for these requests."""
        still = (waiter for waiter in waiters if waiter.run in self.waiters)
        self.waiters |= {
            each.run: each._replace(has_asked_peers=True) for each in still
        }
        self.dirty.set()

    def refresh_budgets(self, budgets: Iterable[str]) -> None:
        """Update the holder with the account summaries of budgets that it uses."""
        now = self.loop.time()
        for budget in self.holder.budgets.keys() & set(budgets):
            summary = budget_summary(self.shards.of_budget(budget).state, budget)
            self.holder = observe_budget(self.holder, budget, summary, now)

    def bill_foreign_run(self, receipt: Receipt) -> None:
        """Bill a run whose reservation belongs to another entry's holder."""
        self.shards.post(
            self.shards.of_budget(receipt.budget), settle_records((receipt,))
        )

    def unmark_unwritten(self, stream: str, records: tuple[Record, ...]) -> None:
        """Unmark records that the log writer did not accept, to plan them again."""
        for holder in self.holders.all():
            unmark_posted(holder, stream, records)

    # Shutdown.

    async def until_changed(self, deadline: float) -> bool:
        """Wait until more of the log is read; false if ``deadline`` passes first."""
        self.changed.clear()
        return await wait_until_set(self.changed, deadline - self.loop.time())

    async def until_settled(self) -> None:
        """Wait until nothing is reserved and replay has confirmed all bills."""
        while not self.is_settled:
            self.changed.clear()
            await self.changed.wait()

    async def close(self, patience: float) -> bool:
        """Close the holder; return whether its clean close is on the log."""
        is_clean = self.succession.close_all()
        await self.shards.close(patience)
        return is_clean and self.shards.is_flushed
