"""The task that owns this entry's grants and its view of the ledger shards.

It reserves, settles and cancels in memory, and appends what follows with the
writers' next group commits. One holder incarnation covers all shards; when
replay shows it closed in any of them the entry goes on as a new one, and what
runs under the old one is still billed by it.
"""

from asyncio import Event, Future, get_running_loop, timeout
from functools import singledispatchmethod
from logging import getLogger

from clementinebend_entry.budget_waits import (
    LOG_PATIENCE_S,
    BudgetView,
    Reservation,
    Waiter,
    is_settling,
    judge_waiter,
)
from clementinebend_entry.ledger_events import (
    Finished,
    LedgerEvent,
    PartReceived,
    Replayed,
    Restored,
    Ticked,
    Unproved,
    Wanted,
    Withdrawn,
    WitnessesSeen,
)
from clementinebend_entry.ledger_listener import LedgerListener
from clementinebend_entry.ledger_outcomes import count_outcome, logged_bill
from clementinebend_entry.metrics import BUDGET_REFUSALS, HELD_BILLS
from clementinebend_entry.outcomes import Refusal
from clementinebend_entry.posting import forget_post
from clementinebend_entry.shard import LogSettings
from clementinebend_entry.shards import Shards
from clementinebend_entry.top_ups import TopUpPoster
from clementinebend_ledger.holder import (
    HolderState,
    Reserved,
    budget_seen,
    cancel,
    close_cleanly,
    empty_holder,
    has_witness,
    on_outcome,
    plan,
    receive,
    reserve,
    resume,
    settle,
    widen,
)
from clementinebend_ledger.outcomes import HolderClosed, LedgerOutcome
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import Incarnation, RunId, new_incarnation
from clementinebend_records.messages import Receipt
from clementinebend_records.records import Bill, Record, Settle

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
        self.holder: HolderState = empty_holder(incarnation)
        self.retired: list[HolderState] = []
        self.waiters: dict[RunId, Waiter] = {}
        self.witnesses = WitnessesSeen((), ())
        self.dirty = Event()
        self.changed = Event()
        self.is_stopping = False
        self.shards = Shards(shards, log, self.take, self.take_back)
        self.top_ups = TopUpPoster(name, self.shards)

    # Questions.

    @property
    def incarnation(self) -> Incarnation:
        """The holder that new reservations are made under."""
        return self.holder.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether all shards have caught up with the log."""
        return self.shards.is_ready

    @property
    def is_settled(self) -> bool:
        """Whether nothing is reserved and all bills were read back."""
        holders = (self.holder, *self.retired)
        return not any(holder.runs or holder.bills for holder in holders)

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
        """Set tokens aside for a run, waiting for a grant if need be."""
        reply: Future[Reservation | Refusal] = self.loop.create_future()
        needed = max(1, amount)
        self.take(Wanted(Waiter(run, budget, needed, deadline, reply)))
        try:
            answer = await reply
        except BaseException:
            self.take(Withdrawn(run))
            raise
        if isinstance(answer, Reservation):
            return answer._replace(amount=amount)
        BUDGET_REFUSALS.labels(answer.reason).inc()
        return answer

    # Events.

    async def run(self) -> None:
        """Append what is due, and judge those who wait, for ever."""
        while True:
            try:
                async with timeout(BUSY_TICK_S if self.waiters else IDLE_TICK_S):
                    await self.dirty.wait()
            except TimeoutError:
                self.note_budgets()
            self.dirty.clear()
            self.take(Ticked())

    @singledispatchmethod
    def take(self, event: LedgerEvent) -> None:
        """Take in one event."""
        raise TypeError(f"no ledger event: {event!r}")

    @take.register
    def _(self, event: Replayed) -> None:
        now = self.loop.time()
        self.listener.on_written(event.writer, now)
        for outcome in event.outcomes:
            self.learn(outcome, now, event.stream)
        if self.holder.closed and not self.is_stopping:
            self.rotate()
        self.note_budgets()
        self.changed.set()
        self.dirty.set()

    @take.register
    def _(self, event: Restored) -> None:
        state = self.shards.by_stream[event.stream].state
        self.holder = resume(self.holder, state, event.stream)
        self.retired = [resume(old, state, event.stream) for old in self.retired]
        if self.holder.closed:
            self.rotate()
        self.dirty.set()

    @take.register
    def _(self, event: Wanted) -> None:
        self.waiters[event.waiter.run] = event.waiter
        if not self.try_waiter(event.waiter):
            self.dirty.set()

    @take.register
    def _(self, event: Withdrawn) -> None:
        self.waiters.pop(event.run, None)
        self.holder = cancel(self.holder, event.run)
        self.retired = [cancel(holder, event.run) for holder in self.retired]
        self.dirty.set()

    @take.register
    def _(self, event: Finished) -> None:
        receipt = event.receipt
        holder = self.holder_of(receipt.run)
        if holder is None:
            self.post_foreign(receipt)
        else:
            now = self.loop.time()
            settle(holder, receipt.run, receipt.key, receipt.amount, now=now)
        self.dirty.set()

    @take.register
    def _(self, event: Unproved) -> None:
        holder = self.holder_of(event.run)
        if holder is not None:
            amount = holder.runs[event.run].amount
            settle(holder, event.run, event.key, amount, held=True)
            HELD_BILLS.inc()
        self.dirty.set()

    @take.register
    def _(self, event: WitnessesSeen) -> None:
        self.witnesses = event
        self.widen_scope()

    @take.register
    def _(self, event: PartReceived) -> None:
        self.holder = receive(self.holder, event.give)
        self.dirty.set()

    @take.register
    def _(self, event: Ticked) -> None:
        now = self.loop.time()
        for waiter in tuple(self.waiters.values()):
            if not self.try_waiter(waiter):
                self.judge(waiter, now)
        self.append_planned(now)
        self.top_ups.post_due(now)

    # Steps.

    def learn(self, outcome: LedgerOutcome, now: float, stream: str) -> None:
        """Hand an outcome of replay to the holders."""
        mine = {self.incarnation, *(holder.incarnation for holder in self.retired)}
        count_outcome(outcome, mine)
        self.holder = on_outcome(self.holder, outcome, now, stream)
        self.retired = [
            on_outcome(holder, outcome, now, stream) for holder in self.retired
        ]
        bill = logged_bill(outcome)
        if bill is not None:
            self.listener.on_logged(bill)
        if isinstance(outcome, HolderClosed):
            self.listener.on_closed(outcome.holder)

    def rotate(self) -> None:
        """Go on as a new holder; the old one bills what is still running."""
        old = self.holder._replace(closed=True)
        self.retired.append(old)
        self.holder = empty_holder(new_incarnation(self.name))
        logger.info("holder %s is closed, now %s", old.incarnation, self.incarnation)
        for waiter in tuple(self.waiters.values()):
            self.try_waiter(waiter)
        self.widen_scope()
        self.listener.on_rotated()
        self.dirty.set()

    def widen_scope(self) -> None:
        """Ask for the witnesses that are not in the holder's scope."""
        for stream, shard in self.shards.by_stream.items():
            self.holder, records = widen(self.holder, *self.witnesses, stream)
            self.shards.post(shard, records)

    def try_waiter(self, waiter: Waiter) -> bool:
        """Reserve for one who waits, if a grant has room."""
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

    def judge(self, waiter: Waiter, now: float) -> None:
        """Refuse one who waits if waiting is of no use."""
        shard = self.shards.of_budget(waiter.budget)
        failing_for = shard.failing_for(now)
        missing = self.top_ups.missing(waiter.budget)
        view = BudgetView(
            budget_summary(shard.state, waiter.budget),
            sum(top_up.amount for top_up in missing),
            failing_for,
            is_settling(self.holder, waiter, failing_for > LOG_PATIENCE_S, now),
        )
        refusal = judge_waiter(waiter, view, now)
        if refusal is not None and not waiter.reply.done():
            waiter.reply.set_result(refusal)
            self.take(Withdrawn(waiter.run))

    def note_budgets(self) -> None:
        """Tell the holder the accounts of the budgets it uses."""
        for budget in tuple(self.holder.budgets):
            summary = budget_summary(self.shards.of_budget(budget).state, budget)
            self.holder = budget_seen(self.holder, budget, summary)

    def append_planned(self, now: float) -> None:
        """Append what the holders plan."""
        delay = self.shards.delay
        self.holder, records = plan(self.holder, now, delay)
        self.shards.post_by_budget(records)
        for index, holder in enumerate(self.retired):
            self.retired[index], records = plan(holder, now, delay)
            self.shards.post_by_budget(records)
        self.retired = [
            holder
            for holder in self.retired
            if holder.runs or holder.bills or holder.transfers
        ]

    def holder_of(self, run: RunId) -> HolderState | None:
        """Return the own holder under which a run is reserved."""
        holders = (self.holder, *self.retired)
        return next((holder for holder in holders if run in holder.runs), None)

    def post_foreign(self, receipt: Receipt) -> None:
        """Bill a run that another entry's holder reserved for."""
        bill = Bill(receipt.key, receipt.run, receipt.grant, receipt.amount)
        shard = self.shards.of_budget(receipt.budget)
        self.shards.post(shard, (Settle(receipt.budget, (bill,)),))

    def take_back(self, stream: str, records: tuple[Record, ...]) -> None:
        """Take back what the log's writer did not take."""
        for holder in (self.holder, *self.retired):
            forget_post(holder, stream, records)

    # Planned stop.

    async def until_settled(self) -> None:
        """Wait until nothing is reserved and all bills were read back."""
        while not self.is_settled:
            self.changed.clear()
            await self.changed.wait()

    async def close(self, patience: float) -> bool:
        """End the holder; return whether its clean close is on the log."""
        self.is_stopping = True
        is_clean = self.is_settled
        if is_clean:
            self.holder, records = close_cleanly(self.holder)
            for shard in self.shards.by_stream.values():
                shard.writer.post(records)
        await self.shards.close(patience)
        return is_clean and self.shards.is_flushed
