"""Guards against refusals when the store slows down just after a change of home."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections import Counter
from collections.abc import Callable
from statistics import mean

import pytest

from clementinebend_bench.models.mark_demand import MarkCall, make_calls
from clementinebend_bench.models.mark_fleet import MarkFleet
from clementinebend_bench.models.mark_store import Slowdown, StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually

ENTRY_COUNTS = [28, 400]
SEEDS = (1, 2, 3)
LEAD_SECONDS = 3.0
SECONDS = 9.0
HOME_ENDS_AT = 3.0
SLOW_FROM, SLOW_UNTIL = 3.5, 8.0
SLOW_ANSWER_SECONDS = 0.3
SPARE_FACTOR = 3.0
"""Budgets as a multiple of the tokens requested, so that none is exhausted."""

MAX_REFUSED_FRACTION = 0.05
"""Maximum fraction of calls that may be refused while the store is slow."""


async def refused_fraction(
    entries: int, seed: int, end_home: Callable[[MarkFleet], None]
) -> float:
    """Return the fraction of calls refused while the store is slow."""
    loop = get_running_loop()
    calls = make_calls(entries, SECONDS, None, seed)
    needed: Counter[str] = Counter()
    for call in calls:
        needed[call.team] += int(call.most * SPARE_FACTOR)
    start = LEAD_SECONDS
    slowdown = Slowdown(start + SLOW_FROM, start + SLOW_UNTIL, SLOW_ANSWER_SECONDS)
    fleet = MarkFleet(StoreModel((), (slowdown,)), dict(needed))
    for number in range(entries):
        fleet.start(number)
    await sleep(start - loop.time())
    loop.call_at(start + HOME_ENDS_AT, end_home, fleet)
    outcomes: list[tuple[float, bool]] = []

    async def serve(call: MarkCall) -> None:
        entry = fleet.entries.get(call.entry)
        if entry is None:
            return
        outcome = await fleet.reserve(call.entry, call.team, call.most)
        outcomes.append((call.at, outcome is not None))
        await sleep(call.seconds)
        if outcome is not None and fleet.entries.get(call.entry) is entry:
            fleet.settle(call.entry, outcome, call.cost)

    tasks = []
    for call in calls:
        await sleep(max(0.0, start + call.at - loop.time()))
        tasks.append(create_task(serve(call)))
    await gather(*tasks)
    for number in tuple(fleet.entries):
        fleet.end(number)
    served = [is_served for at, is_served in outcomes if SLOW_FROM <= at < SLOW_UNTIL]
    return served.count(False) / len(served)


def resign_home(fleet: MarkFleet) -> None:
    """Make the home of all budgets resign, as an entry does when it stops."""
    for entry in fleet.entries.values():
        if entry.peers.home_of(0) is None:
            entry.peers.resign()
            return


def kill_home(fleet: MarkFleet) -> None:
    """Kill the home of all budgets."""
    for number, entry in fleet.entries.items():
        if entry.peers.home_of(0) is None:
            fleet.end(number)
            return


def mean_refused(entries: int, end_home: Callable[[MarkFleet], None]) -> float:
    """Return the mean of the refused fractions of all seeds."""
    return mean(
        run_virtually(refused_fraction(entries, seed, end_home)) for seed in SEEDS
    )


@pytest.mark.parametrize("entries", ENTRY_COUNTS)
def test_few_calls_are_refused_while_the_store_is_slow(entries: int) -> None:
    assert mean_refused(entries, resign_home) <= MAX_REFUSED_FRACTION


def test_few_calls_are_refused_while_the_store_is_slow_after_a_kill() -> None:
    """Guards against quotas of other entries that compete with the home's appends."""
    assert mean_refused(ENTRY_COUNTS[0], kill_home) <= MAX_REFUSED_FRACTION
