"""Teams that compete for too little capacity, at a real entry and a real gateway."""

from asyncio import get_running_loop, sleep
from collections.abc import Sequence

import pytest

from tests.lib.busy_engines import CAPACITY, SECONDS, WARM_SECONDS, load, start
from tests.lib.offered_load import (
    LATE_SECONDS,
    Outcome,
    TeamLoad,
    offer,
    offer_to_returning_callers,
    served_per_second,
    served_share,
)
from tests.lib.platform_fleet import Fleet

pytestmark = pytest.mark.capacity

REJECTED_AT_ONCE = 0.1


def assert_rejected_at_once(outcomes: Sequence[Outcome]) -> None:
    rejected = [each for each in outcomes if each.status != 200]
    at_once = sum(each.seconds <= REJECTED_AT_ONCE for each in rejected)
    assert at_once >= 0.95 * len(rejected)
    assert all(each.status == 503 and each.retry_after for each in rejected)


async def test_three_teams_that_ask_for_too_much_get_equal_parts(
    fleet: Fleet,
) -> None:
    """Guards against parts in proportion to what teams send."""
    rates = {"a": 100, "b": 50, "c": 25}
    await start(fleet, dict.fromkeys(rates))
    outcomes, used = await load(fleet, [TeamLoad(*each) for each in rates.items()])
    parts = [served_per_second(outcomes, team, SECONDS) for team in rates]
    third = sum(parts) / len(parts)
    assert all(abs(part - third) <= 0.15 * third for part in parts), parts
    assert used >= 0.95
    assert_rejected_at_once(outcomes)


async def test_a_small_team_is_served_beside_one_that_sends_much_more(
    fleet: Fleet,
) -> None:
    await start(fleet, {"small": None, "large": None})
    outcomes, used = await load(fleet, [TeamLoad("small", 8), TeamLoad("large", 150)])
    assert served_share([each for each in outcomes if each.team == "small"]) >= 0.95
    assert used >= 0.95
    assert_rejected_at_once(outcomes)


async def test_urgent_prompts_are_served_beside_many_others(fleet: Fleet) -> None:
    """Guards against urgent prompts that wait, and against starvation of others."""
    await start(fleet, {"urgent": 0, "other": 2})
    outcomes, used = await load(fleet, [TeamLoad("urgent", 20), TeamLoad("other", 120)])
    urgent = [each for each in outcomes if each.team == "urgent"]
    assert served_share(urgent) >= 0.97
    late = sum(each.first_seconds > LATE_SECONDS for each in urgent)
    assert late <= 0.05 * len(urgent)
    assert served_per_second(outcomes, "other", SECONDS) >= 0.1 * CAPACITY
    assert used >= 0.95
    assert_rejected_at_once(outcomes)


async def test_callers_that_return_as_told_are_served(fleet: Fleet) -> None:
    """Guards against times of return at which there is no capacity."""
    await start(fleet, {"a": None})
    begin = get_running_loop().time()
    seconds = WARM_SECONDS + SECONDS
    outcomes = await offer_to_returning_callers(
        fleet, TeamLoad("a", 1.5 * CAPACITY), seconds
    )
    steady = [each for each in outcomes if WARM_SECONDS <= each.at - begin < seconds]
    again = [each for each in steady if each.returned]
    assert len(steady) >= 0.9 * 1.5 * CAPACITY * SECONDS
    assert len(again) >= 0.2 * len(steady)
    assert served_share(again) >= 0.8
    assert_rejected_at_once(steady)


@pytest.mark.parametrize("seconds", [0.25, 0.5])
async def test_a_burst_that_can_be_served_late_is_served(
    fleet: Fleet, seconds: float
) -> None:
    """Guards against rejections while the callers of a short burst still wait."""
    await start(fleet, {"a": None, "b": None})
    for engine in fleet.engines_of("pool"):
        engine.max_held = None
    await offer(fleet, [TeamLoad("a", 0.2 * CAPACITY)], 2.0)
    loads = [TeamLoad("a", 2 * CAPACITY), TeamLoad("b", 0.5 * CAPACITY)]
    for number in range(3):
        outcomes = await offer(fleet, loads, seconds, prefix=f"burst{number}-")
        assert served_share(outcomes) == 1.0
        await sleep(0.5)
    lines = fleet.entries[0].lines()
    assert any(line["message"] == "prompt waited" for line in lines)
