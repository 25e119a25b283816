"""The state of one ledger stream, and the arithmetic of one budget.

Budgets are escrowed (escrow transactions, O'Neil 1986; bounded counters,
Balegas et al. 2015): for each budget, at every offset,
``billed + held + granted <= topped_up``. Amounts are in tokens. All
containers keep insertion order, so equal streams give equal encodings.
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
"""Billed keys that a shard remembers, counted in bills.

A repeated bill further back is taken for a new one. A witness offers a bill
again only until it is told that the log has it, so the window has to outlast
that notice: at 700 bills/s for one shard it is 23 s, at the desks' present
loads hours. An entry takes about 65 bytes of a checkpoint, so 1 MB in all.
"""

WRITER_WINDOW = 8_192
"""Writers whose last sequence is kept, beside those of unreleased holders."""

RELEASED_WINDOW = 4_096
"""Released holders that are remembered as closed.

A holder that was paused for longer sees its own close when it reads the
stream on, or from a checkpoint that no longer has it (``holder.resume``).
"""

EARLY_WINDOW = 1_024
"""Unknown grants whose bills are remembered until their transfer appears."""


TRIM_DIVISOR = 8
"""A window grows by this part of it before it is cut back."""


class WitnessStatus(IntEnum):
    """What the log knows of a witness of a closed holder."""

    OPEN = 0
    ACKNOWLEDGED = 1
    LOST = 2


class BudgetEntry(TypedDict):
    """Accounts of one budget.

    ``granted`` is the remainder of all grants not yet released; ``shortfall``
    waits for tokens and takes them first when they become available: it is
    ``unheld``, the part of held bills that nothing covered, by key, and the rest
    of it, which was spent and is billed.
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
    """An open grant; ``transfers`` are the parts that were passed on."""

    budget: str
    holder: Incarnation
    remainder: int
    transferred: bool
    transfers: list[GrantId]


class HolderEntry(TypedDict):
    """The witnesses of one holder, with their ``WitnessStatus``."""

    closed: bool
    clean: bool
    sidecars: dict[Incarnation, int]
    peers: dict[Incarnation, int]


class LedgerState(NamedTuple):
    """Pure replay of one ledger stream up to and including ``offset``."""

    offset: int
    budgets: dict[str, BudgetEntry]
    grants: dict[GrantId, GrantEntry]
    holders: dict[Incarnation, HolderEntry]
    released: dict[Incarnation, int]
    sequences: dict[Incarnation, int]
    billed_runs: dict[RequestKey, RunId]
    early_bills: dict[GrantId, int]


class BudgetSummary(NamedTuple):
    """The accounts of a budget; ``holders`` counts those with open grants."""

    topped_up: int
    billed: int
    held: int
    granted: int
    available: int
    shortfall: int = 0
    holders: int = 0


def empty_ledger() -> LedgerState:
    """Return the state before the first record."""
    return LedgerState(-1, {}, {}, {}, {}, {}, {}, {})


def budget_entry(state: LedgerState, budget: str) -> BudgetEntry:
    """Return the entry of ``budget``, made if it is not there."""
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
    """Return the entry of ``holder``, made if it is not there."""
    entry = state.holders.get(holder)
    if entry is None:
        entry = HolderEntry(closed=False, clean=False, sidecars={}, peers={})
        state.holders[holder] = entry
    return entry


def is_closed(state: LedgerState, holder: Incarnation) -> bool:
    """Return whether the log has a close of ``holder``."""
    entry = state.holders.get(holder)
    return holder in state.released or (entry is not None and entry["closed"])


def available(entry: BudgetEntry) -> int:
    """Return what a new grant may take."""
    committed = entry["billed"] + entry["held"] + entry["granted"]
    return entry["topped_up"] - committed


def pay_shortfall(entry: BudgetEntry) -> None:
    """Bill what was spent without cover, as far as tokens are available.

    Then hold what may have been spent without cover: only proof or an operator
    turns a hold into a bill.
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
    """Take up to ``amount`` out of a hold and return what was taken."""
    hold = entry["holds"].get(subject, 0)
    taken = min(hold, amount)
    entry["held"] -= taken
    if taken == hold:
        entry["holds"].pop(subject, None)
    else:
        entry["holds"][subject] = hold - taken
    return taken


def add_unheld(entry: BudgetEntry, subject: str, amount: int) -> None:
    """Have ``amount`` for ``subject`` wait for tokens to be held."""
    if amount:
        entry["shortfall"] += amount
        entry["unheld"][subject] = entry["unheld"].get(subject, 0) + amount


def uncertain_amount(entry: BudgetEntry, subject: str) -> int:
    """Return what ``subject`` may have cost, held or still to be held."""
    return entry["holds"].get(subject, 0) + entry["unheld"].get(subject, 0)


def resolve_hold(entry: BudgetEntry, subject: str, cost: int) -> tuple[int, int]:
    """End all of a hold for a known cost; return what it paid and what it freed.

    What it does not pay is a shortfall, which the caller pays.
    """
    hold = reduce_hold(entry, subject, entry["holds"].get(subject, 0))
    _reduce_unheld(entry, subject, entry["unheld"].get(subject, 0))
    paid = min(hold, cost)
    entry["billed"] += paid
    entry["shortfall"] += cost - paid
    return paid, hold - paid


def _reduce_unheld(entry: BudgetEntry, subject: str, amount: int) -> None:
    """Have less of a subject wait for tokens; one that still waits keeps its place."""
    remaining = entry["unheld"].get(subject, 0) - amount
    entry["shortfall"] -= amount
    if remaining:
        entry["unheld"][subject] = remaining
    else:
        entry["unheld"].pop(subject, None)


def reduce_grant(state: LedgerState, grant: GrantId, amount: int) -> int:
    """Take up to ``amount`` of an open grant and return what was taken.

    An exhausted grant is forgotten: no well-behaved holder names it again.
    """
    entry = state.grants[grant]
    taken = min(amount, entry["remainder"])
    entry["remainder"] -= taken
    state.budgets[entry["budget"]]["granted"] -= taken
    if not entry["remainder"]:
        del state.grants[grant]
    return taken


def budget_summary(state: LedgerState, budget: str) -> BudgetSummary:
    """Return the accounts of ``budget``; all 0 for one that is not known."""
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
    """Forget the oldest entries down to ``limit``, an eighth of it at once.

    Done one by one, each removal would pass over all earlier ones, since a
    dict keeps the places of what was removed.
    """
    excess = len(entries) - limit
    if excess > limit // TRIM_DIVISOR:
        oldest = list(islice(entries, excess))
        for key in oldest:
            del entries[key]
