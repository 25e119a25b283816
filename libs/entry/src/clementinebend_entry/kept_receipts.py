"""Store of receipts of other entries until their holders log them; no I/O.

A receipt is never evicted to make room: a full store rejects new receipts, and
their owner tries another peer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt


class ReceiptStore(NamedTuple):
    """Receipts by run, and the closed holders whose receipts are refused."""

    bound: int
    receipts: dict[RunId, Receipt]
    closed: set[Incarnation]


def empty_receipts(bound: int) -> ReceiptStore:
    """Return a store for at most ``bound`` receipts."""
    return ReceiptStore(bound, {}, set())


def keep_receipt(store: ReceiptStore, receipt: Receipt) -> tuple[ReceiptStore, bool]:
    """Store a receipt; false if the store is full or its holder is closed."""
    if receipt.run in store.receipts:
        return store, True
    if receipt.holder in store.closed or len(store.receipts) >= store.bound:
        return store, False
    store.receipts[receipt.run] = receipt
    return store, True


def forget_receipts(store: ReceiptStore, runs: Iterable[RunId]) -> ReceiptStore:
    """Delete the receipts of runs whose bills are on the log."""
    for run in runs:
        store.receipts.pop(run, None)
    return store


def close_receipts(
    store: ReceiptStore, holder: Incarnation
) -> tuple[ReceiptStore, tuple[Receipt, ...]]:
    """Refuse new receipts of ``holder``; return those stored."""
    store.closed.add(holder)
    known = tuple(
        receipt for receipt in store.receipts.values() if receipt.holder == holder
    )
    return store, known
