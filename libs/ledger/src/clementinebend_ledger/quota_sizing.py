"""Computes how large a holder's quota should be.

Each budget has one home among the live entries. The home has a quota for all of them,
and the others borrow from it in one round trip; they write quotas of their own only
when the home does not answer. A large quota outlasts an outage of the log, and is lost
if its holder dies with the reserve open.
"""

from collections.abc import Mapping
from typing import NamedTuple

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quotas import Quota

HORIZON_SECONDS = 3.0
"""Seconds of demand reserved for outages of the log itself, of some 4 s; a host that
alone has lost its connection reaches the log through a gateway."""

MAX_BUDGET_FRACTION = 0.0125
"""Maximum fraction of a whole budget that a home keeps in reserve, or that another
entry borrows ahead of calls. Losses beyond the 3 % of slack that a budget has are
refused to its team for good, so the loss of all holders must stay within it."""

MAX_RESERVE_FRACTION = 0.2
"""Maximum fraction of the remaining budget kept in reserve, so that a power loss of all
holders never loses most of it."""

MAX_EXPECTED_FRACTION = 0.1
"""Maximum fraction of the remaining budget that a home may spend without witnesses for
calls that it only expects."""

UNWITNESSED_SECONDS = 0.25
"""Seconds of demand that a home may spend without witnesses, in addition to the demand
during an append, which counts twice. This is what a dead holder leaves that nobody can
prove unspent. It suffices while the store is delayed for some 0.1 s by many entries
that read a new configuration; calls that need more wait for an append."""

MAX_UNWITNESSED_SECONDS = 0.6
"""Maximum seconds of demand spent without witnesses, however long an append takes: two
appends to a store at its slowest."""

BORROW_SECONDS = 0.1
"""Seconds of its own demand that an entry borrows from a home ahead of calls. If a call
lacks tokens, it borrows them in one round trip of a few milliseconds."""

UNWITNESSED_CALL_FRACTION = 0.1
"""Fraction of the largest call that a home may spend without witnesses, in addition to
the demand."""

RETAINED_CALLS = 1.0
"""Number of largest calls that a home keeps in reserve, in addition to the demand."""

INITIAL_FRACTION = 0.01
"""Fraction of a budget that a home takes before it has seen any demand."""

MIN_RATE = 1.0
"""Minimum rate, in tokens per second, assumed for an idle holder."""


class QuotaSize(NamedTuple):
    """The quota to write, and what is left of the budget.

    ``pool`` is what is left for all live holders together, ``unspent`` also includes
    what dead holders may not have spent.
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
    """Return the quota that this holder should have of a budget of ``prepaid``.

    ``own`` is its current quota. The ceiling never exceeds what the quotas of the
    ``others`` leave, unless that much is already used. ``append_seconds`` is how long
    an append currently takes.
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
        free, without_witnesses = _borrower_size(account, own, pool, prepaid, now)
    ceiling = max(account.used, min(account.used + free, bound))
    unwitnessed = min(ceiling, account.used + without_witnesses)
    return QuotaSize(ceiling, unwitnessed, pool, unspent)


def borrow_target(account: QuotaAccount, prepaid: int, now: float) -> int:
    """Return how many tokens of ``prepaid`` a borrower should have ahead of calls.

    Returns 0 if the amount would not suffice for a call, as it would only lie idle.
    """
    expected = BORROW_SECONDS * account.peak_rate(now)
    tokens = int(min(expected, MAX_BUDGET_FRACTION * prepaid))
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
    """Return what a home should have free, and how much of it without witnesses.

    Calls that need more than the ``pool`` count for nothing: no quota would serve them,
    and what it holds is lost if the home dies.
    """
    rate = max(MIN_RATE, account.rate(now))
    expected = unwitnessed_target(account, append_seconds, now)
    expected = min(expected, MAX_EXPECTED_FRACTION * max(0, pool))
    waiting = account.waiting_within(pool)
    needed = max(expected + account.requested_within(pool, now), waiting)
    wanted = HORIZON_SECONDS * rate + RETAINED_CALLS * account.largest
    wanted = max(wanted, INITIAL_FRACTION * prepaid)
    reserve = min(
        wanted, MAX_RESERVE_FRACTION * max(0, pool), MAX_BUDGET_FRACTION * prepaid
    )
    free = max(reserve, min(needed, max(pool, waiting)))
    return int(free), int(needed)


def _borrower_size(
    account: QuotaAccount, own: Quota, pool: int, prepaid: int, now: float
) -> tuple[int, int]:
    """Return the same for an entry that is not the home.

    It keeps its current quota, so that what it borrowed stays borrowed, returns a large
    surplus, and takes more only for waiting calls that the ``pool`` covers.
    """
    target = borrow_target(account, prepaid, now)
    free = own.ceiling - account.used
    waiting = account.waiting_within(pool)
    if waiting > free:
        free = waiting + min(target, max(0, pool) // 4)
    elif free > 3 * target:
        free = max(target, waiting)
    return free, free
