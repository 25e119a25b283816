"""Perfect knowledge: what is prepaid, what ran, and which refusals were false.

A refusal is false if a ledger that knows every run in every zone at that
instant would have admitted the request: topped up - spent - bounds of the
runs in progress covers its bound.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from clementinebend_bench.models.demand import Spending
from clementinebend_bench.models.timeline import Timeline, events_until, schedule

Action = Callable[[float], None]


class Settler(Protocol):
    """Whoever is told that a run has ended."""

    def finished(self, row: Spending, now: float) -> None:
        """Settle a run that has ended."""


class Arm(Protocol):
    """One way to keep budgets; its entries decide with what they know."""

    def request(self, row: Spending, now: float) -> None:
        """Admit or refuse a request, now or later, by calling the world."""

    def topped_up(self, budget: str, amount: int, now: float) -> None:
        """Take in a top-up that operators publish now."""

    def kill(self, name: str, now: float) -> None:
        """End an entry with all that it keeps in memory."""

    def pause(self, name: str, now: float) -> None:
        """Stop an entry for a while; the balancer takes it for dead."""

    def start(self, name: str, now: float) -> None:
        """Start a killed entry's replacement."""

    def wake(self, name: str, now: float) -> None:
        """Let a paused entry go on."""


class World:
    """The virtual clock and the true accounts of one simulated case."""

    def __init__(self, timeline: Timeline[Action]) -> None:
        self.timeline = timeline
        self.topped_up: dict[str, int] = defaultdict(int)
        self.spent: dict[str, int] = defaultdict(int)
        self.in_flight: dict[str, int] = defaultdict(int)
        self.admitted = 0
        self.refused = 0
        self.falsely_refused = 0
        self.overspend = 0

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at a time."""
        schedule(self.timeline, time, action)

    def run(self, end: float) -> None:
        """Run all actions up to ``end``."""
        for now, action in events_until(self.timeline, end):
            action(now)

    def would_admit(self, row: Spending) -> bool:
        """Return whether perfect knowledge would admit a request."""
        committed = self.spent[row.budget] + self.in_flight[row.budget]
        return self.topped_up[row.budget] - committed >= row.bound

    def admit(self, row: Spending, settler: Settler, now: float) -> None:
        """Start a run; its settler is told when it ends."""
        self.admitted += 1
        self.in_flight[row.budget] += row.bound
        self.at(now + row.seconds, lambda end: self._finish(row, settler, end))

    def refuse(self, row: Spending) -> None:
        """Count a refusal, and whether it was false."""
        self.refused += 1
        self.falsely_refused += self.would_admit(row)

    def _finish(self, row: Spending, settler: Settler, now: float) -> None:
        budget = row.budget
        self.in_flight[budget] -= row.bound
        self.spent[budget] += row.cost
        excess = self.spent[budget] - self.topped_up[budget]
        self.overspend = max(self.overspend, excess)
        settler.finished(row, now)
