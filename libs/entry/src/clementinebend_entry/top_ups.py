"""Declared top-ups that the ledger does not have are posted again; pure.

The operator's command posts them first. Should it die in between, entries do
so, one after another, and replay applies each id once.
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
"""How long the operator's command has before an entry posts."""

STAGGER_S = 3.0
LOOK_INTERVAL_S = 0.5


class TopUpWatch(NamedTuple):
    """Since when each top-up is missing, and those posted already."""

    missing: dict[tuple[str, str], float]
    posted: set[tuple[str, str]]


def empty_watch() -> TopUpWatch:
    """Return a watch that has seen nothing."""
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
    """Return the top-ups that this entry is to post now."""
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
    """Posts the top-ups that are due; ``entries`` are the others in reach."""

    def __init__(self, name: str, shards: LedgerShards) -> None:
        self.name = name
        self.shards = shards
        self.declarations = Declarations()
        self.entries: tuple[str, ...] = ()
        self.watch = empty_watch()
        self.next_look = 0.0

    def missing(self, budget: str) -> tuple[TopUp, ...]:
        """Return the declared top-ups of a budget that are not applied."""
        state = self.shards.of_budget(budget).state
        return missing_top_ups(self.declarations, budget, state)

    def post_due(self, now: float) -> None:
        """Post what the ledger still does not have; looks about once a second."""
        if now < self.next_look:
            return
        self.next_look = now + LOOK_INTERVAL_S
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
