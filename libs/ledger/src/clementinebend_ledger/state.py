"""State of a ledger stream, and the arithmetic on the accounts of a budget.

Budgets are escrowed (escrow transactions, O'Neil 1986; bounded counters, Balegas et
al. 2015). The invariant of each budget at every offset is
``billed + held + granted <= topped_up``. Amounts are in tokens. All containers keep
insertion order, so equal streams have equal encodings.
"""

from enum import IntEnum
from itertools import islice
from typing import Any, NamedTuple, TypedDict

from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)

BILL_WINDOW = 16_384
"""Number of billed keys that a shard remembers.

A repeated bill whose key was evicted would be billed again. A witness repeats a bill
only until it is notified that the log has it, so the window must outlast that
notification: it covers 23 s at 700 bills/s per shard, and hours at the present load
of the deployments. A key takes about 65 bytes of a checkpoint, so 1 MB in total.
"""

WRITER_WINDOW = 8_192
"""Number of writers whose last sequence is kept.

A ledger stream never evicts a writer that is an unreleased holder.
"""

RELEASED_WINDOW = 4_096
"""Number of released holders that are remembered as closed.

A holder that was paused until after its eviction still learns of its close: it reads
the record, or resumes from a checkpoint that does not contain it (``holder.resume``).
"""

EARLY_WINDOW = 1_024
"""Number of unknown grants whose bills are remembered for a late transfer."""


TRIM_DIVISOR = 8
"""A window is trimmed once it exceeds its limit by this fraction (one eighth)."""


class WitnessStatus(IntEnum):
    """Whether a witness of a closed holder can still accept the holder's requests.

    ``LOST`` witnesses lost their memory, so their past runs are unknown.
    """

    OPEN = 0
    ACKNOWLEDGED = 1
    LOST = 2


class BudgetEntry(TypedDict):
    """Accounts of one budget.

    ``granted`` is the total remainder of the open grants. ``shortfall`` is what bills
    exceeded their cover by; it is paid first from tokens that become available. It
    consists of ``unheld``, the uncovered amounts of held bills by key, and of spent
    tokens, which are still to be billed.
    """

    topped_up: int
    billed: int
    held: int
    granted: int
    shortfall: int
    top_ups: dict[str, int]
    holds: dict[str, int]
    unheld: dict[str, int]


class GrantEntry(TypedDict):
    """An open grant; ``transfers`` has the ids of the transfers made from it."""

    budget: str
    holder: Incarnation
    remainder: int
    transferred: bool
    transfers: list[GrantId]


class HolderEntry(TypedDict):
    """The witnesses of one holder, each with its ``WitnessStatus``."""

    closed: bool
    clean: bool
    sidecars: dict[Incarnation, int]
    peers: dict[Incarnation, int]


class LedgerState(NamedTuple):
    """State of a ledger stream after the batch at ``offset``."""

    offset: int
    budgets: dict[str, BudgetEntry]
    grants: dict[GrantId, GrantEntry]
    holders: dict[Incarnation, HolderEntry]
    released: dict[Incarnation, int]
    sequences: dict[Incarnation, int]
    billed_runs: dict[RequestKey, RunId]
    early_bills: dict[GrantId, int]


class BudgetSummary(NamedTuple):
    """Accounts of a budget; ``holders`` is the number of holders with open grants."""

    topped_up: int
    billed: int
    held: int
    granted: int
    available: int
    shortfall: int = 0
    holders: int = 0


def empty_ledger() -> LedgerState:
    """Return the state of an empty stream."""
    return LedgerState(-1, {}, {}, {}, {}, {}, {}, {})


def budget_entry(state: LedgerState, budget: str) -> BudgetEntry:
    """Return the entry of ``budget``, which is created if missing."""
    entry = state.budgets.get(budget)
    if entry is None:
        entry = BudgetEntry(
            topped_up=0,
            billed=0,
            held=0,
            granted=0,
            shortfall=0,
            top_ups={},
            holds={},
            unheld={},
        )
        state.budgets[budget] = entry
    return entry


def holder_entry(state: LedgerState, holder: Incarnation) -> HolderEntry:
    """Return the entry of ``holder``, which is created if missing."""
    entry = state.holders.get(holder)
    if entry is None:
        entry = HolderEntry(closed=False, clean=False, sidecars={}, peers={})
        state.holders[holder] = entry
    return entry


def is_closed(state: LedgerState, holder: Incarnation) -> bool:
    """Return whether ``holder`` is closed or was released."""
    entry = state.holders.get(holder)
    return holder in state.released or (entry is not None and entry["closed"])


