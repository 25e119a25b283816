"""How large a holder's mark should be.

A large mark lasts through an outage of the store; what it leaves unspent is
lost when its holder dies. While the budget allows it, each holder keeps some
seconds of its own demand. When little is left, all share it by their demand.
"""

from collections.abc import Mapping
from typing import NamedTuple

from clementinebend_ledger.mark_account import MarkAccount
from clementinebend_ledger.marks import Mark

HORIZON_SECONDS = 10.0
"""Seconds of demand kept at hand: the store is out of reach for 8 to 9 s at a
time on days that count as calm."""

LARGEST_KEPT = 3
"""Largest reservations kept at hand beside the demand, for its unevenness."""

FIRST_SHARE = 0.01
"""Part of a budget that a holder takes before it has seen any demand."""

LEAST_RATE = 1.0
"""Tokens per second that an idle holder counts with when a rest is shared."""


class Allotment(NamedTuple):
    """What sizing found out: the ceiling to write, and what nobody has spent.

    ``pool`` is what is left of the budget for all live holders together,
    ``unspent`` also counts what dead holders may not have spent.
    """

    ceiling: int
    pool: int
    unspent: int


def allot(
    account: MarkAccount,
    others: Mapping[str, Mark],
    live: frozenset[str],
    prepaid: int,
    now: float,
) -> Allotment:
    """Return the ceiling this holder should have of a budget of ``prepaid``.

    It never exceeds what the marks of the ``others`` leave, unless that much
    is already confirmed or used.
    """
    rate = max(LEAST_RATE, account.rate(now))
    live_marks = [mark for name, mark in others.items() if name in live]
    lost = sum(mark.ceiling for name, mark in others.items() if name not in live)
    unspent = prepaid - account.used - sum(mark.spent for mark in others.values())
    pool = prepaid - lost - sum(mark.spent for mark in live_marks) - account.used
    wanted = max(
        HORIZON_SECONDS * rate + LARGEST_KEPT * account.largest, FIRST_SHARE * prepaid
    )
    all_rates = rate + sum(max(LEAST_RATE, mark.rate) for mark in live_marks)
    share = max(0.0, pool * rate / all_rates)
    free = max(min(wanted, share), account.waiting)
    bound = prepaid - sum(mark.ceiling for mark in others.values())
    ceiling = max(account.used, min(account.used + int(free), bound))
    return Allotment(ceiling, pool, unspent)
