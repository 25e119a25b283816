"""How a holder catches up from a checkpoint, past outcomes it never read."""

from clementinebend_ledger.holder_state import BudgetUse, HolderState, release_busy
from clementinebend_ledger.holder_transfers import add_grant, remember_transfer
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import GrantId, RunId


def resume(holder: HolderState, state: LedgerState, stream: str = "") -> HolderState:
    """Check a holder against a state restored from a checkpoint of a stream.

    A holder whose close was in the part not read is closed; so is one that
    the log has forgotten, since it was released. Bills and requests that the
    checkpoint shows as logged are taken as read.
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
    """Take accepted grants; the others were refused or are still to come.

    One still to come is kept at 0, so that it neither blocks a new request
    nor is lost when its outcome is read after all.
    """
    for name in use["requested"]:
        use["requested"][name] = 0
    accepted = [name for name in use["requested"] if name in state.grants]
    for name in accepted:
        del use["requested"][name]
        add_grant(holder, budget, name, _remainder(state, name), transferred=False)


def _restore_transfers(holder: HolderState, state: LedgerState) -> None:
    """Take parts whose message and record this holder both missed."""
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
