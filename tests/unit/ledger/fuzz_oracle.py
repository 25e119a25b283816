"""Oracle for fuzzing the ledger, which knows every append and every execution.

It replays an append as soon as it takes effect and records each run that spent
tokens, so the ledger's invariants can be checked after every step.
"""

from collections import Counter
from typing import NamedTuple

from clementinebend_ledger.outcomes import (
    Billed,
    BillUnfunded,
    OverrunDetected,
    TransferApplied,
)
from clementinebend_ledger.replay import (
    LedgerState,
    budget_summary,
    empty_ledger,
    ledger_digest,
    replay,
)
from clementinebend_records.identifiers import GrantId, RequestKey, RunId
from clementinebend_records.records import Batch, Bill, HoldResolve


class Request(NamedTuple):
    """The cost of a key, which is the same for every run of it."""

    budget: str
    cost: int


class Execution(NamedTuple):
    """A run that spent tokens."""

    key: RequestKey
    grant: GrantId


class Oracle:
    """All requests, executions and bills, and the state digest at each offset.

    ``parent_grants`` maps each transfer to the grant that it was deducted from.
    """

    def __init__(self) -> None:
        self.state: LedgerState = empty_ledger()
        self.digests: list[str] = []
        self.requests: dict[RequestKey, Request] = {}
        self.executions: dict[RunId, Execution] = {}
        self.refused: set[RunId] = set()
        self.bills: list[Bill] = []
        self.overruns = 0
        self.resolved: dict[RequestKey, int] = {}
        self.parent_grants: dict[GrantId, GrantId] = {}
        self.logged_transfers: set[GrantId] = set()
        self.sidecars_lost = 0

    def on_append(self, offset: int, batch: Batch) -> None:
        """Replay an append and record its bills, transfers and resolved holds."""
        self.state, outcomes = replay(self.state, offset, batch)
        self.digests.append(ledger_digest(self.state))
        funded = [outcome for outcome in outcomes if isinstance(outcome, Billed)]
        unfunded = [item for item in outcomes if isinstance(item, BillUnfunded)]
        self.bills += [item.bill for item in funded + unfunded]
        self.overruns += sum(isinstance(item, OverrunDetected) for item in outcomes)
        applied = (item for item in outcomes if isinstance(item, TransferApplied))
        self.logged_transfers |= {item.transfer for item in applied}
        resolves = [row for row in batch.records if isinstance(row, HoldResolve)]
        self.resolved |= {RequestKey(row.subject): row.charge for row in resolves}

    def holds(self) -> set[str]:
        """Return all request keys and grants that have a hold."""
        return {
            name for entry in self.state.budgets.values() for name in entry["holds"]
        }

    def executed(self, budget: str) -> set[RequestKey]:
        """Return the keys of a budget that were executed, at least partly."""
        keys = {execution.key for execution in self.executions.values()}
        return {key for key in keys if self.requests[key].budget == budget}

    def covered_by_hold(self) -> set[RequestKey]:
        """Return the keys covered by a hold: their own, a grant's or its parent's."""
        holds = self.holds()
        runs = self.executions.values()
        by_grant = {run.key for run in runs if self.covering_grant(run.grant) in holds}
        return by_grant | {key for key in self.requests if key in holds}

    def check(self) -> None:
        """Check the invariants that hold after every step."""
        assert not self.overruns
        covered = self.covered_by_hold()
        for budget in self.state.budgets:
            accounts = budget_summary(self.state, budget)
            assert min(accounts) >= 0
            assert accounts.granted == self.remainders(budget)
            executed = self.executed(budget)
            spent = sum(self.requests[key].cost for key in executed)
            assert spent <= accounts.topped_up
            not_held = sum(self.requests[key].cost for key in executed - covered)
            assert not_held + accounts.held <= accounts.topped_up
            assert accounts.billed <= spent + self.charged(budget)
        self.check_grant_cover(covered)
        for bill in self.bills:
            assert bill.run not in self.refused
        known = [bill for bill in self.bills if not bill.held]
        assert all(bill.run in self.executions for bill in known)
        assert all(bill.amount == self.requests[bill.key].cost for bill in known)
        counts = Counter(bill.key for bill in known)
        assert all(count == 1 for count in counts.values())

    def remainders(self, budget: str) -> int:
        """Return the total remainder of the open grants of a budget."""
        grants = self.state.grants.values()
        return sum(item["remainder"] for item in grants if item["budget"] == budget)

    def check_grant_cover(self, covered: set[RequestKey]) -> None:
        """Check that every unbilled cost fits into the remainder of its grant."""
        billed = {bill.key for bill in self.bills if not bill.held}
        settled = billed | covered | set(self.resolved)
        unbilled = {run for run in self.executions.values() if run.key not in settled}
        costs: Counter[GrantId] = Counter()
        for key, grant in unbilled:
            costs[self.covering_grant(grant)] += self.requests[key].cost
        for grant, cost in costs.items():
            assert grant in self.state.grants
            assert cost <= self.state.grants[grant]["remainder"]

    def covering_grant(self, grant: GrantId) -> GrantId:
        """Return the grant that covers a run; the parent of an unlogged transfer."""
        return (
            grant
            if grant in self.logged_transfers
            else self.parent_grants.get(grant, grant)
        )

    def covered_by_parent_holds(self, budget: str) -> int:
        """Return the cost of runs under transfers that only parent holds cover.

        No process survived to log such a transfer, so replay cannot know which hold
        has its tokens: its bills are a shortfall until an operator ends the hold.
        """
        holds = self.holds()
        runs = (self.executions[item.run] for item in self.bills if not item.held)
        return sum(
            self.requests[key].cost
            for key, grant in runs
            if self.requests[key].budget == budget
            and self.covering_grant(grant) != grant
            and self.covering_grant(grant) in holds
        )

    def check_unheld(self, budget: str) -> int:
        """Return the unheld total, which only held bills of unknown cost may have."""
        entry = self.state.budgets[budget]
        proved = {bill.key for bill in self.bills if not bill.held}
        held_amounts = {bill.key: bill.amount for bill in self.bills if bill.held}
        for name, amount in entry["unheld"].items():
            key = RequestKey(name)
            assert key not in proved
            assert amount + entry["holds"].get(key, 0) == held_amounts[key]
            assert budget_summary(self.state, budget).available == 0
        return sum(entry["unheld"].values())

    def charged(self, budget: str) -> int:
        """Return the total that operators charged for holds of a budget's keys."""
        charges = self.resolved.items()
        return sum(n for key, n in charges if n and self.requests[key].budget == budget)

    def check_quiescent(self) -> None:
        """Check the state once all faults have ended and all holders are released."""
        self.check()
        assert not self.state.grants
        assert not self.state.holders
        covered = self.covered_by_hold() | set(self.resolved)
        billed = {bill.key for bill in self.bills if not bill.held}
        for budget in self.state.budgets:
            accounts = budget_summary(self.state, budget)
            executed = self.executed(budget)
            assert executed - billed <= covered
            costs = sum(self.requests[key].cost for key in executed & billed)
            waiting = accounts.shortfall - self.check_unheld(budget)
            assert accounts.billed + waiting == costs + self.charged(budget)
            assert 0 <= waiting <= self.covered_by_parent_holds(budget)
            if not self.sidecars_lost:
                assert accounts.held == 0

    def check_settled(self) -> None:
        """Check that all costs are billed once operators have ended every hold."""
        billed = {bill.key for bill in self.bills if not bill.held}
        for budget in self.state.budgets:
            accounts = budget_summary(self.state, budget)
            executed = self.executed(budget)
            costs = sum(self.requests[key].cost for key in executed & billed)
            assert accounts.billed == costs + self.charged(budget)
            assert accounts.shortfall == accounts.held == accounts.granted == 0
