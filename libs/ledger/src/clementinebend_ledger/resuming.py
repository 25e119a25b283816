"""How a holder resumes from a checkpoint without the outcomes it did not read."""

from clementinebend_ledger.holder_state import BudgetUse, HolderState, release_busy
from clementinebend_ledger.holder_transfers import add_grant, remember_transfer
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import GrantId, RunId


def resume(holder: HolderState, state: LedgerState, stream: str = "") -> HolderState:
    """Reconcile a holder with a state restored from a checkpoint of ``stream``.

    The holder is closed if the state has its close, or if it had witnesses but is
    missing from the state, which means that it was released and evicted. Bills,
    transfers and requests that the state contains are treated as read back.
    """
    entry = state.holders.get(holder.incarnation)
    scoped = bool(holder.witnesses.get(stream))
    is_gone = scoped if entry is None else entry["closed"]
    if is_gone or holder.incarnation in state.released:
        return holder._replace(closed=True)
    if entry is not None:
        witnesses = entry["sidecars"] | entry["peers"]
        holder.witnesses[stream] = dict.fromkeys(witnesses)
    for budget, use in holder.budgets.items():
        _resume_requests(holder, state, budget, use)
    _restore_transfers(holder, state)
    for run in list(holder.bills):
        _resume_bill(holder, state, run)
    logged = [name for name in holder.transfers if name in state.grants]
    for name in logged:
        del holder.transfers[name]
    return holder


def _resume_requests(
    holder: HolderState, state: LedgerState, budget: str, use: BudgetUse
) -> None:
    """Add the grants that were accepted; other requests were refused or are pending.

    The others are kept with amount 0, so that they do not block a new request and a
    pending one is still accepted when its outcome is read.
    """
    for name in use["requested"]:
        use["requested"][name] = 0
    accepted = [name for name in use["requested"] if name in state.grants]
    for name in accepted:
        del use["requested"][name]
        add_grant(holder, budget, name, _remainder(state, name), transferred=False)


def _restore_transfers(holder: HolderState, state: LedgerState) -> None:
    """Add the transfers to this holder whose message and record it both missed."""
    for name, grant in state.grants.items():
        is_receiver = grant["transferred"] and grant["holder"] == holder.incarnation
        if is_receiver and name not in holder.known_transfers:
            remember_transfer(holder, name)
            add_grant(
                holder, grant["budget"], name, grant["remainder"], transferred=True
            )


def _remainder(state: LedgerState, grant: GrantId) -> int:
    return state.grants[grant]["remainder"]


def _resume_bill(holder: HolderState, state: LedgerState, run: RunId) -> None:
    unlogged = holder.bills[run]
    bill = unlogged.bill
    billed_run = state.billed_runs.get(bill.key)
    if billed_run is None:
        return
    del holder.bills[run]
    freed = 0 if billed_run == run else bill.amount
    release_busy(holder.budgets[unlogged.budget], bill.grant, freed)
