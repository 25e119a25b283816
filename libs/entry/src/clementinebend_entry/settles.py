"""Conversion of receipts into the ledger records that bill them."""

from collections.abc import Iterable
from itertools import groupby

from clementinebend_records.messages import Receipt
from clementinebend_records.records import Bill, Record, Settle


def settle_records(receipts: Iterable[Receipt]) -> tuple[Record, ...]:
    """Return one settle record per budget with the bills of its receipts."""
    ordered = sorted(receipts, key=budget_of)
    return tuple(
        Settle(budget, tuple(map(bill_of, group)))
        for budget, group in groupby(ordered, key=budget_of)
    )


def budget_of(receipt: Receipt) -> str:
    """Return the budget that a receipt is charged to."""
    return receipt.budget


def bill_of(receipt: Receipt) -> Bill:
    """Return the bill of a receipt."""
    return Bill(receipt.key, receipt.run, receipt.grant, receipt.amount)
