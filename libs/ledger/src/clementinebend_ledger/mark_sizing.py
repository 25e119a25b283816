"""How large a holder's mark should be.

A large mark lasts through an outage of the log. While the budget allows it,
the holders together keep some seconds of a team's demand, each by its part of
it. When little is left, they share all of it.
"""

from collections.abc import Mapping
from typing import NamedTuple

from clementinebend_ledger.mark_account import MarkAccount
from clementinebend_ledger.marks import Mark

HORIZON_SECONDS = 4.0
"""Seconds of demand kept at hand for outages of the log itself, of some 4 s; a
host that is cut off alone reaches it through a gateway."""

RESERVE_PART = 0.2
"""Largest part of what is left of a budget that is kept at hand: what is lost
if all holders lose power at once is then never most of what is left."""

UNWITNESSED_SECONDS = 0.9
"""Seconds of demand that may be spent without witnesses: nearly two commits.
This is what a dead holder leaves that nobody can prove unspent."""

LARGEST_KEPT = 2.0
"""Largest calls that all holders together keep at hand beside the demand."""

FIRST_SHARE = 0.01
"""Part of a budget that a holder takes before it has seen any demand."""

LEAST_RATE = 1.0
"""Tokens per second that an idle holder counts with when a rest is shared."""


class Allotment(NamedTuple):
    """What sizing found out: what to write, and what nobody has spent.

    ``pool`` is what is left of the budget for all live holders together,
    ``unspent`` also counts what dead holders may not have spent.
    """

    ceiling: int
    unwitnessed: int
    pool: int
    unspent: int


def allot(
    account: MarkAccount,
    others: Mapping[str, Mark],
    live: frozenset[str],
    prepaid: int,
    now: float,
) -> Allotment:
    """Return the mark that this holder should have of a budget of ``prepaid``.

    Its ceiling never exceeds what the marks of the ``others`` leave, unless
    that much is already used.
    """
    rate = max(LEAST_RATE, account.rate(now))
    live_marks = [mark for name, mark in others.items() if name in live]
    lost = sum(mark.ceiling for name, mark in others.items() if name not in live)
    unspent = prepaid - account.used - sum(mark.spent for mark in others.values())
    pool = prepaid - lost - sum(mark.spent for mark in live_marks) - account.used
    all_rates = rate + sum(max(LEAST_RATE, mark.rate) for mark in live_marks)
    part = rate / all_rates
    at_once = UNWITNESSED_SECONDS * account.peak_rate(now) + account.largest * part
    at_once = max(at_once + account.asked_now(now), account.waiting)
    wanted = HORIZON_SECONDS * rate + LARGEST_KEPT * account.largest * part
    share = max(0.0, pool * part)
    reserve = min(max(wanted, FIRST_SHARE * prepaid), RESERVE_PART * share)
    free = max(reserve, min(at_once, max(share, account.waiting)))
    bound = prepaid - sum(mark.ceiling for mark in others.values())
    ceiling = max(account.used, min(account.used + int(free), bound))
    unwitnessed = account.used + int(at_once)
    return Allotment(ceiling, min(ceiling, unwitnessed), pool, unspent)
