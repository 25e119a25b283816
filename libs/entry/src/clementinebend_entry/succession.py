"""Appends the records that the holders plan, and switches between holders."""

from logging import getLogger

from clementinebend_entry.holders import Holders
from clementinebend_entry.ledger_events import WitnessesSeen
from clementinebend_entry.shards import LedgerShards
from clementinebend_ledger.holder import HolderState, close_cleanly, plan, widen

logger = getLogger(__name__)

PREPARE_INTERVAL_S = 5.0
"""Minimum time between preparations of a successor.

One successor covers all sidecars that restart within it.
"""


class Succession:
    """Posts the holders' records; ``reachable_witnesses`` extends their scopes."""

    def __init__(self, holders: Holders, shards: LedgerShards, now: float) -> None:
        self.holders = holders
        self.shards = shards
        self.reachable_witnesses = WitnessesSeen((), ())
        self.prepared_at = now
        self.is_stopping = False

    def widen(self) -> None:
        """Post scope extensions for reachable witnesses outside the holders' scopes."""
        for stream, shard in self.shards.by_stream.items():
            for holder in (self.holders.current, self.holders.successor):
                if holder is not None:
                    _, records = widen(holder, *self.reachable_witnesses, stream)
                    self.shards.post(shard, records)

    def switch_if_due(self) -> bool:
        """Switch to the next holder if the current one is closed or the next is ready.

        Returns whether it switched.
        """
        is_successor_ready = self.holders.is_successor_ready(
            self.reachable_witnesses, self.shards.by_stream
        )
        if self.is_stopping or not (self.holders.current.closed or is_successor_ready):
            return False
        old = self.holders.current.incarnation
        for budget, records in self.holders.switch_to_successor().items():
            self.shards.post(self.shards.of_budget(budget), records)
        logger.info("holder %s replaced by %s", old, self.holders.current.incarnation)
        self.widen()
        return True

    def prepare_if_due(self, now: float) -> None:
        """Prepare a successor if a sidecar in scope was replaced."""
        is_early = now - self.prepared_at < PREPARE_INTERVAL_S
        if is_early or self.is_stopping or self.holders.successor is not None:
            return
        if self.holders.has_replaced_sidecar(
            self.reachable_witnesses, self.shards.by_stream
        ):
            self.prepared_at = now
            self.holders.prepare_successor()
            self.widen()

    def append_planned(self, now: float) -> None:
        """Append the planned records; close earlier holders that have nothing left."""
        delay = self.shards.delay
        self.holders.current, records = plan(self.holders.current, now, delay)
        self.shards.post_by_budget(records)
        for index, holder in enumerate(self.holders.retired):
            self.holders.retired[index], records = plan(holder, now, delay)
            self.shards.post_by_budget(records)
        for holder in self.holders.pop_spent():
            self.close_spent(holder)

    def close_spent(self, holder: HolderState) -> None:
        """Append the clean close of a holder that has nothing left."""
        _, records = close_cleanly(holder)
        for shard in self.shards.by_stream.values():
            self.shards.post(shard, records)

    def close_all(self) -> bool:
        """Close all holders in a planned stop; return false if any is unsettled."""
        self.is_stopping = True
        if not self.holders.is_settled:
            return False
        for holder in self.holders.all():
            self.close_spent(holder)
        return True
