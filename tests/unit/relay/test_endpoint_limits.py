"""One limit for one endpoint, kept by all entries together, in virtual time."""

from asyncio import gather

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.lib.limit_rule import STABILITY_SECONDS, allowed_in_window, most_in_window
from tests.unit.relay.limit_world import LimitWorld

SIZES = [5, 30, 400]
ENDPOINTS = 9
CALLS_PER_SECOND = 60.0
SECONDS = 20.0


def most_in_a_second(times: list[float]) -> int:
    """Return the most of some times that lie within one second."""
    return max(sum(first <= at < first + 1.0 for at in times) for first in times)


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("limit", [0.0, 0.4, 1.8])
def test_all_entries_together_keep_to_the_limit_of_an_endpoint(
    entries: int, limit: float
) -> None:
    """The other endpoints take what it can't; nobody is turned away."""

    async def main() -> None:
        world = LimitWorld(entries, ENDPOINTS)
        limited = world.endpoints[0]
        limited.limit = limit
        outcomes = await world.load(CALLS_PER_SECOND, SECONDS)
        assert {outcome.status for outcome in outcomes} == {200}
        assert limited.named_at is not None
        most = most_in_window(limited.arrivals, limited.named_at)
        assert most <= allowed_in_window(limit)
        counted_from = limited.named_at + STABILITY_SECONDS
        used = sum(at >= counted_from for at in limited.arrivals)
        assert used >= 0.9 * limit * (SECONDS - counted_from) - 1

    run_virtually(main())


@pytest.mark.parametrize("entries", SIZES)
def test_the_sum_of_the_limits_is_served_when_all_endpoints_are_in_need(
    entries: int,
) -> None:
    """The rest is turned away at once."""
    limit = 2.0

    async def main() -> None:
        world = LimitWorld(entries, ENDPOINTS)
        for endpoint in world.endpoints:
            endpoint.limit = limit
        outcomes = await world.load(CALLS_PER_SECOND, SECONDS)
        for endpoint in world.endpoints:
            assert endpoint.named_at is not None
            most = most_in_window(endpoint.arrivals, endpoint.named_at)
            assert most <= allowed_in_window(limit)
        start = STABILITY_SECONDS + 1.0
        served = sum(each.status == 200 for each in outcomes if each.at >= start)
        assert served >= 0.9 * limit * ENDPOINTS * (SECONDS - start)
        late = [each for each in outcomes if each.at >= start and each.status != 200]
        assert {each.status for each in late} == {503}
        assert max(each.seconds for each in late) <= 0.1

    run_virtually(main())


@pytest.mark.parametrize("entries", SIZES)
def test_callers_that_are_turned_away_together_return_spread_out(entries: int) -> None:
    calls = 200

    async def main() -> None:
        world = LimitWorld(entries, ENDPOINTS)
        for endpoint in world.endpoints:
            endpoint.limit = 2.0
        await world.load(CALLS_PER_SECOND, STABILITY_SECONDS)
        outcomes = await gather(
            *(
                world.call(each % entries, "/safe/0/x", world.teams[0], each)
                for each in range(calls)
            )
        )
        delays = [each.retry_after for each in outcomes if each.status == 503]
        assert len(delays) > calls / 2
        assert most_in_a_second([delay or 0.0 for delay in delays]) <= calls / 2

    run_virtually(main())
