"""Answers without length or chunks, which end with their channel."""

from asyncio import gather
from typing import Any

import pytest

from tests.lib.bare_engine import BareEngine
from tests.lib.crashing_engines import ALLOWED_LATER
from tests.lib.crashing_parts import CrashingParts, PartCalls, begun
from tests.lib.platform_engine import WHOLE_STREAM
from tests.lib.platform_fleet import Fleet
from tests.lib.waiting import ticks

CALLS = 12
PAUSE = 0.2
SOUND_WATCHED = 2.0
ENTRIES = 3


async def add_bare_engine(fleet: Fleet, service: str) -> BareEngine:
    """Start an engine with bare answers, and announce it."""
    engine = BareEngine(service)
    await engine.start()
    fleet.engines.append(engine)
    fleet.store.put("servers", engine.name, engine.entry())
    return engine


async def start(fleet: Fleet, bare: int = 2, entries: int = 1) -> list[BareEngine]:
    """Start entries before so many engines of each service, all bare."""
    await fleet.start(entries=0, engines=0)
    engines = [
        await add_bare_engine(fleet, service)
        for service in ("pool", "desk")
        for _ in range(bare)
    ]
    for number in range(entries):
        await fleet.add_entry(f"edge-{number}", f"z{number}")
    return engines


async def call_own(fleet: Fleet) -> list[Any]:
    """Return the outcomes of streams with prompts of their own, at all engines."""
    prompts = (f"session{number}:50,own{number}:50" for number in range(CALLS))
    return [await fleet.call("/stream/x", x_prefix_hash=each) for each in prompts]


def messages(fleet: Fleet) -> list[str]:
    """Return the decisions that all entries have logged."""
    return [line["message"] for entry in fleet.entries for line in entry.lines()]


async def test_bare_answers_are_passed_on_whole(fleet: Fleet) -> None:
    await start(fleet)
    streams = [await fleet.call("/stream/x") for _ in range(CALLS)]
    plain = [await fleet.call("/safe/x") for _ in range(CALLS)]
    assert {each.ok.body for each in streams} == {WHOLE_STREAM}
    assert {each.ok.body for each in plain} == {b"whole answer"}
    assert "endpoint ended" not in messages(fleet)


@pytest.mark.parametrize("resets", [False, True])
async def test_a_bare_stream_that_is_cut_goes_on_elsewhere(
    fleet: Fleet, resets: bool
) -> None:
    engines = await start(fleet)
    cutting = engines[0]
    cutting.fault, cutting.resets = "cut", resets
    calls = await call_own(fleet)
    assert cutting.runs
    assert {each.ok.body for each in calls} == {WHOLE_STREAM}
    assert "endpoint ended" not in messages(fleet)


@pytest.mark.parametrize("resets", [False, True])
async def test_a_bare_stream_that_is_cut_is_not_taken_for_whole(
    fleet: Fleet, resets: bool
) -> None:
    engines = await start(fleet)
    for engine in engines:
        engine.fault, engine.resets = "cut", resets
    calls = [await fleet.call("/stream-once/x") for _ in range(CALLS)]
    assert all(each.is_error() or each.ok.status != 200 for each in calls)
    assert "request quarantined" not in messages(fleet)


async def test_a_bare_stream_without_an_event_goes_on_elsewhere(fleet: Fleet) -> None:
    """Guards against an engine that ends as it begins to write, taken for whole."""
    engines = await start(fleet)
    engines[0].is_empty = True
    calls = await call_own(fleet)
    assert engines[0].runs
    assert {each.ok.body for each in calls} == {WHOLE_STREAM}


class BareCrashingParts(CrashingParts):
    """Engines with bare answers that end under a part."""

    def new_engine(self, service: str, zone: str) -> Any:
        """Return a later boot of an engine."""
        return BareEngine(service, zone)


@pytest.mark.parametrize("way", ["head", "event"])
async def test_a_part_is_found_though_the_end_of_a_bare_answer_looks_whole(
    fleet: Fleet, way: str
) -> None:
    """Guards against an engine's end that clears what it ended under."""
    await start(fleet, bare=6, entries=ENTRIES)
    engines = BareCrashingParts(fleet, "pool", way)
    calls = PartCalls(fleet, "/stream/x", ENTRIES)

    def is_over() -> bool:
        return bool(engines.ends) and (
            engines.clock() > engines.sound_from() + SOUND_WATCHED
        )

    async for _ in ticks(PAUSE, is_over):
        calls.send_fatal()
        calls.send_sound()
        calls.send_sound()
    late = [call for call in calls.sound if call.at > engines.sound_from()]
    await gather(*(call.outcome for call in calls.fatal))
    assert engines.late_arrivals() <= ALLOWED_LATER
    assert await begun(late) == len(late)
    await engines.stop()
