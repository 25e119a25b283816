"""Asks peers on this side of a cut for parts of grants while the log is out."""

from asyncio import sleep
from collections.abc import Sequence
from itertools import groupby

from clementinebend_entry.budget_waits import Waiter
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.metrics import TRANSFERS
from clementinebend_entry.peer_pool import PeerPool

INTERVAL_S = 0.1
MIN_OUTAGE_S = 0.2
"""How long the log may fail before peers are asked."""


class Borrower:
    """Borrows for those who wait; a part that comes is used by the ledger."""

    def __init__(self, ledger: Ledger, peers: PeerPool) -> None:
        self.ledger = ledger
        self.peers = peers

    async def run(self) -> None:
        """Look at those who wait again and again."""
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
        """Ask one peer after another until the need is met.

        A part that is too small for each of those who wait is not taken.
        """
        amount = sum(waiter.amount for waiter in waiters)
        least = min(waiter.amount for waiter in waiters)
        for name in self.peers.creditors():
            received = await self.peers.ask_transfer(name, budget, amount, least)
            amount -= received
            TRANSFERS.labels("received" if received else "nothing").inc()
            if amount <= 0:
                return


def budget_of(waiter: Waiter) -> str:
    """Return the budget that a request waits for."""
    return waiter.budget
