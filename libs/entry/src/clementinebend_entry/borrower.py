"""Requests grant transfers from reachable peers during a log outage."""

from asyncio import sleep
from collections.abc import Sequence
from itertools import groupby

from clementinebend_entry.budget_waits import Waiter
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.metrics import TRANSFERS
from clementinebend_entry.peer_pool import PeerPool

INTERVAL_S = 0.1
MIN_OUTAGE_S = 0.2
"""Log outage, in seconds, after which peers are asked."""


class Borrower:
    """Requests tokens for waiting requests; the ledger uses what arrives."""

    def __init__(self, ledger: Ledger, peers: PeerPool) -> None:
        self.ledger = ledger
        self.peers = peers

    async def run(self) -> None:
        """Check the waiting requests periodically until cancelled."""
        while True:
            await sleep(INTERVAL_S)
            waiters = sorted(self.ledger.waiters.values(), key=budget_of)
            for budget, group in groupby(waiters, key=budget_of):
                shard = self.ledger.shards.of_budget(budget)
                if shard.failing_for(self.ledger.loop.time()) > MIN_OUTAGE_S:
                    waiting_group = tuple(group)
                    await self.borrow(budget, waiting_group)
                    self.ledger.mark_peers_asked(waiting_group)

    async def borrow(self, budget: str, waiters: Sequence[Waiter]) -> None:
        """Ask one peer after another until the total amount is received.

        A transfer must cover at least the smallest waiting request; a smaller one
        is not accepted.
        """
        amount = sum(waiter.amount for waiter in waiters)
        min_amount = min(waiter.amount for waiter in waiters)
        for name in self.peers.creditors():
            received = await self.peers.ask_transfer(name, budget, amount, min_amount)
            amount -= received
            TRANSFERS.labels("received" if received else "nothing").inc()
            if amount <= 0:
                return


def budget_of(waiter: Waiter) -> str:
    """Return the budget that a request waits for."""
    return waiter.budget
