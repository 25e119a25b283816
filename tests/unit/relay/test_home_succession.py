"""Which entries append quotas after the home of all budgets was killed."""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections import Counter, defaultdict
from itertools import chain
from statistics import mean

import pytest

from clementinebend_bench.models.mark_demand import MarkCall, make_calls
from clementinebend_bench.models.mark_fleet import MarkFleet
from clementinebend_bench.models.mark_store import Slowdown, StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.quota_view import SEPARATOR

SEEDS = (1, 2, 3)
LEAD_SECONDS = 3.0
SECONDS = 4.0
HOME_ENDS_AT = 2.0
SPARE_FACTOR = 3.0
SLOW_ANSWER_SECONDS = 0.3
TEAM = "team"
PREPAID = 1_000_000
ENTRIES = 6
NOTICED_SECONDS = 1.0
MAX_OTHER_WRITERS = 1.0
"""Maximum mean number of entries that append although they are not the home."""


def home_number(fleet: MarkFleet) -> int:
    """Return the number of the entry that considers itself the home."""
    return next(
        number
        for number, entry in fleet.entries.items()
        if entry.peers.home_of(0) is None
    )


async def other_writers(entries: int, seed: int, is_store_slow: bool) -> int:
    """Return how many entries append after the kill without being the home."""
    loop = get_running_loop()
    calls = make_calls(entries, SECONDS, None, seed)
    needed: Counter[str] = Counter()
    for call in calls:
        needed[call.team] += int(call.most * SPARE_FACTOR)
    killed_at = LEAD_SECONDS + HOME_ENDS_AT
    slow_until = loop.time() + LEAD_SECONDS + SECONDS if is_store_slow else 0.0
    slowdown = Slowdown(killed_at - 1.0, slow_until, SLOW_ANSWER_SECONDS)
    fleet = MarkFleet(StoreModel((), (slowdown,)), dict(needed))
    for number in range(entries):
        fleet.start(number)
    appended: list[int] = []
    tasks: dict[int, list[Task[None]]] = defaultdict(list)

    def kill() -> None:
        killed = home_number(fleet)
        fleet.end(killed)
        for task in tasks[killed]:
            task.cancel()
        appended.append(len(fleet.store.records))

    async def serve(call: MarkCall) -> None:
        if call.entry not in fleet.entries:
            return
        entry = fleet.entries[call.entry]
        outcome = await fleet.reserve(call.entry, call.team, call.most)
        await sleep(call.seconds)
        if outcome is not None and fleet.entries.get(call.entry) is entry:
            fleet.settle(call.entry, outcome, call.cost)

    loop.call_at(killed_at, kill)
    for call in calls:
        await sleep(max(0.0, LEAD_SECONDS + call.at - loop.time()))
        tasks[call.entry].append(create_task(serve(call)))
    await gather(*chain.from_iterable(tasks.values()), return_exceptions=True)
    home = fleet.entries[home_number(fleet)].budgets.managers[0].view.holder
    for number in tuple(fleet.entries):
        fleet.end(number)
    keys = (record.key for record in fleet.store.records[appended[0] :])
    return len({key.rpartition(SEPARATOR)[2] for key in keys} - {home})


@pytest.mark.parametrize("is_store_slow", [False, True])
@pytest.mark.parametrize("entries", [30, 400])
def test_hardly_any_entry_but_the_next_home_appends_after_a_kill(
    entries: int, is_store_slow: bool
) -> None:
    """Guards against entries that race with the next home for the log's end."""
    writers = [
        run_virtually(other_writers(entries, seed, is_store_slow)) for seed in SEEDS
    ]
    assert mean(writers) <= MAX_OTHER_WRITERS


def test_a_stopping_home_is_replaced_though_its_notice_is_lost() -> None:
    """Guards against entries that ask a stopping home until it has ended."""

    async def main() -> set[str]:
        fleet = MarkFleet(StoreModel(()), {TEAM: PREPAID})
        for number in range(ENTRIES):
            fleet.start(number)
        await sleep(LEAD_SECONDS)
        stopping = fleet.entries[home_number(fleet)]
        stopping.peers.send_all = lambda message, to: None
        stopping.peers.resign()
        for number in fleet.entries:
            await fleet.reserve(number, TEAM, PREPAID // (2 * ENTRIES))
        await sleep(NOTICED_SECONDS)
        homes = {
            entry.peers.home_of(0) or entry.name for entry in fleet.entries.values()
        }
        for number in range(ENTRIES):
            fleet.end(number)
        assert stopping.name not in homes
        return homes

    assert len(run_virtually(main())) == 1
