"""Budgets after all entries were killed with calls in progress."""

from asyncio import create_task, gather

from tests.lib.platform_fleet import Fleet
from tests.lib.waiting import until

ENTRIES = 2
PREPAID = 40_000
TOKENS = (900, 24)
COST = 915
CALLS = 8
MIN_SPENT_FRACTION = 0.93


async def spend_all(fleet: Fleet) -> int:
    """Call until two calls in a row are refused; return the tokens delivered."""
    delivered, refused = 0, 0
    while refused < 2:
        answer = await fleet.call("/stream/x", 0, TOKENS)
        is_served = answer.is_ok() and answer.ok.status == 200
        delivered += COST if is_served else 0
        refused = 0 if is_served else refused + 1
    return delivered


async def test_calls_without_an_answer_cost_nothing_when_all_entries_are_killed(
    fleet: Fleet,
) -> None:
    """Guards against tokens of calls in progress that are lost to their team."""
    await fleet.start(entries=ENTRIES, prepaid=PREPAID)
    answers = [await fleet.call("/stream/x", turn % ENTRIES, TOKENS) for turn in (0, 1)]
    assert all(answer.ok.status == 200 for answer in answers)
    for engine in fleet.engines_of("pool"):
        engine.fault = "silent"
    names = [f"held-{number}" for number in range(CALLS)]
    calls = [
        create_task(fleet.call("/stream/x", 0, TOKENS, request_id=name))
        for name in names
    ]
    await until(lambda: all(fleet.runs(name) for name in names))
    for entry in fleet.entries:
        entry.process.kill()
    await gather(*calls)
    for engine in fleet.engines_of("pool"):
        engine.fault = ""
    for number, entry in enumerate(tuple(fleet.entries)):
        await entry.process.wait()
        await fleet.restart_entry(number)
    for entry in fleet.entries:
        await until(lambda: fleet.is_ready(entry))  # noqa: B023
    delivered = 2 * COST + await spend_all(fleet)
    assert MIN_SPENT_FRACTION * PREPAID <= delivered <= PREPAID
