"""Selects the waiting requests to refuse; the state of each budget is read once."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from clementinebend_entry.budget_waits import (
    LOG_PATIENCE_S,
    BudgetView,
    Waiter,
    is_settling,
    judge_waiter,
)
from clementinebend_entry.outcomes import Refusal
from clementinebend_entry.top_ups import TopUpPoster
from clementinebend_ledger.holder import HolderState
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import RunId


class Judged(NamedTuple):
    """A waiting request that must be refused, with its refusal."""

    run: RunId
    refusal: Refusal


def judge_all(
    waiters: Iterable[Waiter], holder: HolderState, top_ups: TopUpPoster, now: float
) -> tuple[Judged, ...]:
    """Return the waiting requests that must be refused now."""
    ordered = sorted(waiters, key=_budget_of)
    return tuple(
        judged
        for budget, group in groupby(ordered, key=_budget_of)
        for judged in _judge_budget(budget, tuple(group), holder, top_ups, now)
    )


def _judge_budget(
    budget: str,
    waiters: tuple[Waiter, ...],
    holder: HolderState,
    top_ups: TopUpPoster,
    now: float,
) -> Iterator[Judged]:
    shard = top_ups.shards.of_budget(budget)
    failing_for = shard.failing_for(now)
    declared = sum(top_up.amount for top_up in top_ups.missing(budget))
    summary = budget_summary(shard.state, budget)
    for waiter in waiters:
        settling = is_settling(holder, waiter, failing_for > LOG_PATIENCE_S, now)
        view = BudgetView(summary, declared, failing_for, settling)
        refusal = judge_waiter(waiter, view, now)
        if refusal is not None:
            yield Judged(waiter.run, refusal)


def _budget_of(waiter: Waiter) -> str:
    return waiter.budget
