"""What an entry knows of its own grants, reservations and bills.

Amounts are in tokens. ``free`` of a grant is neither reserved nor spent.
"""

from typing import NamedTuple, TypedDict

from clementinebend_ledger.sizing import Forecast, new_forecast
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.records import Bill, Transfer

TRANSFER_WINDOW = 4_096
"""Transfers that a holder knows as its own, to take each part once.

A message that comes after this many others answers no question of the entry
any more, so the entry drops it.
"""


class OwnGrant(TypedDict):
    """A grant of this holder; ``busy`` counts its runs and unlogged bills."""

    free: int
    busy: int
    transferred: bool


class BudgetUse(TypedDict):
    """Use of one budget by this holder.

    ``grants`` is oldest first; ``requested`` are grant requests whose outcome
    is not read yet; ``wanted`` are runs that found no grant, with their need.
    ``spare`` and ``holders`` are the budget's as last seen in replay, -1 if
    never.
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
    """A run that may be executing, and what was set aside for it."""

    budget: str
    grant: GrantId
    amount: int
    since: float


class UnloggedBill(NamedTuple):
    """A settled run whose bill has not been read back; sent once it is planned."""

    budget: str
    bill: Bill
    sent: bool


class UnloggedTransfer(NamedTuple):
    """A part given or received whose record has not been read back."""

    record: Transfer
    sent: bool


class HolderState(NamedTuple):
    """One entry incarnation as a holder; state is consumed by each call.

    ``witnesses`` are those in force and ``requested_witnesses`` those asked for, by
    stream. ``waiting`` gives the budget of each wanted run. ``closed`` ends it:
    the caller goes on as a new incarnation.
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
    """``amount`` of ``grant`` is set aside for the run."""

    grant: GrantId
    amount: int


class NeedsGrant(NamedTuple):
    """No grant has room: one more of ``short_by`` tokens would do.

    A run is paid from one grant, so this is the whole need whatever smaller
    pieces are free.
    """

    short_by: int


class WaitHint(NamedTuple):
    """Whether waiting will likely free enough, and in about how many seconds."""

    worth_waiting: bool
    seconds: float


def empty_holder(incarnation: Incarnation) -> HolderState:
    """Return a holder without grants or witnesses."""
    return HolderState(incarnation, False, 0, {}, {}, {}, {}, {}, {}, {}, {}, {})


def budget_use(holder: HolderState, budget: str, now: float = 0.0) -> BudgetUse:
    """Return the holder's use of ``budget``, made if it is not there."""
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
    """Return what is neither reserved nor spent, over all grants."""
    return sum(grant["free"] for grant in use["grants"].values())


def release_busy(use: BudgetUse, grant: GrantId, freed: int) -> None:
    """End one run or bill of a grant, of which ``freed`` comes back."""
    own = use["grants"].get(grant)
    if own is None:
        return
    own["free"] += freed
    own["busy"] -= 1
    forget_spent(use, grant)


def forget_spent(use: BudgetUse, grant: GrantId) -> None:
    """Forget a grant of which nothing is left."""
    own = use["grants"][grant]
    if own["free"] <= 0 and not own["busy"]:
        del use["grants"][grant]
