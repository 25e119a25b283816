"""Tests the cost and recovery time of budgets in fleets of different sizes.

The load is the same for each fleet, so any growth is the cost of the fleet itself.
"""

from asyncio import create_task, get_running_loop, sleep
from collections import Counter
from typing import NamedTuple

import pytest

from clementinebend_bench.models.mark_demand import MarkCall, make_calls
from clementinebend_bench.models.mark_fleet import FleetEntry, MarkFleet
from clementinebend_bench.models.mark_store import StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.messages import Message
from clementinebend_transport.client_connection import Address

SIZES = [4, 40, 400]
LEAD_SECONDS = 3.0
SECONDS = 6.0
SPARE_FACTOR = 1.5
"""Budgets as a multiple of the tokens requested, so that none is exhausted, even if all
calls in progress are lost once."""

RECOVERY_SECONDS = 2.0
"""Seconds within which a fleet whose processes were all killed must serve again."""


class CountedFleet(MarkFleet):
    """A fleet that counts its datagrams."""

    def __init__(self, store: StoreModel, prepaid: dict[str, int]) -> None:
        super().__init__(store, prepaid)
        self.datagrams = 0

    def send(self, sender: FleetEntry, message: Message, to: Address) -> None:
        self.datagrams += 1
        super().send(sender, message, to)


class RunResult(NamedTuple):
    """The outcome of the calls, and what the fleet cost from the first one on."""

    calls: int
    served_at: tuple[float, ...]
    refused_at: tuple[float, ...]
    datagrams: int
    store_calls: int


async def run_calls(entries: int, killed_at: float | None, back_at: float) -> RunResult:
    """Run some seconds of calls; all entries may be killed and restarted."""
    loop = get_running_loop()
    calls = make_calls(entries, SECONDS, None, seed=5)
    needed: Counter[str] = Counter()
    for call in calls:
        needed[call.team] += int(call.most * SPARE_FACTOR)
    fleet = CountedFleet(StoreModel(()), dict(needed))
    start_all(fleet, entries)
    await sleep(LEAD_SECONDS)
    datagrams, store_calls = fleet.datagrams, fleet.store.calls
    start = loop.time()
    if killed_at is not None:
        loop.call_at(start + killed_at, end_all, fleet, entries)
        loop.call_at(start + back_at, start_all, fleet, entries)
    served: list[float] = []
    refused: list[float] = []

    async def serve(call: MarkCall) -> None:
        entry = fleet.entries.get(call.entry)
        if entry is None:
            return
        outcome = await fleet.reserve(call.entry, call.team, call.most)
        (refused if outcome is None else served).append(loop.time() - start)
        await sleep(call.seconds)
        if outcome is not None and fleet.entries.get(call.entry) is entry:
            fleet.settle(call.entry, outcome, call.cost)

    tasks = []
    for call in calls:
        await sleep(max(0.0, start + call.at - loop.time()))
        tasks.append(create_task(serve(call)))
    await sleep(LEAD_SECONDS)
    end_all(fleet, entries)
    return RunResult(
        len(calls),
        tuple(served),
        tuple(refused),
        fleet.datagrams - datagrams,
        fleet.store.calls - store_calls,
    )


def start_all(fleet: MarkFleet, entries: int) -> None:
    for number in range(entries):
        fleet.start(number)


def end_all(fleet: MarkFleet, entries: int) -> None:
    for number in range(entries):
        fleet.end(number)


@pytest.mark.parametrize("entries", SIZES)
def test_calls_are_served_soon_after_all_entries_were_killed(entries: int) -> None:
    back_at = 3.0
    result = run_virtually(run_calls(entries, killed_at=2.0, back_at=back_at))
    after = [at for at in result.served_at if at > back_at]
    assert after[0] - back_at < RECOVERY_SECONDS
    late_refusals = [at for at in result.refused_at if at > back_at + RECOVERY_SECONDS]
    assert not late_refusals


@pytest.mark.parametrize("entries", SIZES)
def test_what_budgets_cost_does_not_grow_with_the_fleet(entries: int) -> None:
    """A call costs a request, an answer and a return of tokens, at most twice each.

    In addition an entry's liveness is checked at most once a second; only the home
    calls the store, whatever the size of the fleet.
    """
    result = run_virtually(run_calls(entries, killed_at=None, back_at=0.0))
    seconds = SECONDS + LEAD_SECONDS
    watching = 0.25 * entries * seconds + 100 * seconds
    assert result.datagrams < 6 * result.calls + watching
    assert result.store_calls < 40 * seconds
    assert len(result.refused_at) <= 0.005 * result.calls