def available(entry: BudgetEntry) -> int:
    """Return the number of tokens that a new grant can get."""
    committed = entry["billed"] + entry["held"] + entry["granted"]
    return entry["topped_up"] - committed


def pay_shortfall(entry: BudgetEntry) -> None:
    """Pay the shortfall as far as tokens are available: first spent, then unheld.

    Spent tokens are billed. Unheld ones may have been spent, so they are only held:
    a bill with the known cost or an operator decides what of a hold is billed.
    """
    if not entry["shortfall"]:
        return
    spent = entry["shortfall"] - sum(entry["unheld"].values())
    paid = min(spent, available(entry))
    entry["shortfall"] -= paid
    entry["billed"] += paid
    for subject, amount in list(entry["unheld"].items()):
        covered = min(amount, available(entry))
        _reduce_unheld(entry, subject, covered)
        add_hold(entry, subject, covered)


def add_hold(entry: BudgetEntry, subject: str, amount: int) -> None:
    """Hold ``amount`` for ``subject``, a request key or a grant."""
    if amount:
        entry["held"] += amount
        entry["holds"][subject] = entry["holds"].get(subject, 0) + amount


def reduce_hold(entry: BudgetEntry, subject: str, amount: int) -> int:
    """Reduce a hold by up to ``amount`` and return the actual reduction."""
    hold = entry["holds"].get(subject, 0)
    taken = min(hold, amount)
    entry["held"] -= taken
    if taken == hold:
        entry["holds"].pop(subject, None)
    else:
        entry["holds"][subject] = hold - taken
    return taken


def add_unheld(entry: BudgetEntry, subject: str, amount: int) -> None:
    """Add ``amount`` to the shortfall, to be held for ``subject`` later."""
    if amount:
        entry["shortfall"] += amount
        entry["unheld"][subject] = entry["unheld"].get(subject, 0) + amount


def uncertain_amount(entry: BudgetEntry, subject: str) -> int:
    """Return the amount that ``subject`` may have cost, whether held or unheld."""
    return entry["holds"].get(subject, 0) + entry["unheld"].get(subject, 0)


def resolve_hold(entry: BudgetEntry, subject: str, cost: int) -> tuple[int, int]:
    """Replace a hold by a known cost; return the amounts it paid and freed.

    Any cost above the hold is added to the shortfall, for the caller to pay.
    """
    hold = reduce_hold(entry, subject, entry["holds"].get(subject, 0))
    _reduce_unheld(entry, subject, entry["unheld"].get(subject, 0))
    paid = min(hold, cost)
    entry["billed"] += paid
    entry["shortfall"] += cost - paid
    return paid, hold - paid


def _reduce_unheld(entry: BudgetEntry, subject: str, amount: int) -> None:
    """Reduce what is unheld for a subject; if any is left, its order is kept."""
    remaining = entry["unheld"].get(subject, 0) - amount
    entry["shortfall"] -= amount
    if remaining:
        entry["unheld"][subject] = remaining
    else:
        entry["unheld"].pop(subject, None)


def reduce_grant(state: LedgerState, grant: GrantId, amount: int) -> int:
    """Reduce an open grant by up to ``amount`` and return the actual reduction.

    An exhausted grant is deleted, since no correct holder refers to it again.
    """
    entry = state.grants[grant]
    taken = min(amount, entry["remainder"])
    entry["remainder"] -= taken
    state.budgets[entry["budget"]]["granted"] -= taken
    if not entry["remainder"]:
        del state.grants[grant]
    return taken


def budget_summary(state: LedgerState, budget: str) -> BudgetSummary:
    """Return the accounts of ``budget``, which are all 0 if it is unknown."""
    entry = state.budgets.get(budget)
    if entry is None:
        return BudgetSummary(0, 0, 0, 0, 0)
    grants = state.grants.values()
    holders = {grant["holder"] for grant in grants if grant["budget"] == budget}
    return BudgetSummary(
        entry["topped_up"],
        entry["billed"],
        entry["held"],
        entry["granted"],
        available(entry),
        entry["shortfall"],
        len(holders),
    )


def trim_oldest(entries: dict[Any, Any], limit: int) -> None:
    """Remove the oldest entries above ``limit``, in steps of an eighth of the limit.

    Removed one at a time, each removal would scan all earlier ones, since a dict
    keeps the slots of deleted keys until it is resized.
    """
    excess = len(entries) - limit
    if excess > limit // TRIM_DIVISOR:
        oldest = list(islice(entries, excess))
        for key in oldest:
            del entries[key]
