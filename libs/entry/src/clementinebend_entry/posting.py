"""Unmarks records that the log writer did not accept, to plan them again."""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from clementinebend_ledger.holder import HolderState
from clementinebend_records.records import GrantRequest, Record, Scope, Settle


def unmark_posted(
    holder: HolderState, stream: str, records: Iterable[Record]
) -> HolderState:
    """Clear the marks that these records were posted.

    A return of tokens is not undone: the tokens stay with the grant until its
    holder is closed. This can cause refusals but never overspending.
    """
    for record in records:
        _unmark(record, holder, stream)
    return holder


@singledispatch
def _unmark(record: Any, holder: HolderState, stream: str) -> None:
    return None


@_unmark.register
def _(record: Settle, holder: HolderState, stream: str) -> None:
    for bill in record.bills:
        unlogged = holder.bills.get(bill.run)
        if unlogged is not None:
            holder.bills[bill.run] = unlogged._replace(sent=False)


@_unmark.register
def _(record: GrantRequest, holder: HolderState, stream: str) -> None:
    use = holder.budgets.get(record.budget)
    if use is not None:
        use["requested"].pop(record.grant, None)


@_unmark.register
def _(record: Scope, holder: HolderState, stream: str) -> None:
    asked = holder.requested_witnesses.get(stream, {})
    for witness in (*record.sidecars, *record.peers):
        asked.pop(witness, None)
