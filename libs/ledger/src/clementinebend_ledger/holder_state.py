"""State of an entry as a holder: its grants, reservations and unlogged bills.

Amounts are in tokens. ``free`` tokens of a grant are neither reserved nor spent.
"""

from typing import NamedTuple, TypedDict

from clementinebend_ledger.sizing import Forecast, new_forecast
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.records import Bill, Transfer

TRANSFER_WINDOW = 4_096
"""Number of transfer ids that a holder remembers, to accept each transfer once.

A message delayed beyond this many later transfers answers no open question of the
entry any more, so the entry drops it.
"""


class OwnGrant(TypedDict):
    """A grant of this holder; ``busy`` counts its reserved runs and unlogged bills.

    ``transferred`` is set if the grant was received from a peer.
    """

    free: int
    busy: int
    transferred: bool


class BudgetUse(TypedDict):
    """Use of one budget by this holder.

    ``grants`` is oldest first. ``requested`` has the grant requests whose outcome
    has not been read, ``wanted`` the runs without a grant, each with its amount.
    ``billed``, ``left``, ``granted``, ``spare`` (the available amount) and
    ``holders`` are the budget's accounts as last seen in replay; all but
    ``granted`` are -1 before that. ``lacking`` is the largest amount that another
    holder was refused for lack of tokens since the last plan.
    """

    grants: dict[GrantId, OwnGrant]
    requested: dict[GrantId, int]
    wanted: dict[RunId, int]
    forecast: Forecast
    fleet: Forecast
    billed: int
    left: int
    granted: int
    lacking: int
    spare: int
    holders: int
    backoff: float
    retry_at: float


class Reservation(NamedTuple):
    """A run that may be executing; ``amount`` is reserved in ``grant``."""

    budget: str
    grant: GrantId
    amount: int
    since: float


class UnloggedBill(NamedTuple):
    """A bill that has not been read back; ``sent`` once ``plan`` returned it."""

    budget: str
    bill: Bill
    sent: bool


class UnloggedTransfer(NamedTuple):
    """A transfer sent or received whose record has not been read back."""

    record: Transfer
    sent: bool


class HolderState(NamedTuple):
    """State of one entry incarnation as a holder.

    Functions update it in place and return the new state, so the argument must not
    be used afterwards. By stream, ``requested_witnesses`` are those put into a scope
    record and ``witnesses`` those whose record was read back. ``waiting`` maps each
    wanted run to its budget. A closed holder gets no more grants: its entry continues
    under a new incarnation.
    """

    incarnation: Incarnation
    closed: bool
    issued: int
    budgets: dict[str, BudgetUse]
    runs: dict[RunId, Reservation]
    bills: dict[RunId, UnloggedBill]
    transfers: dict[GrantId, UnloggedTransfer]
    witnesses: dict[str, dict[Incarnation, None]]
    requested_witnesses: dict[str, dict[Incarnation, None]]
    closed_senders: dict[Incarnation, None]
    waiting: dict[RunId, str]
    known_transfers: dict[GrantId, None]


class Reserved(NamedTuple):
    """``amount`` tokens of ``grant`` are reserved for the run."""

    grant: GrantId
    amount: int


class NeedsGrant(NamedTuple):
    """No grant has enough free tokens; one of ``short_by`` tokens would.

    A run is paid from a single grant, so this is always the full amount of the run,
    whatever smaller amounts are free.
    """

    short_by: int


class WaitHint(NamedTuple):
    """Whether waiting will probably help, and after about how many seconds."""

    worth_waiting: bool
    seconds: float


def empty_holder(incarnation: Incarnation) -> HolderState:
    """Return a holder without grants or witnesses."""
    return HolderState(incarnation, False, 0, {}, {}, {}, {}, {}, {}, {}, {}, {})


def budget_use(holder: HolderState, budget: str, now: float = 0.0) -> BudgetUse:
    """Return the holder's use of ``budget``, which is created if missing."""
    use = holder.budgets.get(budget)
    if use is None:
        use = BudgetUse(
            grants={},
            requested={},
            wanted={},
            forecast=new_forecast(now),
            fleet=new_forecast(now),
            billed=-1,
            left=-1,
            granted=0,
            lacking=0,
            spare=-1,
            holders=-1,
            backoff=0.0,
            retry_at=0.0,
        )
        holder.budgets[budget] = use
    return use


def free_tokens(use: BudgetUse) -> int:
    """Return the total of free tokens over all grants."""
    return sum(grant["free"] for grant in use["grants"].values())


def release_busy(use: BudgetUse, grant: GrantId, freed: int) -> None:
    """End a run or an unlogged bill of a grant and free ``freed`` of its tokens."""
    own = use["grants"].get(grant)
    if own is None:
        return
    own["free"] += freed
    own["busy"] -= 1
    delete_if_spent(use, grant)


def delete_if_spent(use: BudgetUse, grant: GrantId) -> None:
    """Delete a grant that has no free tokens, runs or unlogged bills."""
    own = use["grants"][grant]
    if own["free"] <= 0 and not own["busy"]:
        del use["grants"][grant]
