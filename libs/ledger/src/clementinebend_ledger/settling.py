"""How a bill changes the accounts of its budget.

A bill is paid from its grant, else from the hold that a released grant left behind,
else from the budget's available amount. Whatever none of these covers becomes a
shortfall. A shortfall was spent, so it is billed before any new grant is accepted,
but never beyond the budget. The shortfall of a held bill is held instead, since it
is not known to have been spent.

After a clean release no witness has bills left to log, so an unfunded bill means a
late transfer record (see ``early_bills``) or a violated invariant. It is not dropped,
since its request would then never be billed.

A held bill is one of a run with unknown cost. A later bill with the cost, of the same
run or of another run of the key, ends the hold and is billed.
"""

from clementinebend_ledger.outcomes import (
    Billed,
    BillRepeated,
    BillUnfunded,
    HoldResolved,
    Ignored,
    LedgerOutcome,
    OverrunDetected,
)
from clementinebend_ledger.state import (
    BILL_WINDOW,
    EARLY_WINDOW,
    BudgetEntry,
    LedgerState,
    add_hold,
    add_unheld,
    available,
    budget_entry,
    pay_shortfall,
    reduce_grant,
    reduce_hold,
    resolve_hold,
    trim_oldest,
    uncertain_amount,
)
from clementinebend_records.identifiers import GrantId
from clementinebend_records.records import Bill


def settle_bill(
    state: LedgerState, budget: str, bill: Bill
) -> tuple[LedgerOutcome, ...]:
    """Bill a request key, unless it was billed before."""
    if bill.amount < 0:
        return (Ignored("negative amount"),)
    entry = state.budgets.get(budget)
    if entry is not None and uncertain_amount(entry, bill.key) and not bill.held:
        return _replace_hold(state, budget, bill)
    billed_run = state.billed_runs.get(bill.key)
    if billed_run is not None:
        return (BillRepeated(bill, billed_run),)
    return _bill_once(state, budget, bill)


def _bill_once(
    state: LedgerState, budget: str, bill: Bill
) -> tuple[LedgerOutcome, ...]:
    state.billed_runs[bill.key] = bill.run
    trim_oldest(state.billed_runs, BILL_WINDOW)
    grant = state.grants.get(bill.grant)
    if grant is None or grant["budget"] != budget:
        return (_bill_without_grant(state, budget, bill),)
    return _bill_grant(state, budget, bill)


def _replace_hold(
    state: LedgerState, budget: str, bill: Bill
) -> tuple[LedgerOutcome, ...]:
    """End the hold of a key with the cost of the held run or of another run."""
    entry = state.budgets[budget]
    same_run = state.billed_runs.get(bill.key) == bill.run
    paid, freed = resolve_hold(entry, bill.key, bill.amount if same_run else 0)
    billed = (Billed(bill),) if same_run else _bill_once(state, budget, bill)
    pay_shortfall(entry)
    return HoldResolved(budget, bill.key, paid, freed), *billed


def _bill_grant(
    state: LedgerState, budget: str, bill: Bill
) -> tuple[LedgerOutcome, ...]:
    entry = budget_entry(state, budget)
    paid = reduce_grant(state, bill.grant, bill.amount)
    _charge(entry, bill, paid)
    if paid == bill.amount:
        return (Billed(bill),)
    excess = bill.amount - paid
    _add_shortfall(entry, bill, excess)
    pay_shortfall(entry)
    return Billed(bill), OverrunDetected(budget, bill.grant, excess)


def _bill_without_grant(state: LedgerState, budget: str, bill: Bill) -> LedgerOutcome:
    entry = budget_entry(state, budget)
    from_hold = reduce_hold(entry, bill.grant, bill.amount)
    _charge(entry, bill, from_hold)
    unfunded = bill.amount - from_hold
    if not unfunded:
        return Billed(bill)
    _add_early_bill(state, bill.grant, unfunded)
    covered = min(available(entry), unfunded)
    _charge(entry, bill, covered)
    _add_shortfall(entry, bill, unfunded - covered)
    return BillUnfunded(bill, unfunded, entry["shortfall"])


def _add_early_bill(state: LedgerState, grant: GrantId, amount: int) -> None:
    state.early_bills[grant] = state.early_bills.get(grant, 0) + amount
    trim_oldest(state.early_bills, EARLY_WINDOW)


def _charge(entry: BudgetEntry, bill: Bill, amount: int) -> None:
    if bill.held:
        add_hold(entry, bill.key, amount)
    else:
        entry["billed"] += amount


def _add_shortfall(entry: BudgetEntry, bill: Bill, amount: int) -> None:
    if bill.held:
        add_unheld(entry, bill.key, amount)
    else:
        entry["shortfall"] += amount
