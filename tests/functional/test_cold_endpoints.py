"""Rate limit of cold engines after the evacuation of their zone has ended."""

from asyncio import Task, create_task, get_running_loop
from typing import Any

from tests.lib.platform_fleet import COLD_SECONDS, Fleet
from tests.lib.waiting import ticks, until
from tests.unit.relay.cold_world import max_calls_per_second

ENTRIES = 2
ZONES = ("a", "b")
COLD_PER_SECOND = 4.0
MOST_IN_A_SECOND = 4.0 * 1.5 + 5.0
CALL_INTERVAL = 0.025
LEAST_CALLS = 5


async def test_engines_stay_within_the_cold_bound_after_an_evacuation(
    fleet: Fleet,
) -> None:
    fleet.cold_per_s = COLD_PER_SECOND
    await fleet.start(entries=ENTRIES, engines=2, zones=ZONES)
    fleet.evacuate("b")
    for entry in fleet.entries:
        await until(lambda: has_logged(entry, "zone evacuated"))  # noqa: B023
    engines = [each for each in fleet.engines_of("pool") if each.zone == "b"]
    fleet.end_evacuation("b")
    clock = get_running_loop().time
    start = clock()
    calls: list[Task[Any]] = []
    async for number in ticks(CALL_INTERVAL, lambda: clock() > start + COLD_SECONDS):
        parts = f"s{number}:50,o{number}:50"
        call = fleet.call("/stream/x", number % ENTRIES, x_prefix_hash=parts)
        calls.append(create_task(call))
    for task in calls:
        assert (await task).is_ok()
    for engine in engines:
        reached = [at for at in engine.reached_at if at < start + COLD_SECONDS]
        assert len(reached) >= LEAST_CALLS
        assert max_calls_per_second(reached) <= MOST_IN_A_SECOND


def has_logged(entry: Any, message: str) -> bool:
    """Tell whether an entry has logged a line with a message."""
    return any(line.get("message") == message for line in entry.lines())
