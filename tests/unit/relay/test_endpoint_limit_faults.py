"""The limit of an endpoint under faults of its keeper, and its end, in virtual time."""

from asyncio import create_task, get_running_loop, sleep
from typing import Any

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_routing.request_permits import BACKUP_SHARE
from clementinebend_transport.client_connection import Address
from tests.lib.limit_rule import (
    STABILITY_SECONDS,
    WINDOW_SECONDS,
    allowed_in_window,
    most_in_window,
)
from tests.unit.relay.limit_world import CallOutcome, LimitedEndpoint, LimitWorld

ENTRIES = 30
ENDPOINTS = 9
CALLS_PER_SECOND = 60.0
SECONDS = 20.0
KEEPER = Address("10.9.0.0", 7)


def assert_within_bound(endpoint: LimitedEndpoint) -> None:
    assert endpoint.named_at is not None
    assert endpoint.limit is not None
    most = most_in_window(endpoint.arrivals, endpoint.named_at)
    assert most <= allowed_in_window(endpoint.limit)


def arrivals_between(endpoint: LimitedEndpoint, first: float, last: float) -> int:
    return sum(first <= at < last for at in endpoint.arrivals)


async def load_with(world: LimitWorld, *changes: Any) -> list[CallOutcome]:
    """Make calls for ``SECONDS``; each change is a time, a function and arguments."""
    loop = get_running_loop()
    for at, change, *arguments in changes:
        loop.call_later(at, change, *arguments)
    return await world.load(CALLS_PER_SECOND, SECONDS)


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
@pytest.mark.parametrize("gateways", [True, False])
def test_the_limit_holds_though_datagrams_are_lost(
    limit: float, gateways: bool
) -> None:
    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS, gateways=gateways)
        world.loss = 0.1
        world.endpoints[0].limit = limit
        outcomes = await load_with(world)
        assert_within_bound(world.endpoints[0])
        assert all(outcome.status == 200 for outcome in outcomes)

    run_virtually(main())


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
@pytest.mark.parametrize("down_seconds", [0.0, 0.5, 4.0])
def test_the_limit_holds_while_its_keeper_is_killed_and_starts_again(
    limit: float, down_seconds: float
) -> None:
    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS)
        world.endpoints[0].limit = limit
        kills = [(at, world.kill_keeper, 0) for at in (5.0, 10.0)]
        starts = [(at + down_seconds, world.start_keeper, 0, at) for at in (5, 10)]
        outcomes = await load_with(world, *kills, *starts)
        assert_within_bound(world.endpoints[0])
        assert all(outcome.status == 200 for outcome in outcomes)

    run_virtually(main())


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
def test_the_limit_holds_while_some_entries_are_cut_off_from_its_keeper(
    limit: float,
) -> None:
    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS)
        world.endpoints[0].limit = limit
        cut = {(entry.settings.peers, KEEPER) for entry in world.entries[::3]}
        world.cut_links = cut
        await load_with(world)
        assert_within_bound(world.endpoints[0])

    run_virtually(main())


def test_the_limit_holds_while_all_entries_are_restarted_in_turn() -> None:
    async def main() -> None:
        world = LimitWorld(5, ENDPOINTS)
        world.endpoints[0].limit = 0.4
        restarts = [(4.0 + each, world.restart_entry, each) for each in range(5)]
        await load_with(world, *restarts)
        assert_within_bound(world.endpoints[0])

    run_virtually(main())


def test_every_entry_knows_a_limit_soon_though_few_have_heard_it() -> None:
    async def main() -> None:
        world = LimitWorld(400, ENDPOINTS)
        world.loss = 0.05
        world.endpoints[0].limit = 0.4
        await world.load(10.0, STABILITY_SECONDS)
        states = [entry.endpoints.states["i-0"] for entry in world.entries]
        assert world.endpoints[0].named_at is not None
        knowing = sum(state.limit.rate == 0.4 for state in states)
        assert knowing >= 0.99 * len(states)

    run_virtually(main())


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
def test_a_released_endpoint_gets_its_share_back_without_a_rush(limit: float) -> None:
    released_at = 8.0

    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS)
        endpoint = world.endpoints[0]
        endpoint.limit = limit

        def release() -> None:
            endpoint.limit = None

        await load_with(world, (released_at, release))
        share = CALLS_PER_SECOND / ENDPOINTS
        back_at = released_at + 2 * WINDOW_SECONDS
        assert arrivals_between(endpoint, back_at, SECONDS) >= 0.7 * share * (
            SECONDS - back_at
        )
        for start in range(int(released_at), int(SECONDS)):
            most = arrivals_between(endpoint, start, start + 1.0)
            assert most <= 3 * share

    run_virtually(main())


