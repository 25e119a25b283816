"""Fake entry for fuzzing: a holder with a reader and a writer of the ledger stream."""

from collections import deque
from collections.abc import Iterable
from itertools import groupby

from clementinebend_ledger.holder import (
    cancel,
    close_cleanly,
    empty_holder,
    has_witness,
    observe_budget,
    on_outcome,
    plan,
    receive_transfer,
    refuse_sender,
    reserve,
    resume,
    send_transfer,
    settle,
    widen,
)
from clementinebend_ledger.holder_state import Reserved
from clementinebend_ledger.outcomes import Billed, BillRepeated
from clementinebend_ledger.replay import (
    budget_summary,
    empty_ledger,
    ledger_checkpoint,
    ledger_digest,
    replay,
    restore_ledger,
)
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)
from clementinebend_records.messages import Receipt, Ticket, TransferReply
from clementinebend_records.records import (
    Batch,
    Bill,
    CloseAck,
    HolderClose,
    Record,
    Settle,
)
from tests.unit.ledger.fuzz_world import FakeLog, FakeSidecar, Start


class FakeEntry:
    """One incarnation of an entry.

    A paused entry does nothing, one that is ``cut`` cannot reach the log.
    """

    def __init__(self, incarnation: Incarnation, log: FakeLog) -> None:
        self.incarnation = incarnation
        self.log = log
        self.holder = empty_holder(incarnation)
        self.state = empty_ledger()
        self.position = 0
        self.alive = True
        self.paused = False
        self.cut = False
        self.is_stopped = False
        self.sequence = 0
        self.queue: deque[Batch] = deque()
        self.in_flight: dict[RunId, Start] = {}
        self.kept_receipts: dict[RunId, Receipt] = {}
        self.now = 0.0

    def enqueue(self, records: Iterable[Record]) -> None:
        """Queue a batch, which is appended repeatedly until it is read back."""
        rows = tuple(records)
        if rows:
            self.sequence += 1
            self.queue.append(Batch(self.incarnation, self.sequence, rows))

    def write(self, delayed: bool = False) -> None:
        """Append the first batch that has not been read back."""
        if not self.queue or self.log.outage or self.cut:
            return
        if delayed:
            self.log.delayed_appends.append(self.queue[0])
        else:
            self.log.append(self.queue[0])

    def read(self, limit: int = 1000) -> None:
        """Read further batches, from a checkpoint if the log trimmed the next one."""
        if self.log.outage or self.cut:
            return
        if self.position < self.log.oldest:
            self._restore()
        end = min(len(self.log.batches), self.position + limit)
        for offset in range(self.position, end):
            self._read_batch(offset, self.log.batches[offset])
        self.position = max(self.position, end)
        self._drop_read_back()
        for budget in self.holder.budgets:
            summary = budget_summary(self.state, budget)
            self.holder = observe_budget(self.holder, budget, summary)

    def plan(self, log_delay: float) -> None:
        """Queue the records that the holder plans, one second later."""
        self.now += 1.0
        self.holder, rows = plan(self.holder, self.now, log_delay)
        self.enqueue(record for budget in rows.values() for record in budget)

    def widen(
        self, sidecars: tuple[Incarnation, ...], peers: tuple[Incarnation, ...]
    ) -> None:
        """Queue the scope records of new witnesses."""
        self.holder, scopes = widen(self.holder, sidecars, peers)
        self.enqueue(scopes)

    def submit(
        self,
        run: RunId,
        key: RequestKey,
        budget: str,
        amount: int,
        sidecar: Incarnation,
    ) -> Start | None:
        """Reserve for a run and create its ticket, if its sidecar is a witness."""
        if not has_witness(self.holder, "", sidecar):
            return None
        self.holder, outcome = reserve(self.holder, budget, run, amount, self.now)
        if not isinstance(outcome, Reserved):
            return None
        ticket = Ticket(budget, outcome.grant, self.incarnation, sidecar, amount)
        self.in_flight[run] = Start(run, key, ticket)
        return self.in_flight[run]

    def ended(self, run: RunId, amount: int, held: bool = False) -> None:
        """Settle a run at its cost; ``held`` if the cost is unknown."""
        start = self.in_flight.pop(run)
        self.holder, _ = settle(self.holder, run, start.key, amount, held)

    def refused(self, run: RunId) -> None:
        """Free the reservation of a run that is known not to have executed."""
        del self.in_flight[run]
        self.holder = cancel(self.holder, run)

    def give_up_waiting(self) -> None:
        """Cancel the runs that wait for a grant."""
        for run in list(self.holder.waiting):
            self.holder = cancel(self.holder, run)

    def send_transfer(
        self, budget: str, transfer: GrantId, receiver: Incarnation, amount: int
    ) -> TransferReply:
        """Transfer tokens of a grant to a peer."""
        self.holder, message = send_transfer(
            self.holder, budget, transfer, receiver, amount
        )
        return message

    def receive_transfer(self, message: TransferReply) -> None:
        """Receive a transfer from a peer."""
        self.holder = receive_transfer(self.holder, message)

    def stop_cleanly(self) -> None:
        """Close cleanly, which requires that no run is in flight."""
        self.holder, records = close_cleanly(self.holder)
        self.enqueue(records)
        self.is_stopped = True

    def close(self, victim: Incarnation) -> None:
        """Queue the close of a holder that is presumed dead."""
        self.enqueue([HolderClose(victim, self.incarnation)])

    def request_close_ack(self, victim: Incarnation, sidecar: FakeSidecar) -> None:
        """Have a sidecar reject a closed holder, and queue its receipts and answer."""
        if not sidecar.alive:
            ack = CloseAck(victim, sidecar.incarnation, lost=True)
            self.enqueue([ack])
            return
        receipts = sidecar.close(victim)
        if receipts is not None:
            ack = CloseAck(victim, sidecar.incarnation)
            self.enqueue([*settle_records(receipts), ack])

    def acknowledge_close(self, victim: Incarnation) -> None:
        """Queue the acknowledgement of a closed holder as its peer, in one batch."""
        self.holder, transfers = refuse_sender(self.holder, victim)
        receipts = [
            item for item in self.kept_receipts.values() if item.holder == victim
        ]
        ack = CloseAck(victim, self.incarnation)
        self.enqueue([*transfers, *settle_records(receipts), ack])

    def checkpoint(self) -> None:
        """Queue a checkpoint of the state that was read."""
        if self.state.offset >= 0:
            self.enqueue([ledger_checkpoint(self.state, "ledger-0")])

    def _restore(self) -> None:
        checkpoint = self.log.checkpoint()
        self.state = restore_ledger(checkpoint)
        self.position = checkpoint.offset + 1
        self.holder = resume(self.holder, self.state)

    def _read_batch(self, offset: int, batch: Batch) -> None:
        self.state, outcomes = replay(self.state, offset, batch)
        assert ledger_digest(self.state) == self.log.oracle.digests[offset]
        for outcome in outcomes:
            self.holder = on_outcome(self.holder, outcome, self.now)
            if isinstance(outcome, Billed | BillRepeated):
                self.kept_receipts.pop(outcome.bill.run, None)

    def _drop_read_back(self) -> None:
        last = self.state.sequences.get(self.incarnation, 0)
        while self.queue and self.queue[0].sequence <= last:
            self.queue.popleft()


def settle_records(receipts: Iterable[Receipt]) -> list[Settle]:
    """Return the settle records that bill receipts, one per budget."""
    ordered = sorted(receipts, key=lambda receipt: receipt.budget)
    groups = groupby(ordered, key=lambda receipt: receipt.budget)
    return [
        Settle(budget, tuple(_bill_from_receipt(receipt) for receipt in group))
        for budget, group in groups
    ]


def _bill_from_receipt(receipt: Receipt) -> Bill:
    return Bill(receipt.key, receipt.run, receipt.grant, receipt.amount)
