"""How large a holder's mark should be.

Each budget has one home among the entries that live. The home keeps a mark for
all of them, and the others borrow from it in one round trip; they write marks
of their own only when the home does not answer. A large mark lasts through an
outage of the log, and is lost if its holder dies having opened the reserve.
"""

from collections.abc import Mapping
from typing import NamedTuple

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quotas import Quota

HORIZON_SECONDS = 3.0
"""Seconds of demand kept at hand for outages of the log itself, of some 4 s; a
host that is cut off alone reaches it through a gateway."""

MAX_BUDGET_FRACTION = 0.0125
"""Largest part of a whole budget that is kept at hand. What is lost beyond the 3 %
of slack that a budget has is refused to its team for good, so the loss of all
holders must stay within it."""

MAX_RESERVE_FRACTION = 0.2
"""Largest part of what is left of a budget that is kept at hand: what is lost
if all holders lose power at once is then never most of what is left."""

UNWITNESSED_SECONDS = 0.25
"""Seconds of demand that a home may spend without witnesses, beside those that
an append takes, which count twice. This is what a dead holder leaves that
nobody can prove unspent. It lasts while the store is held up for some 0.1 s by many
that read a new configuration; calls that need more wait for an append."""

MAX_UNWITNESSED_SECONDS = 0.6
"""The most seconds of demand that are spent without witnesses, however long an
append takes: two appends to a store at its slowest."""

BORROW_SECONDS = 0.1
"""Seconds of its own demand that an entry borrows from a home ahead of calls.
What a call lacks it borrows in one round trip of a few milliseconds."""

UNWITNESSED_CALL_FRACTION = 0.1
"""Part of the largest call that a home may spend at once beside the demand."""

RETAINED_CALLS = 1.0
"""Largest calls that a home keeps at hand beside the demand."""

INITIAL_FRACTION = 0.01
"""Part of a budget that a home takes before it has seen any demand."""

MIN_RATE = 1.0
"""Tokens per second that an idle holder counts with."""


class QuotaSize(NamedTuple):
    """What sizing found out: what to write, and what nobody has spent.

    ``pool`` is what is left of the budget for all live holders together,
    ``unspent`` also counts what dead holders may not have spent.
    """

    ceiling: int
    unwitnessed: int
    pool: int
    unspent: int


def size_quota(
    account: QuotaAccount,
    own: Quota,
    others: Mapping[str, Quota],
    live: frozenset[str],
    prepaid: int,
    is_home: bool,
    append_seconds: float,
    now: float,
) -> QuotaSize:
    """Return the mark that this holder should have of a budget of ``prepaid``.

    ``own`` is the one it has. The ceiling never exceeds what the marks of the
    ``others`` leave, unless that much is already used. ``append_seconds`` is
    how long an append takes at present.
    """
    lost = sum(quota.ceiling for name, quota in others.items() if name not in live)
    known = sum(quota.spent for name, quota in others.items() if name in live)
    pool = prepaid - lost - known - account.used
    unspent = prepaid - account.used - sum(quota.spent for quota in others.values())
    bound = prepaid - sum(quota.ceiling for quota in others.values())
    if is_home:
        free, without_witnesses = _home_size(
            account, pool, prepaid, append_seconds, now
        )
    else:
        free, without_witnesses = _borrower_size(account, own, pool, now)
    ceiling = max(account.used, min(account.used + free, bound))
    unwitnessed = min(ceiling, account.used + without_witnesses)
    return QuotaSize(ceiling, unwitnessed, pool, unspent)


def borrow_target(account: QuotaAccount, now: float) -> int:
    """Return what an entry should have at hand of a budget it is not home of.

    Nothing if that would not do for a call: it would only lie there.
    """
    tokens = int(BORROW_SECONDS * account.peak_rate(now))
    return tokens if tokens >= account.largest else 0


def unwitnessed_target(
    account: QuotaAccount, append_seconds: float, now: float
) -> float:
    """Return what a home should be able to spend without witnesses, in tokens."""
    seconds = UNWITNESSED_SECONDS + 2 * append_seconds
    seconds = min(seconds, MAX_UNWITNESSED_SECONDS)
    return (
        seconds * account.peak_rate(now) + UNWITNESSED_CALL_FRACTION * account.largest
    )


def _home_size(
    account: QuotaAccount, pool: int, prepaid: int, append_seconds: float, now: float
) -> tuple[int, int]:
    """Return what a home should have free, and what of it without witnesses."""
    rate = max(MIN_RATE, account.rate(now))
    needed = unwitnessed_target(account, append_seconds, now)
    needed = max(needed + account.requested_now(now), account.waiting)
    wanted = HORIZON_SECONDS * rate + RETAINED_CALLS * account.largest
    wanted = max(wanted, INITIAL_FRACTION * prepaid)
    reserve = min(
        wanted, MAX_RESERVE_FRACTION * max(0, pool), MAX_BUDGET_FRACTION * prepaid
    )
    free = max(reserve, min(needed, max(pool, account.waiting)))
    return int(free), int(needed)


def _borrower_size(
    account: QuotaAccount, own: Quota, pool: int, now: float
) -> tuple[int, int]:
    """Return the same for an entry that is not the home.

    It keeps the mark it has, so that what it borrowed stays borrowed, gives
    back what is far too much, and takes more only for calls that wait.
    """
    kept = borrow_target(account, now)
    free = own.ceiling - account.used
    if account.waiting > free:
        free = account.waiting + min(kept, max(0, pool) // 4)
    elif free > 3 * kept:
        free = kept
    return free, free
