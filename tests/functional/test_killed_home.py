"""The home of a budget is killed while entries borrow from it."""

from asyncio import create_task, gather, get_running_loop, sleep
from typing import Any
from zlib import crc32

from clementinebend_platform.main import QUOTA_PARTITIONS
from tests.lib.platform_fleet import TEAM, Fleet

ENTRIES = 6
PREPAID = 50_000_000
TOKENS = (900, 24)
PAUSE_SECONDS = 0.04
SECONDS = 4.0
TAKEOVER_SECONDS = 0.5
"""Seconds between the kill of the home and the moment at which the store slows down."""

SLOW_SECONDS = 0.2
MIN_SERVED_FRACTION = 0.95


def home_changes(fleet: Fleet, part: int) -> dict[str, list[dict[str, Any]]]:
    """Return each entry's log lines about the home of a partition, by entry."""
    return {
        entry.name: [
            line
            for line in entry.lines()
            if line["message"] == "budget home changed" and line["part"] == part
        ]
        for entry in fleet.entries
    }


async def keep_calling(fleet: Fleet, entry: int, seconds: float) -> list[int]:
    """Call an entry repeatedly; return the statuses of its answers."""
    end = get_running_loop().time() + seconds
    statuses: list[int] = []
    while get_running_loop().time() < end:
        outcome = await fleet.call("/stream/x", entry, TOKENS)
        statuses.append(outcome.ok.status if outcome.is_ok() else 0)
        await sleep(PAUSE_SECONDS)
    return statuses


async def test_a_killed_home_is_not_chosen_again(fleet: Fleet) -> None:
    """Guards against liveness checks that make a dead home count as live.

    Its successor would resign, and most calls would be refused in a slow store.
    """
    await fleet.start(entries=ENTRIES, prepaid=PREPAID)
    part = crc32(TEAM.encode()) % QUOTA_PARTITIONS
    warm_up = (keep_calling(fleet, number, 1.0) for number in range(ENTRIES))
    await gather(*warm_up)
    home = home_changes(fleet, part)["edge-0"][-1]["home"]
    others = [number for number in range(ENTRIES) if fleet.entries[number].name != home]
    known = home_changes(fleet, part)
    calls = [create_task(keep_calling(fleet, each, SECONDS)) for each in others]
    await sleep(0.3)
    next(each for each in fleet.entries if each.name == home).process.kill()
    await sleep(TAKEOVER_SECONDS)
    fleet.store.slow_seconds = SLOW_SECONDS
    fleet.store.fault = "slow"
    statuses = await gather(*calls)
    fleet.store.fault = ""
    changed = home_changes(fleet, part)
    returns = [
        line
        for entry, lines in changed.items()
        for line in lines[len(known[entry]) :]
        if line["home"] == home
    ]
    assert not returns
    served = [status for each in statuses for status in each]
    assert served.count(200) >= MIN_SERVED_FRACTION * len(served)
