"""Teams that compete for too little capacity, at several real entries."""

from asyncio import create_task, sleep

import pytest

from tests.lib.busy_engines import CAPACITY, SECONDS, WARM_SECONDS, load, start
from tests.lib.offered_load import (
    LATE_SECONDS,
    TeamLoad,
    served_per_second,
    served_share,
)
from tests.lib.platform_fleet import Fleet

pytestmark = pytest.mark.capacity

ENTRIES = 4


async def test_teams_at_entries_of_their_own_get_equal_parts(fleet: Fleet) -> None:
    """Guards against parts in proportion to the load of the entry that is used."""
    loads = [
        TeamLoad("a", 100, (0, 1)),
        TeamLoad("b", 50, (2,)),
        TeamLoad("c", 25, (3,)),
    ]
    await start(fleet, {each.team: None for each in loads}, ENTRIES)
    outcomes, used = await load(fleet, loads)
    parts = [served_per_second(outcomes, each.team, SECONDS) for each in loads]
    third = sum(parts) / len(parts)
    assert all(abs(part - third) <= 0.15 * third for part in parts), parts
    assert used >= 0.95


async def test_a_small_team_is_served_beside_one_at_other_entries(
    fleet: Fleet,
) -> None:
    """Guards against a small team that loses the race for capacity."""
    loads = [TeamLoad("small", 8, (0, 1)), TeamLoad("large", 150, (2, 3))]
    await start(fleet, {each.team: None for each in loads}, ENTRIES)
    outcomes, used = await load(fleet, loads)
    assert served_share([each for each in outcomes if each.team == "small"]) >= 0.95
    assert used >= 0.95


async def test_urgent_prompts_precede_those_of_other_entries(fleet: Fleet) -> None:
    """Guards against urgent prompts that wait, and against starvation of others."""
    loads = [TeamLoad("urgent", 20, (0, 1)), TeamLoad("other", 120, (2, 3))]
    await start(fleet, {"urgent": 0, "other": 2}, ENTRIES)
    outcomes, used = await load(fleet, loads)
    urgent = [each for each in outcomes if each.team == "urgent"]
    assert served_share(urgent) >= 0.97
    late = sum(each.first_seconds > LATE_SECONDS for each in urgent)
    assert late <= 0.05 * len(urgent)
    assert served_per_second(outcomes, "other", SECONDS) >= 0.1 * CAPACITY
    assert used >= 0.95


async def test_capacity_is_not_kept_for_the_prompts_of_a_killed_entry(
    fleet: Fleet,
) -> None:
    """Guards against prompts that precede others although their entry has ended."""
    loads = [TeamLoad("small", 30, (3,)), TeamLoad("large", 150, (0, 1, 2))]
    await start(fleet, {each.team: None for each in loads}, ENTRIES)

    async def kill_an_entry() -> None:
        await sleep(WARM_SECONDS)
        fleet.entries[3].process.kill()

    killing = create_task(kill_an_entry())
    outcomes, used = await load(fleet, loads)
    await killing
    large = served_per_second(outcomes, "large", SECONDS)
    assert large >= 0.95 * CAPACITY
    assert used >= 0.95
