"""Transfers of tokens between holders over a lossy network. Pure.

A giver never sends the amount of a single transfer but the total transferred so far. A
lost message is thus made up for by the next one, and a repeated or late message has no
effect. The giver counts tokens as spent before its message is sent, so none are ever
counted at both ends.

Amounts are in tokens.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_PAIRS = 20_000
"""Maximum number of pairs of another holder and a team that are kept in each direction,
some 4 MB: those of a home that lends 50 busy budgets to 400 entries. A dropped pair
loses at most the transfers in flight."""


class Transfer(NamedTuple):
    """The total transferred by one holder to another of a team's budget in a series.

    The series numbers of a giver never repeat, over all holders and teams; a later
    series of a pair replaces an earlier one and starts at 0.
    """

    series: int
    total: int


class PairKey(NamedTuple):
    """The boot of the other holder of a pair, and the team."""

    boot: str
    team: str


class TransferBook:
    """The totals that one boot has transferred to others and received from them."""

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.last_series = 0
        self.given: OrderedDict[PairKey, Transfer] = OrderedDict()
        self.taken: OrderedDict[PairKey, Transfer] = OrderedDict()
        self.dropped_series: dict[str, int] = {}
        """The newest series of each giver of which a pair was dropped. Transfers of an
        unknown pair up to that series are ignored, as they may have been received
        before."""

    def hand_over(self, to: str, team: str, amount: int) -> Transfer:
        """Add ``amount`` to the total for a holder, and return the transfer to send."""
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
        """Return how much of the transfer from ``giver`` is new."""
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
