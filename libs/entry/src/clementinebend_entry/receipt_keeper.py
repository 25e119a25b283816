"""Stores receipts for peers of other zones until they are logged.

If a receipt's holder does not log it in time, the keeper bills it: any witness
may log a bill, and replay bills a key once.
"""

from collections.abc import Callable, Iterable
from time import monotonic

from clementinebend_entry.kept_receipts import (
    close_receipts,
    empty_receipts,
    forget_receipts,
    keep_receipt,
)
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt
from clementinebend_records.records import Bill

MAX_UNLOGGED_S = 60.0
"""How long a receipt may stay unlogged before its keeper bills it, in seconds."""


class ReceiptKeeper:
    """Owns the receipts stored here; ``bill`` appends one to the log."""

    def __init__(self, bound: int, bill: Callable[[Receipt], None]) -> None:
        self.store = empty_receipts(bound)
        self.bill = bill
        self.kept_at: dict[RunId, float] = {}

    def keep(self, receipt: Receipt) -> bool:
        """Store a receipt; false if the store is full or its holder is closed."""
        self.store, is_kept = keep_receipt(self.store, receipt)
        if is_kept:
            self.kept_at.setdefault(receipt.run, monotonic())
        return is_kept

    def forget(self, runs: Iterable[RunId]) -> None:
        """Delete receipts whose bills are on the log."""
        for run in runs:
            self.kept_at.pop(run, None)
            self.store = forget_receipts(self.store, (run,))

    def on_logged(self, bill: Bill) -> None:
        """Delete a receipt whose bill has been replayed."""
        if bill.run in self.kept_at:
            self.forget((bill.run,))

    def close(self, holder: Incarnation) -> tuple[Receipt, ...]:
        """Refuse new receipts of a closed holder; return those stored."""
        self.store, receipts = close_receipts(self.store, holder)
        return receipts

    def bill_closed_holder(self, holder: Incarnation) -> None:
        """Bill the stored receipts of a holder that the log shows as closed.

        The closing entry may ask for an earlier incarnation of this entry and get
        no answer; the receipts stored here must not be lost in that case.
        """
        for receipt in tuple(self.store.receipts.values()):
            if receipt.holder == holder:
                self.bill(receipt)

    def bill_all(self) -> None:
        """Bill all stored receipts before this entry shuts down."""
        for receipt in tuple(self.store.receipts.values()):
            self.bill(receipt)

    def bill_overdue(self) -> None:
        """Bill the receipts that have been unlogged for ``MAX_UNLOGGED_S``.

        A receipt that stays unlogged is billed again after the same time.
        """
        oldest = monotonic() - MAX_UNLOGGED_S
        overdue = [run for run, kept_at in self.kept_at.items() if kept_at < oldest]
        for run in overdue:
            self.kept_at[run] = monotonic()
            self.bill(self.store.receipts[run])
