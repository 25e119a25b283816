"""Calls that reserve their tokens only when their answer is ready."""

from asyncio import create_task, gather, get_running_loop, sleep, timeout
from collections import Counter

import pytest

from clementinebend_bench.models.mark_demand import MarkCall, make_calls
from clementinebend_bench.models.mark_fleet import FleetEntry, MarkFleet
from clementinebend_bench.models.mark_store import Outage, StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.budgets import SPARE_VALID_SECONDS
from clementinebend_relay.deferred_reservations import Admission
from clementinebend_relay.models import Team
from clementinebend_relay.quota_view import Shortfall
from tests.unit.relay.test_home_succession import home_number

TEAM = Team("team", 1_000_000, None)
AMOUNT = 5_000
ENTRIES = 4
SETTLED_SECONDS = 3.0
SECONDS = 12.0
KILLED_AT = 6.0
SPARE_FACTOR = 2.0
MAX_LATE_FRACTION = 0.02
"""Maximum fraction of answers that may wait longer than ``LATE_SECONDS``."""

LATE_SECONDS = 0.5


async def settled_fleet(prepaid: int, store: StoreModel | None = None) -> MarkFleet:
    """Return a fleet whose entries know one another and have read the log."""
    fleet = MarkFleet(store or StoreModel(()), {TEAM.name: prepaid})
    for number in range(ENTRIES):
        fleet.start(number)
    await sleep(SETTLED_SECONDS)
    return fleet


def stop(fleet: MarkFleet) -> None:
    for number in tuple(fleet.entries):
        fleet.end(number)


def reserved(entry: FleetEntry) -> int:
    return entry.budgets.managers[0].account(TEAM.name).reserved


async def admit(entry: FleetEntry, amount: int = AMOUNT) -> Admission | Shortfall:
    return await entry.reservations.admit(TEAM, amount, 0.25)


def test_an_ample_budget_is_reserved_when_the_answer_is_ready() -> None:
    """Guards against calls in progress that are lost to a team with their entry."""

    async def main() -> None:
        fleet = await settled_fleet(1_000_000)
        home = fleet.entries[home_number(fleet)]
        admission = await admit(home)
        assert isinstance(admission, Admission)
        assert admission.is_deferred
        assert reserved(home) == 0
        covered = await home.reservations.cover(admission)
        assert not covered.is_deferred
        assert reserved(home) == AMOUNT
        home.reservations.settle(covered, 700)
        account = home.budgets.managers[0].account(TEAM.name)
        assert (account.reserved, account.spent) == (0, 700)
        stop(fleet)

    run_virtually(main())


def test_a_short_budget_is_reserved_on_admission() -> None:
    """Guards against calls that run although their budget does not suffice."""

    async def main() -> None:
        fleet = await settled_fleet(2 * AMOUNT - 1)
        home = fleet.entries[home_number(fleet)]
        first = await admit(home)
        assert isinstance(first, Admission)
        assert not first.is_deferred
        assert reserved(home) == AMOUNT
        assert isinstance(await admit(home), Shortfall)
        stop(fleet)

    run_virtually(main())


def test_an_answer_that_was_not_delivered_costs_nothing() -> None:
    async def main() -> None:
        fleet = await settled_fleet(1_000_000)
        home = fleet.entries[home_number(fleet)]
        admission = await admit(home)
        assert isinstance(admission, Admission)
        home.reservations.settle(admission, 0)
        account = home.budgets.managers[0].account(TEAM.name)
        assert (account.reserved, account.spent) == (0, 0)
        stop(fleet)

    run_virtually(main())


def test_a_borrower_relies_on_its_homes_report_only_while_that_is_fresh() -> None:
    async def main() -> None:
        fleet = await settled_fleet(1_000_000)
        number = next(each for each in fleet.entries if each != home_number(fleet))
        borrower = fleet.entries[number]
        first = await admit(borrower)
        assert isinstance(first, Admission)
        assert not first.is_deferred
        borrower.reservations.settle(first, AMOUNT)
        second = await admit(borrower)
        assert isinstance(second, Admission)
        assert second.is_deferred
        await sleep(SPARE_VALID_SECONDS + 0.1)
        third = await admit(borrower)
        assert isinstance(third, Admission)
        assert not third.is_deferred
        stop(fleet)

    run_virtually(main())


def test_nothing_is_deferred_while_the_store_is_away() -> None:
    """Guards against answers that cannot be delivered in an outage."""

    async def main() -> None:
        start = SETTLED_SECONDS + 1.0
        store = StoreModel((Outage(start, start + 5.0),))
        fleet = await settled_fleet(1_000_000, store)
        home = fleet.entries[home_number(fleet)]
        assert home.budgets.is_ample(TEAM.name, AMOUNT)
        await sleep(2.0)
        assert not home.budgets.is_ample(TEAM.name, AMOUNT)
        stop(fleet)

    run_virtually(main())


def test_an_answer_whose_caller_leaves_waits_for_no_tokens() -> None:
    async def main() -> None:
        fleet = await settled_fleet(2 * AMOUNT)
        home = fleet.entries[home_number(fleet)]
        with pytest.raises(TimeoutError):
            async with timeout(1.0):
                await home.reservations.cover(Admission(TEAM, 3 * AMOUNT, True))
        account = home.budgets.managers[0].account(TEAM.name)
        assert (account.waiting, account.reserved) == (0, 0)
        stop(fleet)

    run_virtually(main())


@pytest.mark.parametrize("entries", [4, 30])
def test_answers_are_delivered_in_time_though_the_home_is_killed(entries: int) -> None:
    """Guards against ready answers that wait for a home that is gone."""

    async def main() -> list[float]:
        loop = get_running_loop()
        calls = make_calls(entries, SECONDS, None, 1, has_drafts=True)
        needed: Counter[str] = Counter()
        for call in calls:
            needed[call.team] += int(call.most * SPARE_FACTOR)
        fleet = MarkFleet(StoreModel(()), dict(needed))
        for number in range(entries):
            fleet.start(number)
        await sleep(SETTLED_SECONDS)
        waits: list[float] = []

        async def serve(call: MarkCall) -> None:
            entry = fleet.entries.get(call.entry)
            if entry is None:
                return
            admission = await fleet.admit(call.entry, call.team, call.most)
            assert admission is not None
            await sleep(call.seconds)
            if fleet.entries.get(call.entry) is not entry:
                return
            ready_at = loop.time()
            covered = await fleet.cover(call.entry, admission)
            if fleet.entries.get(call.entry) is entry:
                assert covered is not None
                waits.append(loop.time() - ready_at)
                fleet.release(call.entry, covered, call.cost)

        loop.call_at(SETTLED_SECONDS + KILLED_AT, lambda: fleet.end(home_number(fleet)))
        tasks = []
        for call in calls:
            await sleep(max(0.0, SETTLED_SECONDS + call.at - loop.time()))
            tasks.append(create_task(serve(call)))
        await gather(*tasks)
        stop(fleet)
        return waits

    waits = run_virtually(main())
    late = [each for each in waits if each > LATE_SECONDS]
    assert len(late) <= MAX_LATE_FRACTION * len(waits)
