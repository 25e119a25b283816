"""Naive ways to keep budgets that never overspend either."""

from collections import defaultdict
from functools import partial

from clementinebend_bench.models.budget_arms import PATIENCE_SECONDS
from clementinebend_bench.models.demand import Spending, entries
from clementinebend_bench.models.spending_world import World
from clementinebend_bench.models.virtual_log import READ_SECONDS, VirtualLog


class StaticSplitArm:
    """Each entry gets an equal part of every top-up, and keeps it.

    An entry's memory is all that knows what it has spent, so the part of one
    that was killed is lost.
    """

    def __init__(self, world: World, log: VirtualLog) -> None:
        self.world = world
        self.log = log
        self.names = entries()
        self.alive = list(self.names)
        self.shares: dict[tuple[str, str], int] = defaultdict(int)

    def request(self, row: Spending, now: float) -> None:
        """Reserve from the part of the entry that the balancer picks."""
        down = row.entry not in self.alive
        name = self.alive[row.number % len(self.alive)] if down else row.entry
        if self.shares[name, row.budget] < row.bound:
            self.world.refuse(row)
            return
        self.shares[name, row.budget] -= row.bound
        self.world.admit(row._replace(entry=name), self, now)

    def finished(self, row: Spending, now: float) -> None:
        """Take back what was reserved and not spent."""
        self.shares[row.entry, row.budget] += row.bound - row.cost

    def topped_up(self, budget: str, amount: int, now: float) -> None:
        """Split a top-up; an entry that is cut off gets its part later."""
        part = amount // len(self.names)
        for name in self.names:
            time = self.log.reachable_at(name, now)
            self.world.at(time, partial(self._add, name, budget, part))

    def kill(self, name: str, now: float) -> None:
        """Lose the entry's parts: nobody knows what is left of them."""
        self.alive.remove(name)
        for key in [key for key in self.shares if key[0] == name]:
            self.shares[key] = -(10**12)

    def pause(self, name: str, now: float) -> None:
        """Let others take the entry's callers; its parts wait with it."""
        self.alive.remove(name)

    def start(self, name: str, now: float) -> None:
        """Start a replacement, which has no part before the next top-up."""
        for key in [key for key in self.shares if key[0] == name]:
            self.shares[key] = 0
        self.alive.append(name)

    def wake(self, name: str, now: float) -> None:
        """Take callers again, with the parts as they were."""
        self.alive.append(name)

    def _add(self, name: str, budget: str, part: int, now: float) -> None:
        self.shares[name, budget] += part


class AppendArm:
    """One append for each reservation and one for each settlement.

    No entry keeps tokens: the log's order decides, and a request waits until
    its entry has read its append back.
    """

    def __init__(self, world: World, log: VirtualLog) -> None:
        self.world = world
        self.log = log
        self.available: dict[str, int] = defaultdict(int)
        self.alive = list(entries())

    def request(self, row: Spending, now: float) -> None:
        """Append a reservation; refuse when patience ends before its answer."""
        down = row.entry not in self.alive
        name = self.alive[row.number % len(self.alive)] if down else row.entry
        deadline = now + PATIENCE_SECONDS
        if self.log.reachable_at(name, now) > deadline:
            self.world.at(deadline, lambda _: self.world.refuse(row))
            return
        moved = row._replace(entry=name)
        self.log.call(name, lambda time: self._decide(moved, deadline, time), now)

    def finished(self, row: Spending, now: float) -> None:
        """Append the settlement."""
        self.log.call(row.entry, lambda _: self._free(row, row.bound - row.cost), now)

    def topped_up(self, budget: str, amount: int, now: float) -> None:
        """Append the top-up."""
        self.log.call("operator", lambda _: self._add(budget, amount), now)

    def kill(self, name: str, now: float) -> None:
        """Nothing is lost but the entry's requests in progress."""
        self.alive.remove(name)

    def pause(self, name: str, now: float) -> None:
        """Let others take the entry's callers."""
        self.alive.remove(name)

    def start(self, name: str, now: float) -> None:
        """Take callers again."""
        self.alive.append(name)

    def wake(self, name: str, now: float) -> None:
        """Take callers again."""
        self.alive.append(name)

    def _decide(self, row: Spending, deadline: float, now: float) -> None:
        if self.available[row.budget] < row.bound:
            self.world.at(now + READ_SECONDS, lambda _: self.world.refuse(row))
            return
        self.available[row.budget] -= row.bound
        known = self.log.reachable_at(row.entry, now + READ_SECONDS)
        known += self.log.half_slow(now)
        if known > deadline:
            self.world.at(deadline, lambda _: self.world.refuse(row))
            self.log.call(row.entry, lambda _: self._free(row, row.bound), known)
            return
        self.world.at(known, lambda time: self.world.admit(row, self, time))

    def _free(self, row: Spending, amount: int) -> None:
        self.available[row.budget] += amount

    def _add(self, budget: str, amount: int) -> None:
        self.available[budget] += amount
