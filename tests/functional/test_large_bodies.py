"""Many requests with bodies of an allowed size, at an entry with little memory."""

import os
from asyncio import create_task, gather, sleep
from pathlib import Path

from tests.lib.platform_fleet import Entry, Fleet

MEBIBYTE = 2**20
BODY = b"x" * (3 * MEBIBYTE)
MEMORY_MB = 150
CALLS = 60
EVENT_PAUSE = 0.3
"""Seconds between two of the eight events of a stream, so that bodies are held."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(entry: Entry) -> int:
    """Return how much memory an entry program takes."""
    statm = Path(f"/proc/{entry.process.pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


async def test_large_bodies_do_not_exceed_the_memory_of_an_entry(fleet: Fleet) -> None:
    """Guards against a process that the platform ends, with all that it answers."""
    await fleet.start(entries=0, engines=3)
    entry = await fleet.add_entry("edge-0", "z0", memory_mb=MEMORY_MB)
    for engine in fleet.engines:
        engine.pause = EVENT_PAUSE
    most = 0

    async def watch() -> None:
        nonlocal most
        while True:
            most = max(most, resident_bytes(entry))
            await sleep(0.01)

    watching = create_task(watch())
    answers = await gather(
        *(fleet.call("/stream/x", body=BODY + b"%d" % each) for each in range(CALLS))
    )
    watching.cancel()
    assert not [answer.error for answer in answers if answer.is_error()]
    assert {answer.ok.status for answer in answers} == {200, 503}
    rejected = [each.ok for each in answers if each.ok.status == 503]
    assert all("retry-after" in each.headers for each in rejected)
    assert all(each.headers["x-request-id"] for each in rejected)
    assert most < MEMORY_MB * MEBIBYTE
    assert (await fleet.call("/stream/x")).ok.status == 200
