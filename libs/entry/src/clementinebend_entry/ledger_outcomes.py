"""Metrics for replay outcomes, and the bills and budgets they concern."""

from collections.abc import Container, Iterable
from functools import singledispatch
from typing import Any

from clementinebend_entry.metrics import BILLS, GRANTS, TOKENS_BILLED
from clementinebend_ledger.outcomes import (
    Billed,
    BillRepeated,
    BillUnfunded,
    GrantAccepted,
    GrantRefused,
    HolderReleased,
    LedgerOutcome,
)
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Bill


@singledispatch
def logged_bill(outcome: Any) -> Bill | None:
    """Return the logged bill that an outcome reports, or None."""
    return None


@logged_bill.register
def _(outcome: Billed) -> Bill | None:
    return outcome.bill


@logged_bill.register
def _(outcome: BillRepeated) -> Bill | None:
    return outcome.bill


@logged_bill.register
def _(outcome: BillUnfunded) -> Bill | None:
    return outcome.bill


def count_outcome(outcome: LedgerOutcome, own_holders: Container[Incarnation]) -> None:
    """Count an outcome in the metrics if it concerns one of ``own_holders``."""
    if isinstance(outcome, GrantAccepted) and outcome.holder in own_holders:
        GRANTS.labels("accepted").inc()
    elif isinstance(outcome, GrantRefused) and outcome.holder in own_holders:
        GRANTS.labels(outcome.reason).inc()
    elif isinstance(outcome, Billed) and _holder_of(outcome.bill) in own_holders:
        BILLS.labels("held" if outcome.bill.held else "billed").inc()
        TOKENS_BILLED.inc(outcome.bill.amount)
    elif isinstance(outcome, BillRepeated) and _holder_of(outcome.bill) in own_holders:
        BILLS.labels("repeated").inc()


def _holder_of(bill: Bill) -> Incarnation:
    """Return the holder from a grant id of the form ``incarnation/number``."""
    return Incarnation(bill.grant.rpartition("/")[0])


def touched_budgets(outcomes: Iterable[LedgerOutcome]) -> set[str] | None:
    """Return the budgets whose accounts changed; None if any may have."""
    budgets: set[str] = set()
    for outcome in outcomes:
        if isinstance(outcome, HolderReleased):
            return None
        budgets.add(getattr(outcome, "budget", ""))
    return budgets
