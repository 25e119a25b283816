"""Replay of transfers that one holder sent directly to another.

The sender deducts the amount before it sends, so transferred tokens exist at most
once. Both sides may log the transfer in any order; the first record counts. Source:
rights transfer of bounded counters (Balegas et al. 2015).
"""

from clementinebend_ledger.closing import peer_status
from clementinebend_ledger.outcomes import (
    Ignored,
    LedgerOutcome,
    OverrunDetected,
    TransferApplied,
)
from clementinebend_ledger.state import (
    GrantEntry,
    LedgerState,
    WitnessStatus,
    add_hold,
    pay_shortfall,
    reduce_grant,
)
from clementinebend_records.identifiers import GrantId
from clementinebend_records.records import Transfer


def apply_transfer(state: LedgerState, record: Transfer) -> tuple[LedgerOutcome, ...]:
    """Move an amount from the sender's grant to a new grant of the receiver.

    Bills that were logged ahead of the record reduce the new grant.
    """
    reason = _rejection_reason(state, record)
    if reason is not None:
        return (Ignored(reason),)
    state.grants[record.grant]["transfers"].append(record.transfer)
    amount = reduce_grant(state, record.grant, record.amount)
    billed_early = min(state.early_bills.pop(record.transfer, 0), amount)
    _credit_receiver(state, record, amount - billed_early)
    pay_shortfall(state.budgets[record.budget])
    applied = TransferApplied(*record[:-1], amount)
    excess = record.amount - amount
    if not excess:
        return (applied,)
    return applied, OverrunDetected(record.budget, record.grant, excess)


def _rejection_reason(state: LedgerState, record: Transfer) -> str | None:
    grant = state.grants.get(record.grant)
    if grant is None or grant["budget"] != record.budget:
        return "transferred grant is not open"
    if record.transfer in grant["transfers"] or record.transfer in state.grants:
        return "transfer already applied"
    if grant["holder"] != record.sender or grant["transferred"]:
        return "transferred grant is not the sender's own"
    if record.amount <= 0:
        return "transfer of no tokens"
    sender = state.holders.get(record.sender)
    if sender is None or record.receiver not in sender["peers"]:
        return "receiver is not in the sender's scope"
    return None


def _credit_receiver(state: LedgerState, record: Transfer, amount: int) -> None:
    """Open a grant for the receiver.

    After the receiver's release the amount is held if its release held tokens, and
    stays available to the budget otherwise.
    """
    budget = state.budgets[record.budget]
    if record.receiver not in state.released:
        _open_grant(state, record.transfer, record, amount)
    elif peer_status(state, record.receiver) == WitnessStatus.LOST:
        add_hold(budget, record.transfer, amount)


def _open_grant(
    state: LedgerState, transfer: GrantId, record: Transfer, amount: int
) -> None:
    if not amount:
        return
    state.budgets[record.budget]["granted"] += amount
    state.grants[transfer] = GrantEntry(
        budget=record.budget,
        holder=record.receiver,
        remainder=amount,
        transferred=True,
        transfers=[],
    )
