"""How outcomes of replay change a holder, with one handler per outcome type."""

from functools import singledispatch
from typing import Any

from clementinebend_ledger.holder_state import (
    HolderState,
    budget_use,
    release_busy,
)
from clementinebend_ledger.holder_transfers import add_grant, remember_transfer
from clementinebend_ledger.outcomes import (
    Billed,
    BillRepeated,
    BillUnfunded,
    GrantAccepted,
    GrantRefused,
    HolderClosed,
    LedgerOutcome,
    RefusalReason,
    ScopeWidened,
    TransferApplied,
)
from clementinebend_ledger.sizing import next_backoff
from clementinebend_records.records import Bill


def on_outcome(
    holder: HolderState, outcome: LedgerOutcome, now: float, stream: str = ""
) -> HolderState:
    """Apply an outcome of replay, of a record of this holder or of another.

    ``stream`` is the stream of the outcome, if the holder has several.
    """
    return _apply_outcome(outcome, holder, now, stream)


@singledispatch
def _apply_outcome(
    outcome: Any, holder: HolderState, now: float, stream: str
) -> HolderState:
    return holder


@_apply_outcome.register
def _(
    outcome: GrantAccepted, holder: HolderState, now: float, stream: str
) -> HolderState:
    if outcome.holder != holder.incarnation or holder.closed:
        return holder
    use = budget_use(holder, outcome.budget, now)
    if use["requested"].pop(outcome.grant, None) is None:
        return holder
    use["backoff"] = 0.0
    use["retry_at"] = now
    add_grant(holder, outcome.budget, outcome.grant, outcome.amount, transferred=False)
    return holder


@_apply_outcome.register
def _(
    outcome: GrantRefused, holder: HolderState, now: float, stream: str
) -> HolderState:
    if outcome.holder != holder.incarnation:
        return _record_peer_refusal(holder, outcome)
    use = budget_use(holder, outcome.budget, now)
    asked = use["requested"].pop(outcome.grant, None)
    if asked is None:
        return holder
    use["spare"] = outcome.available
    use["backoff"] = next_backoff(use["backoff"])
    use["retry_at"] = now + use["backoff"]
    return holder


@_apply_outcome.register
def _(outcome: Billed, holder: HolderState, now: float, stream: str) -> HolderState:
    return _on_logged_bill(holder, outcome.bill, 0)


@_apply_outcome.register
def _(
    outcome: BillUnfunded, holder: HolderState, now: float, stream: str
) -> HolderState:
    return _on_logged_bill(holder, outcome.bill, 0)


@_apply_outcome.register
def _(
    outcome: BillRepeated, holder: HolderState, now: float, stream: str
) -> HolderState:
    """Free the tokens of a bill if another run of the key was billed before."""
    bill = outcome.bill
    freed = 0 if outcome.billed_run == bill.run else bill.amount
    return _on_logged_bill(holder, bill, freed)


@_apply_outcome.register
def _(
    outcome: TransferApplied, holder: HolderState, now: float, stream: str
) -> HolderState:
    """Mark a transfer as logged; as its receiver, add it if the message was lost."""
    holder.transfers.pop(outcome.transfer, None)
    is_receiver = outcome.receiver == holder.incarnation and not holder.closed
    if is_receiver and outcome.transfer not in holder.known_transfers:
        remember_transfer(holder, outcome.transfer)
        add_grant(
            holder, outcome.budget, outcome.transfer, outcome.amount, transferred=True
        )
    return holder


@_apply_outcome.register
def _(
    outcome: HolderClosed, holder: HolderState, now: float, stream: str
) -> HolderState:
    holder.closed_senders[outcome.holder] = None
    closed = holder.closed or outcome.holder == holder.incarnation
    return holder._replace(closed=closed)


@_apply_outcome.register
def _(
    outcome: ScopeWidened, holder: HolderState, now: float, stream: str
) -> HolderState:
    if outcome.holder != holder.incarnation:
        return holder
    witnesses = outcome.sidecars + outcome.peers
    holder.witnesses.setdefault(stream, {}).update(dict.fromkeys(witnesses))
    return holder


def _record_peer_refusal(holder: HolderState, outcome: GrantRefused) -> HolderState:
    """Record what another holder was refused, so that ``plan`` returns tokens."""
    use = holder.budgets.get(outcome.budget)
    if use is not None and outcome.reason == RefusalReason.INSUFFICIENT:
        use["lacking"] = max(use["lacking"], outcome.amount - outcome.available)
    return holder


def _on_logged_bill(holder: HolderState, bill: Bill, freed: int) -> HolderState:
    """Drop a bill read back from the log, which another witness may have logged.

    In that case the run may still have a reservation, which ends here.
    """
    unlogged = holder.bills.pop(bill.run, None)
    if unlogged is not None:
        release_busy(holder.budgets[unlogged.budget], bill.grant, freed)
        return holder
    reservation = holder.runs.get(bill.run)
    if reservation is not None and reservation.grant == bill.grant:
        del holder.runs[bill.run]
        rest = reservation.amount - bill.amount + freed
        release_busy(holder.budgets[reservation.budget], bill.grant, rest)
    return holder
