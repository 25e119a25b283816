"""Selects the waiting requests to refuse; the state of each budget is read once."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from clementinebend_entry.budget_waits import (
    MAX_LOG_OUTAGE_S,
    BudgetView,
    Waiter,
    is_release_expected,
    refusal_of_waiter,
)
from clementinebend_entry.outcomes import Refusal
from clementinebend_entry.top_ups import TopUpPoster
from clementinebend_ledger.holder import HolderState
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import RunId


class RefusedWaiter(NamedTuple):
    """A waiting request that must be refused, with its refusal."""

    run: RunId
    refusal: Refusal


def find_refusals(
    waiters: Iterable[Waiter], holder: HolderState, top_ups: TopUpPoster, now: float
) -> tuple[RefusedWaiter, ...]:
    """Return the waiting requests that must be refused now."""
    ordered = sorted(waiters, key=_budget_of)
    return tuple(
        refused
        for budget, group in groupby(ordered, key=_budget_of)
        for refused in _find_budget_refusals(budget, tuple(group), holder, top_ups, now)
    )


def _find_budget_refusals(
    budget: str,
    waiters: tuple[Waiter, ...],
    holder: HolderState,
    top_ups: TopUpPoster,
    now: float,
) -> Iterator[RefusedWaiter]:
    shard = top_ups.shards.of_budget(budget)
    failing_for = shard.failing_for(now)
    declared = sum(top_up.amount for top_up in top_ups.missing(budget))
    summary = budget_summary(shard.state, budget)
    for waiter in waiters:
        release_expected = is_release_expected(
            holder, waiter, failing_for > MAX_LOG_OUTAGE_S, now
        )
        view = BudgetView(summary, declared, failing_for, release_expected)
        refusal = refusal_of_waiter(waiter, view, now)
        if refusal is not None:
            yield RefusedWaiter(waiter.run, refusal)


def _budget_of(waiter: Waiter) -> str:
    return waiter.budget
