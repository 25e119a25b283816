"""Spending marks: who may spend how much of a prepaid budget.

A holder (one boot of one entry) may spend up to its mark of a team's budget.
The mark stands in a shared log before anything is spent under it, and every
append names the end of the log that its writer has read. So the marks of all
holders never exceed the budget, whoever dies, freezes or is cut off. What a
dead holder's mark leaves unspent stays lost: nobody can prove it unspent.

Amounts are in tokens. Source of the scheme: bounded counters (Balegas et al.,
"Extending Eventually Consistent Cloud Databases for Enforcing Numeric
Invariants", 2015).
"""

from itertools import chain
from typing import NamedTuple


class Mark(NamedTuple):
    """One holder's part of a team's budget, as the log has it.

    ``ceiling`` bounds what the holder ever spends, ``spent`` is what it had
    spent for certain, ``rate`` (tokens per second) how fast it spends.
    """

    ceiling: int
    spent: int
    rate: int


class MarkKey(NamedTuple):
    """Whose mark, of which team's budget."""

    team: str
    holder: str


class MarkBook(NamedTuple):
    """All marks of one log partition, by team and holder.

    ``offsets`` are those of the newest records; ``end`` is the offset up to
    which the log has been read.
    """

    teams: dict[str, dict[str, Mark]]
    offsets: dict[MarkKey, int]
    end: int = 0


def empty_book() -> MarkBook:
    """Return the book of a log without records."""
    return MarkBook({}, {})


def put_mark(book: MarkBook, key: MarkKey, mark: Mark | None, offset: int) -> None:
    """Take a record at ``offset``; older ones than the newest change nothing."""
    if offset <= book.offsets.get(key, -1):
        return
    book.offsets[key] = offset
    marks = book.teams.setdefault(key.team, {})
    if mark is None:
        marks.pop(key.holder, None)
    else:
        marks[key.holder] = mark


def others(book: MarkBook, team: str, holder: str) -> dict[str, Mark]:
    """Return the marks of all holders of ``team`` but ``holder``."""
    marks = book.teams.get(team, {})
    return {name: mark for name, mark in marks.items() if name != holder}


def holders(book: MarkBook) -> set[str]:
    """Return all holders that have a mark."""
    return set(chain.from_iterable(book.teams.values()))
