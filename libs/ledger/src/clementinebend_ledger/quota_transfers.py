"""Parts of budgets handed from one holder to another, over a lossy network. Pure.

A giver never says how much it hands over now, but how much it has handed over in all.
So a message that is lost is made good by the next one, and one that comes twice or
late changes nothing. The giver counts a part as spent before its message leaves:
nothing is ever there twice.

Amounts are in tokens.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_PAIRS = 20_000
"""Pairs of another holder and a team that are remembered each way, some 4 MB: those
of a home that lends 50 busy budgets to 400 entries. A pair that is forgotten loses at
most what was on its way."""


class Transfer(NamedTuple):
    """What one holder has handed another of a team's budget in one ``series``.

    A giver's series never repeat, over all holders and teams; a later one of a pair
    replaces an earlier one and starts at nothing.
    """

    series: int
    total: int


class PairKey(NamedTuple):
    """The other holder of a pair, by its boot, and the team."""

    boot: str
    team: str


class TransferBook:
    """What one boot has handed to others, and what it has taken from them."""

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.last_series = 0
        self.given: OrderedDict[PairKey, Transfer] = OrderedDict()
        self.taken: OrderedDict[PairKey, Transfer] = OrderedDict()
        self.dropped_series: dict[str, int] = {}
        """The newest series of each giver of which a pair was forgotten: no unknown
        pair of it up to there is taken, as it may have been taken before."""

    def hand_over(self, to: str, team: str, amount: int) -> Transfer:
        """Hand ``amount`` more to a holder, and return what to tell it."""
        key = PairKey(to, team)
        known = self.given.get(key)
        if known is None:
            self.last_series += 1
            known = Transfer(self.last_series, 0)
        transfer = known._replace(total=known.total + amount)
        self.given[key] = transfer
        self.given.move_to_end(key)
        if len(self.given) > self.max_pairs:
            self.given.popitem(last=False)
        return transfer

    def take(self, giver: str, team: str, transfer: Transfer) -> int:
        """Return how much of what ``giver`` told is new."""
        key = PairKey(giver, team)
        known = self.taken.get(key)
        if known is None and transfer.series <= self.dropped_series.get(giver, 0):
            return 0
        if known is None or transfer.series > known.series:
            known = Transfer(transfer.series, 0)
        if transfer.series < known.series or transfer.total < known.total:
            return 0
        self.taken[key] = transfer
        self.taken.move_to_end(key)
        if len(self.taken) > self.max_pairs:
            self._drop_oldest()
        return transfer.total - known.total

    def _drop_oldest(self) -> None:
        key, transfer = self.taken.popitem(last=False)
        newest = max(transfer.series, self.dropped_series.get(key.boot, 0))
        self.dropped_series[key.boot] = newest
