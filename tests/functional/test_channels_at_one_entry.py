"""Most new channels lead to one of several entry programs."""

from asyncio import create_task, get_running_loop, sleep

import pytest

from tests.lib.crashing_engines import Sent, outcomes, served
from tests.lib.platform_fleet import Fleet

ENTRIES = 4
ENGINES = 4
RATE = 60.0
SPREAD_SECONDS = 2.0
AT_ONE_SECONDS = 5.0
WINDOW_SECONDS = 3.0
MIN_SHARE = 0.75
LONG_PAUSE = 0.25
"""Seconds between the events of long streams, which take 2 s: more of them run at once
than one entry's part of the engines' connections."""


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
async def test_calls_are_served_while_most_channels_lead_to_one_entry(
    fleet: Fleet, path: str
) -> None:
    """Guards against shares of engines' limits that do not follow the load."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    for engine in fleet.engines_of("pool"):
        engine.pause = LONG_PAUSE
    clock = get_running_loop().time
    start = clock()
    calls: list[Sent] = []
    for number in range(int(RATE * (SPREAD_SECONDS + AT_ONE_SECONDS))):
        await sleep(max(0.0, start + number / RATE - clock()))
        at = clock()
        entry = number % ENTRIES if at < start + SPREAD_SECONDS else 0
        call = fleet.call(
            path,
            entry=entry,
            body=f"call {number}".encode(),
            x_prefix_hash=f"aa:50,own{number}:50",
            connection="close",
        )
        calls.append(Sent(at, create_task(call)))
    since = start + SPREAD_SECONDS
    before = [call for call in calls if call.at < since]
    later = [call for call in calls if call.at >= since + WINDOW_SECONDS]
    before_share = await served(before) / len(before)
    later_share = await served(later) / len(later)
    assert later_share >= MIN_SHARE * before_share, await outcomes(later)
    assert before_share > MIN_SHARE, await outcomes(before)
    await served(calls)