def test_a_new_figure_replaces_the_old_one_up_and_down() -> None:
    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS)
        endpoint = world.endpoints[0]
        endpoint.limit = 4.0

        def name(limit: float) -> None:
            endpoint.limit = limit

        await load_with(world, (7.0, name, 0.5), (13.0, name, 3.0))
        assert arrivals_between(endpoint, 3.0, 7.0) >= 0.9 * 4.0 * 4.0 - 1
        assert arrivals_between(endpoint, 8.0, 12.0) <= allowed_in_window(0.5)
        assert arrivals_between(endpoint, 16.0, 20.0) >= 0.9 * 3.0 * 4.0 - 1

    run_virtually(main())


def test_urgent_calls_and_small_teams_are_served_when_all_are_in_need() -> None:
    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS, teams=3)
        for endpoint in world.endpoints:
            endpoint.limit = 2.0
        small, *large = world.teams
        urgent, other = ("/safe/0/x",), ("/safe/1/x",)
        tasks = [
            create_task(world.load(2.0, SECONDS, urgent, (large[0],))),
            create_task(world.load(2.0, SECONDS, other, (small,))),
            create_task(world.load(30.0, SECONDS, other, (large[0],))),
            create_task(world.load(30.0, SECONDS, other, (large[1],))),
        ]
        served = []
        for task in tasks:
            outcomes = [each for each in await task if each.at >= STABILITY_SECONDS]
            served.append(sum(each.status == 200 for each in outcomes))
            if len(served) <= 2:
                assert served[-1] >= 0.9 * len(outcomes)
        assert served[0] + served[2] == pytest.approx(served[3], rel=0.2)

    run_virtually(main())


def test_calls_of_entries_that_ask_for_no_permits_are_counted() -> None:
    """Entries of an older build know nothing of limits."""

    async def main() -> None:
        world = LimitWorld(ENTRIES, ENDPOINTS)
        endpoint = world.endpoints[0]
        endpoint.limit = 1.8
        for entry in world.entries[:3]:
            limits: Any = entry.dispatcher.limits
            limits.needs_permit = lambda state: False
            limits.is_full = lambda state, call_class: False
        await load_with(world)
        assert_within_bound(endpoint)

    run_virtually(main())


def test_an_idle_limited_endpoint_costs_nothing() -> None:
    async def main() -> None:
        world = LimitWorld(5, ENDPOINTS)
        world.endpoints[0].limit = 0.0
        await world.load(CALLS_PER_SECOND, 2.0)
        before = world.datagrams
        await sleep(30.0)
        assert world.datagrams == before
        assert len(world.endpoints[0].arrivals) <= CALLS_PER_SECOND

    run_virtually(main())


def test_an_entry_that_knows_no_keeper_hardly_calls_a_limited_endpoint() -> None:
    async def main() -> None:
        world = LimitWorld(1, ENDPOINTS, gateways=False)
        world.entries[0].entries.announcements.clear()
        endpoint = world.endpoints[0]
        endpoint.limit = 0.0
        outcomes = await load_with(world)
        assert_within_bound(endpoint)
        assert len(endpoint.arrivals) > SECONDS / WINDOW_SECONDS / 2
        assert all(outcome.status == 200 for outcome in outcomes)

    run_virtually(main())


def test_endpoints_in_need_are_served_though_all_keepers_are_gone() -> None:
    """An entry stands in for each, with a part of its limit."""

    async def main() -> None:
        world = LimitWorld(5, ENDPOINTS)
        for number, endpoint in enumerate(world.endpoints):
            endpoint.limit = 4.0
            get_running_loop().call_later(3.0, world.kill_keeper, number)
        await load_with(world)
        for endpoint in world.endpoints:
            assert_within_bound(endpoint)
            late = arrivals_between(endpoint, 10.0, SECONDS)
            assert late >= 0.8 * 4.0 * BACKUP_SHARE * (SECONDS - 10.0)

    run_virtually(main())
