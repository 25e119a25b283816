"""Receipts kept for other entries until their holders have logged them; pure.

A receipt is never dropped to make room: when the store is full a new one is
not kept, and its owner looks for another peer.
"""

from collections.abc import Iterable
from typing import NamedTuple

from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt


class ReceiptStore(NamedTuple):
    """Receipts by run, and the holders whose receipts are refused now."""

    bound: int
    receipts: dict[RunId, Receipt]
    closed: set[Incarnation]


def empty_receipts(bound: int) -> ReceiptStore:
    """Return a store for at most ``bound`` receipts."""
    return ReceiptStore(bound, {}, set())


def keep_receipt(store: ReceiptStore, receipt: Receipt) -> tuple[ReceiptStore, bool]:
    """Keep a receipt; false if there is no room or its holder is closed."""
    if receipt.run in store.receipts:
        return store, True
    if receipt.holder in store.closed or len(store.receipts) >= store.bound:
        return store, False
    store.receipts[receipt.run] = receipt
    return store, True


def forget_receipts(store: ReceiptStore, runs: Iterable[RunId]) -> ReceiptStore:
    """Forget receipts of runs whose bills are on the log."""
    for run in runs:
        store.receipts.pop(run, None)
    return store


def close_receipts(
    store: ReceiptStore, holder: Incarnation
) -> tuple[ReceiptStore, tuple[Receipt, ...]]:
    """Keep no more for ``holder``; return all that is known under it."""
    store.closed.add(holder)
    known = tuple(
        receipt for receipt in store.receipts.values() if receipt.holder == holder
    )
    return store, known
