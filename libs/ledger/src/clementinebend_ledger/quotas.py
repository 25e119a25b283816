"""Quotas: how much of a prepaid budget each holder may spend.

A holder (one boot of one entry) may spend up to its quota of a team's budget. The quota
is in a shared log before anything is spent under it, and every append names the end of
the log that its writer has read. The quotas of all holders together therefore never
exceed the budget, whichever holder dies, hangs or loses its connection.

A quota has two parts. The first may be spent unconditionally. The reserve above it is
for outages of the log: it may be spent only once all witnesses that the holder has
named in the log agree. A witness that has not agreed, and never will, proves a dead
holder's reserve unspent.

Amounts are in tokens. Source of the scheme: bounded counters (Balegas et al.,
"Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants",
2015).
"""

from heapq import nlargest
from typing import NamedTuple

RECENT_QUOTAS = 3
"""Number of the newest quotas of a budget that are searched for its current rate. More
than one, as holders other than the last home also write quotas."""


class Quota(NamedTuple):
    """One holder's quota of a team's budget as recorded in the log.

    ``ceiling`` limits the total that the holder ever spends, ``unwitnessed`` what it
    spends without its witnesses. ``spent`` is what it had certainly spent, ``rate``
    (tokens per second) how fast its callers request more.
    """

    ceiling: int
    unwitnessed: int
    spent: int
    rate: int


class Witness(NamedTuple):
    """One boot of a witness and its address."""

    boot: str
    host: str
    port: int


class HolderRecord(NamedTuple):
    """A holder's witnesses as of its ``epoch``, which only grows."""

    epoch: int
    witnesses: tuple[Witness, ...]


class QuotaKey(NamedTuple):
    """Identifies a quota by team and holder."""

    team: str
    holder: str


class QuotaBook(NamedTuple):
    """All quotas of one log partition, by team and holder.

    ``offsets`` are those of the newest records; ``end`` is the offset up to which the
    log has been read.
    """

    teams: dict[str, dict[str, Quota]]
    holders: dict[str, HolderRecord]
    offsets: dict[QuotaKey, int]
    end: int = 0


def empty_book() -> QuotaBook:
    """Return the book of a log without records."""
    return QuotaBook({}, {}, {})


def put_quota(book: QuotaBook, key: QuotaKey, quota: Quota | None, offset: int) -> None:
    """Apply a team's quota at ``offset``; ignore it if a newer one is known."""
    if not _is_newer(book, key, offset):
        return
    quotas = book.teams.setdefault(key.team, {})
    if quota is None:
        quotas.pop(key.holder, None)
    else:
        quotas[key.holder] = quota


def put_holder(
    book: QuotaBook, holder: str, record: HolderRecord | None, offset: int
) -> None:
    """Apply a holder's record at ``offset``; ignore it if a newer one is known."""
    if not _is_newer(book, QuotaKey("", holder), offset):
        return
    if record is None:
        book.holders.pop(holder, None)
    else:
        book.holders[holder] = record


def others(book: QuotaBook, team: str, holder: str) -> dict[str, Quota]:
    """Return the quotas of all holders of ``team`` except ``holder``."""
    quotas = book.teams.get(team, {})
    return {name: quota for name, quota in quotas.items() if name != holder}


def max_recent_rate(book: QuotaBook, team: str, holder: str) -> int:
    """Return the largest rate in the newest quotas of ``team``, or 0 without quotas.

    The quota of ``holder`` is excluded: its account has its own rate.
    """
    quotas = others(book, team, holder)
    offsets = {name: book.offsets[QuotaKey(team, name)] for name in quotas}
    newest = nlargest(RECENT_QUOTAS, offsets, key=offsets.__getitem__)
    return max((quotas[name].rate for name in newest), default=0)


def reclaimable(book: QuotaBook, holder: str) -> dict[str, Quota]:
    """Return the quotas of a holder reduced by their reserves, where it has any.

    They may be written once a witness has proved the reserves unspent.
    """
    return {
        team: quotas[holder]._replace(ceiling=quotas[holder].unwitnessed)
        for team, quotas in book.teams.items()
        if holder in quotas and quotas[holder].ceiling > quotas[holder].unwitnessed
    }


def _is_newer(book: QuotaBook, key: QuotaKey, offset: int) -> bool:
    if offset <= book.offsets.get(key, -1):
        return False
    book.offsets[key] = offset
    return True
