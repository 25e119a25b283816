"""An entry's use of its grants: reservations, settlement and witnesses.

In memory and without I/O. A run is reserved at its upper bound before dispatch
and settled at its true cost, so every run is covered by a grant that replay
accepted (escrow transactions, O'Neil 1986). ``now`` is monotonic time in seconds;
it affects only policy, never correctness.
"""

from collections.abc import Iterable

from clementinebend_ledger.holder_outcomes import on_outcome
from clementinebend_ledger.holder_state import (
    BudgetUse,
    HolderState,
    NeedsGrant,
    Reservation,
    Reserved,
    UnloggedBill,
    WaitHint,
    budget_use,
    empty_holder,
    release_busy,
)
from clementinebend_ledger.holder_transfers import (
    receive_transfer,
    refuse_sender,
    send_transfer,
)
from clementinebend_ledger.planning import close_cleanly, observe_budget, plan
from clementinebend_ledger.resuming import resume
from clementinebend_ledger.sizing import observe_cost, observe_reservation
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)
from clementinebend_records.records import Bill, Scope

__all__ = [
    "HolderState",
    "NeedsGrant",
    "Reserved",
    "WaitHint",
    "observe_budget",
    "cancel",
    "close_cleanly",
    "empty_holder",
    "send_transfer",
    "has_witness",
    "on_outcome",
    "plan",
    "receive_transfer",
    "refuse_sender",
    "reserve",
    "resume",
    "settle",
    "wait_hint",
    "widen",
]


def reserve(
    holder: HolderState, budget: str, run: RunId, amount: int, now: float
) -> tuple[HolderState, Reserved | NeedsGrant]:
    """Reserve ``amount`` tokens for a run in the oldest grant with enough free.

    A run that already has a reservation keeps it, whatever the amount. A run for
    which no grant suffices is kept as wanted until it gets a reservation or is
    cancelled, and ``plan`` requests a grant that is large enough for it.
    """
    use = budget_use(holder, budget, now)
    if holder.closed:
        return holder, NeedsGrant(amount)
    if run in holder.runs:
        return holder, Reserved(*holder.runs[run][1:3])
    grant = _oldest_sufficient_grant(use, amount)
    if grant is None:
        use["wanted"][run] = amount
        holder.waiting[run] = budget
        return holder, NeedsGrant(amount)
    own = use["grants"][grant]
    own["free"] -= amount
    own["busy"] += 1
    _stop_waiting(holder, run)
    observe_reservation(use["forecast"], amount, now)
    holder.runs[run] = Reservation(budget, grant, amount, now)
    return holder, Reserved(grant, amount)


def settle(
    holder: HolderState,
    run: RunId,
    key: RequestKey,
    amount: int,
    held: bool = False,
    now: float | None = None,
) -> tuple[HolderState, Bill | None]:
    """Bill a run and free the rest of its reservation.

    The bill is kept until it is read back from the log. For a run of unknown cost,
    set ``held`` and pass the whole reservation as ``amount``. Without a reservation
    there is no bill, so settling a run twice has no effect. With ``now``, the
    run's duration is added to the forecast.
    """
    reservation = holder.runs.pop(run, None)
    if reservation is None:
        return holder, None
    budget, grant, reserved, since = reservation
    use = budget_use(holder, budget)
    bill = Bill(key, run, grant, amount, held)
    holder.bills[run] = UnloggedBill(budget, bill, sent=False)
    if grant in use["grants"]:
        use["grants"][grant]["free"] += reserved - amount
    seconds = use["forecast"]["run_seconds"] if now is None else now - since
    observe_cost(use["forecast"], reserved, amount, seconds)
    return holder, bill


def cancel(holder: HolderState, run: RunId) -> HolderState:
    """Free the whole reservation of a run that is known not to have executed."""
    _stop_waiting(holder, run)
    reservation = holder.runs.pop(run, None)
    if reservation is not None:
        use = holder.budgets[reservation.budget]
        release_busy(use, reservation.grant, reservation.amount)
        weight = use["forecast"]["weight"] - reservation.amount
        use["forecast"]["weight"] = max(0.0, weight)
    return holder


def widen(
    holder: HolderState,
    sidecars: tuple[Incarnation, ...],
    peers: tuple[Incarnation, ...] = (),
    stream: str = "",
) -> tuple[HolderState, tuple[Scope, ...]]:
    """Return the scope records to append for witnesses not requested before.

    ``stream`` is the stream whose scope is widened, if the holder has several.
    """
    if holder.closed:
        return holder, ()
    asked = holder.requested_witnesses.setdefault(stream, {})
    new_sidecars = tuple(name for name in sidecars if name not in asked)
    new_peers = tuple(name for name in peers if name not in asked)
    if not new_sidecars and not new_peers:
        return holder, ()
    asked.update(dict.fromkeys(new_sidecars + new_peers))
    return holder, (Scope(holder.incarnation, new_sidecars, new_peers),)


def has_witness(holder: HolderState, stream: str, witness: Incarnation) -> bool:
    """Return whether a witness can be used: its scope record has been read back."""
    return not holder.closed and witness in holder.witnesses.get(stream, {})


def wait_hint(
    holder: HolderState,
    budget: str,
    amount: int,
    now: float,
    can_request: bool = True,
) -> WaitHint:
    """Return whether to queue a run that found no grant, rather than refuse it.

    Waiting is worthwhile if a requested grant is large enough, or if the runs in
    progress will probably free enough: near the end of a budget, reserved upper
    bounds take up most of it, not costs. Without ``can_request`` (the log does not
    answer) there are no new grants, and smaller ones cannot be returned for a larger
    one, so a single existing grant must suffice.
    """
    use = holder.budgets.get(budget)
    if use is None or holder.closed:
        return WaitHint(False, 0.0)
    if can_request and any(asked >= amount for asked in use["requested"].values()):
        return WaitHint(True, 0.0)
    runs = [run for run in holder.runs.values() if run.budget == budget]
    free_amounts = _expected_free_by_grant(use, runs).values()
    expected_free = (
        sum(free_amounts) + max(0, use["spare"])
        if can_request
        else max(free_amounts, default=0.0)
    )
    if expected_free < amount:
        return WaitHint(False, 0.0)
    oldest = min((run.since for run in runs), default=now)
    return WaitHint(True, max(0.0, oldest + use["forecast"]["run_seconds"] - now))


def _expected_free_by_grant(
    use: BudgetUse, runs: Iterable[Reservation]
) -> dict[GrantId, float]:
    """Estimate the free tokens of each grant once the runs have ended."""
    share = 1.0 - use["forecast"]["cost_share"]
    free_amounts = {grant: float(own["free"]) for grant, own in use["grants"].items()}
    for run in runs:
        free_amounts[run.grant] = free_amounts.get(run.grant, 0.0) + run.amount * share
    return free_amounts


def _stop_waiting(holder: HolderState, run: RunId) -> None:
    budget = holder.waiting.pop(run, None)
    if budget is not None:
        holder.budgets[budget]["wanted"].pop(run, None)


def _oldest_sufficient_grant(use: BudgetUse, amount: int) -> GrantId | None:
    grants = use["grants"].items()
    return next((name for name, own in grants if own["free"] >= amount), None)
