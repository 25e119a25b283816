"""Stateful fuzzing of the ledger against an oracle that knows all executions.

Entries, sidecars, peers and the log fail in every way that their interfaces allow, in
any order. ``CLEMENTINEBEND_FUZZ=1`` runs more examples, with new seeds. Otherwise the
seed is derived from the source of the state machine without its comments, so an edit of
its code or docstrings changes the sequences that are run.
"""

from collections.abc import Iterator
from os import environ

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import booleans, integers, sampled_from

from clementinebend_records.identifiers import (
    RequestKey,
)
from clementinebend_records.records import HoldResolve, TopUp
from tests.unit.ledger.fuzz_fleet import pick, statistics
from tests.unit.ledger.fuzz_traffic import TrafficFleet

FUZZING = bool(environ.get("CLEMENTINEBEND_FUZZ"))
BUDGETS = ("blue", "red")
ENTRIES = 3
SIDECARS = 3
MAX_ENTRIES = 6

picks = integers(0, 59)
amounts = integers(1, 40)
mostly_true = sampled_from((True, True, True, False))


class LedgerMachine(TrafficFleet, RuleBasedStateMachine):
    """State machine of the fleet around one ledger stream."""

    def __init__(self) -> None:
        RuleBasedStateMachine.__init__(self)
        TrafficFleet.__init__(self)

    @initialize(amount=sampled_from((60, 200, 1000)))
    def begin(self, amount: int) -> None:
        for _ in range(ENTRIES):
            self.new_entry()
        for _ in range(SIDECARS):
            self.new_sidecar()
        for budget in BUDGETS:
            self.append_by_operator(TopUp(budget, "first", amount, "operator"))
        for entry in self.entries:
            self.tick(entry)

    # Requests

    @precondition(lambda self: self.serving_entries() and self.live_sidecars())
    @rule(
        at=picks,
        to=picks,
        budget=sampled_from(BUDGETS),
        cost=amounts,
        slack=integers(0, 20),
        lost=booleans(),
    )
    def request(
        self, at: int, to: int, budget: str, cost: int, slack: int, lost: bool
    ) -> None:
        self.submit(at, to, budget, cost, slack, lost)

    @precondition(lambda self: self.serving_entries() and self.oracle.requests)
    @rule(at=picks, to=picks, which=picks, slack=integers(0, 20), lost=booleans())
    def retry(self, at: int, to: int, which: int, slack: int, lost: bool) -> None:
        key = pick(list(self.oracle.requests), which)
        if self.live_sidecars() and key not in self.oracle.resolved:
            self.start_run(key, at, to, slack, lost)

    @precondition(lambda self: self.serving_entries() and self.live_sidecars())
    @rule(
        at=picks,
        to=picks,
        budget=sampled_from(BUDGETS),
        cost=integers(1, 10),
        count=integers(2, 6),
        finished=integers(0, 6),
        ended=integers(0, 6),
    )
    def serve(
        self,
        at: int,
        to: int,
        budget: str,
        cost: int,
        count: int,
        finished: int,
        ended: int,
    ) -> None:
        self.serve_requests(at, to, budget, cost, count, finished, ended)

    @precondition(lambda self: self.network.starts)
    @rule(which=picks)
    def late_start(self, which: int) -> None:
        """Deliver a start late or repeatedly, even if its entry is dead."""
        start = pick(self.network.starts, which)
        sidecar = self.sidecar(start.ticket.sidecar)
        if sidecar.alive and start.run not in self.oracle.refused:
            sidecar.start(start)

    @precondition(lambda self: self.in_flight())
    @rule(which=picks)
    def resend_start(self, which: int) -> None:
        entry, run = pick(self.in_flight(), which)
        self.send_start(entry, entry.in_flight[run])

    @precondition(lambda self: any(item.running for item in self.live_sidecars()))
    @rule(which=picks, count=integers(1, 4))
    def finish(self, which: int, count: int) -> None:
        for _ in range(count):
            running = [
                (item, run) for item in self.live_sidecars() for run in item.running
            ]
            if running:
                sidecar, run = pick(running, which)
                sidecar.finish(run)

    @precondition(lambda self: self.in_flight())
    @rule(which=picks)
    def end(self, which: int) -> None:
        self.send_end(*pick(self.in_flight(), which))

    @precondition(lambda self: self.in_flight())
    @rule(which=picks, to=picks)
    def keep_receipt(self, which: int, to: int) -> None:
        """Have a peer that is a logged witness keep a copy of a receipt."""
        entry, run = pick(self.in_flight(), which)
        receipt = self.sidecar(entry.in_flight[run].ticket.sidecar).finished.get(run)
        peer = pick(self.active_entries(), to)
        in_force = peer.incarnation in entry.holder.witnesses.get("", {})
        refusing = entry.incarnation in peer.holder.closed_senders
        if receipt and in_force and not refusing:
            peer.kept_receipts[run] = receipt

    @precondition(lambda self: self.active_entries() and self.live_sidecars())
    @rule(at=picks, which=picks)
    def receipts_logged(self, at: int, which: int) -> None:
        """Notify a sidecar that the bills that an entry has read are logged."""
        entry = pick(self.active_entries(), at)
        sidecar = pick(self.live_sidecars(), which)
        billed = set(entry.state.billed_runs.values())
        sidecar.logged |= billed & set(sidecar.finished)

    # Log

    @precondition(lambda self: self.active_entries())
    @rule(
        at=picks,
        count=integers(1, MAX_ENTRIES),
        budget=sampled_from(BUDGETS),
        passing=mostly_true,
    )
    def run_without_faults(
        self, at: int, count: int, budget: str, passing: bool
    ) -> None:
        """Have entries transfer, tick and serve without faults."""
        for index in range(count):
            self.transfer_and_use(
                pick(self.active_entries(), at), fresh=False, passing=passing
            )
            self.tick(pick(self.active_entries(), at + index))
            if self.serving_entries() and self.live_sidecars():
                self.serve(at + index, at, budget, 3, 2, 4, 4)

    @precondition(lambda self: self.active_entries())
    @rule(at=picks, delay=sampled_from((0.0, 0.5, 5.0)))
    def plan(self, at: int, delay: float) -> None:
        pick(self.active_entries(), at).plan(delay)

    @precondition(lambda self: any(entry.queue for entry in self.active_entries()))
    @rule(at=picks, delayed=booleans())
    def write(self, at: int, delayed: bool) -> None:
        writers = [entry for entry in self.active_entries() if entry.queue]
        pick(writers, at).write(delayed)

    @precondition(lambda self: self.log.delayed_appends)
    @rule(which=picks, lost=booleans())
    def deliver_append(self, which: int, lost: bool) -> None:
        batch = pick(self.log.delayed_appends, which)
        self.log.delayed_appends.remove(batch)
        if not lost:
            self.log.append(batch)

    @precondition(lambda self: self.log.batches)
    @rule(which=integers(0, 999))
    def repeat(self, which: int) -> None:
        """Append an earlier batch again."""
        self.log.append(pick(self.log.batches, which))

    @precondition(lambda self: self.active_entries())
    @rule(at=picks, limit=integers(1, 4))
    def read(self, at: int, limit: int) -> None:
        pick(self.active_entries(), at).read(limit)

    @precondition(lambda self: self.serving_entries())
    @rule(at=picks, which=picks, budget=sampled_from(BUDGETS))
    def widen_and_serve(self, at: int, which: int, budget: str) -> None:
        """Add a sidecar as a witness, and submit runs to it before that is logged."""
        self.new_sidecar()
        entry = pick(self.serving_entries(), at)
        entry.widen((self.sidecars[-1].incarnation,), ())
        at, to = self.serving_entries().index(entry), len(self.live_sidecars()) - 1
        for index in range(3):
            self.request(at, to, budget, 2, index, False)

    @precondition(lambda self: self.active_entries())
    @rule(at=picks)
    def checkpoint(self, at: int) -> None:
        pick(self.active_entries(), at).checkpoint()

    @rule()
    def trim(self) -> None:
        self.log.trim()

    @rule(at=picks, outage=booleans(), cut=booleans(), ends=booleans())
    def unreachable(self, at: int, outage: bool, cut: bool, ends: bool) -> None:
        """Begin or end an outage of the log, or disconnect one entry from it."""
        self.log.outage = outage and cut and not ends
        pick(self.entries, at).cut = cut and not ends

    # Process lifecycle

    @precondition(lambda self: len(self.active_entries()) > 1)
    @rule(at=picks)
    def kill_entry(self, at: int) -> None:
        pick(self.active_entries(), at).alive = False
        self.new_entry()

    @precondition(lambda self: len(self.active_entries()) > 1)
    @rule(at=picks)
    def pause_entry(self, at: int) -> None:
        pick(self.active_entries(), at).paused = True

    @rule()
    def resume_entries(self) -> None:
        for entry in self.entries:
            entry.paused = False

    @precondition(lambda self: len(self.active_entries()) < MAX_ENTRIES)
    @rule()
    def add_entry(self) -> None:
        self.new_entry()

    @precondition(lambda self: self.live_sidecars())
    @rule(which=picks)
    def replace_sidecar(self, which: int) -> None:
        pick(self.live_sidecars(), which).kill()
        self.new_sidecar()

    @precondition(lambda self: self.serving_entries())
    @rule(at=picks, passing=mostly_true)
    def stop_cleanly(self, at: int, passing: bool) -> None:
        entry = pick(self.serving_entries(), at)
        if not entry.in_flight:
            self.transfer_and_use(entry, fresh=True, passing=passing)
            entry.give_up_waiting()
            entry.stop_cleanly()
            self.new_entry()
            self.write_and_read(entry)

    @precondition(lambda self: self.active_entries())
    @rule(at=picks, victim=picks)
    def close(self, at: int, victim: int) -> None:
        entry = pick(self.active_entries(), at)
        entry.close(pick(self.entries, victim).incarnation)

    @precondition(lambda self: len(self.active_entries()) > 1)
    @rule(
        at=picks,
        victim=picks,
        which=integers(0, 999),
        budget=sampled_from(BUDGETS),
        passing=mostly_true,
        silent=booleans(),
        receiver_dies=booleans(),
    )
    def close_unaware_holder(
        self,
        at: int,
        victim: int,
        which: int,
        budget: str,
        passing: bool,
        silent: bool,
        receiver_dies: bool,
    ) -> None:
        """Close a holder and have its witnesses acknowledge before it reads the close.

        If ``silent``, the receiver of its last transfer does not acknowledge and, if
        the receiver dies too, its own close is not acknowledged either.
        """
        closed = pick(self.serving_entries() or self.entries, victim)
        self.serve_at(closed, which, budget)
        self.transfer_and_use(closed, fresh=True, passing=passing)
        others = [entry for entry in self.active_entries() if entry != closed]
        if not others:
            return
        closer, receiver = pick(others, at), self.entries[-1]
        dead = [entry for entry in self.entries if not entry.alive]
        dying = [receiver] if receiver_dies and passing else []
        for entry in [closed, *dead, *dying]:
            closer.close(entry.incarnation)
        self.finish_runs(closed)
        for _ in range(3):
            self.write_and_read(closer)
            for holder, witness in self.closed_and_witness(closer):
                asked = witness == receiver.incarnation
                if not (silent and (asked or holder == receiver.incarnation)):
                    self.notify(closer, holder, witness)
            for entry in others:
                self.write_and_read(entry)
        self.transfer_and_use(closed, fresh=False, passing=passing)
        self.serve_at(closed, which, budget)
        for entry in others:
            self.serve_at(entry, which, budget)

    @precondition(lambda self: self.active_entries())
    @rule(at=picks, which=picks, count=integers(1, 5))
    def close_notice(self, at: int, which: int, count: int) -> None:
        entry = pick(self.active_entries(), at)
        known = self.closed_and_witness(entry)
        for step in range(min(count, len(known))):
            self.notify(entry, *pick(known, which + step))

    # Budgets and transfers

    @rule(budget=sampled_from(BUDGETS), which=integers(0, 3), amount=amounts)
    def top_up(self, budget: str, which: int, amount: int) -> None:
        self.append_by_operator(TopUp(budget, f"top-up{which}", amount, "operator"))

    @precondition(lambda self: self.transfer_candidates())
    @rule(
        which=integers(0, 999),
        amount=amounts,
        arrives=booleans(),
        used=booleans(),
        dies=booleans(),
    )
    def transfer(
        self, which: int, amount: int, arrives: bool, used: bool, dies: bool
    ) -> None:
        """Transfer tokens that arrive late or are used at once; the sender may die."""
        sender, budget, receiver = pick(self.transfer_candidates(), which)
        if not self.transfer_tokens(sender, budget, receiver, amount, arrives):
            return
        if used:
            self.serve_at(receiver, which, budget)
        if dies and len(self.active_entries()) > 1:
            sender.alive = False
            self.new_entry()

    @precondition(lambda self: self.network.transfers)
    @rule(which=picks)
    def late_transfer(self, which: int) -> None:
        message = pick(self.network.transfers, which)
        for entry in self.active_entries():
            entry.receive_transfer(message)

    @precondition(lambda self: self.oracle.holds())
    @rule(which=picks)
    def resolve_hold_at_cost(self, which: int) -> None:
        """Have an operator end the hold of a key with its true cost as the charge."""
        key = RequestKey(pick(sorted(self.oracle.holds()), which))
        if key not in self.oracle.requests:
            return
        budget, cost = self.oracle.requests[key]
        charge = cost if key in self.oracle.executed(budget) else 0
        hold = self.oracle.state.budgets[budget]["holds"][key]
        self.append_by_operator(HoldResolve(budget, key, min(charge, hold), "operator"))
        statistics["written off"] += 1

    @invariant()
    def invariants_hold(self) -> None:
        statistics["checks"] += 1
        self.oracle.check()

    def teardown(self) -> None:
        statistics["offsets"] += len(self.log.batches)
        statistics["executed"] += len(self.oracle.executions)
        statistics["refused"] += len(self.oracle.refused)
        statistics["sidecars lost"] += self.oracle.sidecars_lost
        self.end_faults()
        for _ in range(3):
            self.end_runs()
            self.tick_all()
        for entry in self.active_entries()[::2]:
            if not entry.is_stopped and not entry.in_flight:
                entry.give_up_waiting()
                entry.stop_cleanly()
        self.tick_all()
        self.close_all()
        self.oracle.check_quiescent()
        receipts = (
            item for one in self.live_sidecars() for item in one.finished.values()
        )
        assert not {receipt.key for receipt in receipts} & self.oracle.holds()
        self.end_holds()
        self.oracle.check_settled()


@pytest.fixture(scope="module", autouse=True)
def count_steps() -> Iterator[None]:
    yield
    print(f"\nledger fuzzing: {dict(statistics)}")  # noqa: T201


def test_ledger_against_oracle() -> None:
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            max_examples=600 if FUZZING else 140,
            stateful_step_count=60 if FUZZING else 40,
            derandomize=not FUZZING,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    assert statistics["executed"] > 0
