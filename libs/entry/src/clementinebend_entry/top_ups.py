"""Posts declared top-ups that the ledger does not have.

The operator's command declares a top-up and then posts it. If it fails in
between, the entries post the top-up, each after a different delay, and replay
applies each top-up id once.
"""

from collections.abc import Iterable
from typing import NamedTuple

from clementinebend_declarations.models import Declarations
from clementinebend_entry.metrics import TOP_UPS_REPOSTED
from clementinebend_entry.shards import LedgerShards
from clementinebend_ledger.replay import LedgerState
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_records.records import TopUp

FIRST_DELAY_S = 2.0
"""Time for the operator's command to post before the first entry does."""

STAGGER_S = 3.0
CHECK_INTERVAL_S = 0.5


class TopUpWatch(NamedTuple):
    """When each top-up was first seen missing, and those already posted."""

    missing: dict[tuple[str, str], float]
    posted: set[tuple[str, str]]


def empty_watch() -> TopUpWatch:
    """Return a watch without missing or posted top-ups."""
    return TopUpWatch({}, set())


def missing_top_ups(
    declarations: Declarations, budget: str, state: LedgerState
) -> tuple[TopUp, ...]:
    """Return the declared top-ups of a budget that the ledger does not have."""
    declared = declarations.budgets.get(budget)
    if declared is None:
        return ()
    entry = state.budgets.get(budget)
    known = entry["top_ups"] if entry else {}
    return tuple(
        TopUp(budget, top_up.id, top_up.tokens, "")
        for top_up in declared.top_ups
        if top_up.id not in known
    )


def due_top_ups(
    watch: TopUpWatch,
    missing: Iterable[TopUp],
    name: str,
    entries: Iterable[str],
    now: float,
) -> tuple[TopUpWatch, tuple[TopUp, ...]]:
    """Return the top-ups that this entry should post now.

    Rendezvous hashing orders the entries for each top-up, and each place in the
    order adds ``STAGGER_S`` to the delay.
    """
    names = sorted({name, *entries})
    due = []
    for top_up in missing:
        subject = (top_up.budget, top_up.top_up)
        since = watch.missing.setdefault(subject, now)
        order = rendezvous("/".join(subject), names, len(names))
        delay = FIRST_DELAY_S + STAGGER_S * order.index(name)
        if subject not in watch.posted and now - since >= delay:
            watch.posted.add(subject)
            due.append(top_up._replace(author=name))
    return watch, tuple(due)


class TopUpPoster:
    """Posts due top-ups; ``entries`` are the reachable other entries."""

    def __init__(self, name: str, shards: LedgerShards) -> None:
        self.name = name
        self.shards = shards
        self.declarations = Declarations()
        self.entries: tuple[str, ...] = ()
        self.watch = empty_watch()
        self.next_check = 0.0

    def missing(self, budget: str) -> tuple[TopUp, ...]:
        """Return the declared top-ups of a budget that are not applied yet."""
        state = self.shards.of_budget(budget).state
        return missing_top_ups(self.declarations, budget, state)

    def post_due(self, now: float) -> None:
        """Post the top-ups that are due, checking every ``CHECK_INTERVAL_S``."""
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL_S
        missing = [
            top_up
            for budget in self.declarations.budgets
            if self.shards.of_budget(budget).is_ready
            for top_up in self.missing(budget)
        ]
        self.watch, due = due_top_ups(self.watch, missing, self.name, self.entries, now)
        for top_up in due:
            TOP_UPS_REPOSTED.inc()
            self.shards.post(self.shards.of_budget(top_up.budget), (top_up,))
