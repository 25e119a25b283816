"""Requests that share a part of their prompts, under which engines end."""

import pytest

from tests.lib.crashing_engines import ALLOWED_LATER
from tests.lib.crashing_parts import (
    MIN_SOUND_SHARE,
    CrashingParts,
    PartCalls,
    begun,
)
from tests.lib.platform_fleet import Fleet
from tests.lib.waiting import ticks

ENTRIES = 4
ENGINES = 6
PAUSE = 0.2
SOUND_WATCHED = 2.5
"""Seconds for which sound calls are counted at the end."""


@pytest.mark.parametrize(
    ("path", "way"),
    [
        ("/stream/x", "head"),
        ("/stream-once/x", "event"),
        ("/safe/x", "reset"),
        ("/once/x", "reset"),
    ],
)
async def test_a_part_under_which_engines_end_reaches_few_more(
    fleet: Fleet, path: str, way: str
) -> None:
    """Guards against evidence that never adds up, as no two requests are alike."""
    await fleet.start(entries=ENTRIES, engines=ENGINES)
    service = "pool" if "stream" in path else "desk"
    engines = CrashingParts(fleet, service, way)
    calls = PartCalls(fleet, path, ENTRIES)

    def is_over() -> bool:
        return bool(engines.ends) and (
            engines.clock() > engines.sound_from() + SOUND_WATCHED
        )

    async for _ in ticks(PAUSE, is_over):
        calls.send_fatal()
        calls.send_sound()
        calls.send_sound()
    late = [call for call in calls.sound if call.at > engines.sound_from()]
    assert await begun(calls.fatal) == 0 or way == "event"
    assert engines.late_arrivals() <= ALLOWED_LATER
    assert await begun(late) >= MIN_SOUND_SHARE * len(late)
    await engines.stop()
