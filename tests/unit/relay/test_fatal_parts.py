"""A part of prompts under which endpoints end, in fleets of several sizes."""

import pytest

from tests.unit.relay.crash_endpoints import Work
from tests.unit.relay.part_world import (
    ALLOWED_LATER,
    READS,
    PartScenario,
    run_parts,
)

SIZES = (3, 30)
LOSS = 0.3
SEEDS = (1, 2, 3)
MIN_SOUND_SHARE = 0.5
"""Share of the sound requests that the rule asks for."""

SCENARIOS = {
    "reads its prompt": PartScenario(),
    "reads long": PartScenario(READS._replace(fatal_delay=0.8)),
    "ends at the head": PartScenario(Work(fatal_way="head")),
    "ends at the first event": PartScenario(Work(fatal_way="event")),
    "plain": PartScenario(kind="safe"),
    "not repeatable": PartScenario(kind="once"),
    "stream, not repeatable": PartScenario(kind="stream-once"),
    "first part": PartScenario(order="first"),
    "last but one": PartScenario(order="deep"),
    "12 a second": PartScenario(rate=12.0),
    "one a second": PartScenario(rate=1.0, seconds=25.0),
    "two parts": PartScenario(parts=2),
    "an entry restarts": PartScenario(restart_at=1.5),
    "all entries restart": PartScenario(restart_at=4.0, restarted=400),
    "all entries restart early": PartScenario(restart_at=0.5, restarted=400),
    "an entry is added": PartScenario(added_at=1.5),
    "bare streams": PartScenario(Work(fatal_way="event"), is_bare=True),
    "the store is away": PartScenario(store_away=True),
    "datagrams are lost": PartScenario(),
    "turns fatal": PartScenario(fatal_from=4.0, seconds=20.0),
    "turns fatal, 12 a second": PartScenario(fatal_from=4.0, seconds=20.0, rate=12.0),
    "turns fatal, plain": PartScenario(fatal_from=4.0, seconds=20.0, kind="safe"),
}

HARMLESS = {
    "kills in series": PartScenario(parts=0, kills=6),
    "slower kills in series": PartScenario(parts=0, kills=6, gap=1.2),
    "a zone is lost": PartScenario(parts=0, zone=3, rate=12.0),
    "a zone is lost, once": PartScenario(parts=0, zone=3, rate=12.0, kind="once"),
}


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("name", SCENARIOS)
def test_a_fatal_part_reaches_few_endpoints(name: str, entries: int) -> None:
    loss = LOSS if name == "datagrams are lost" else 0.0
    result = run_parts(SCENARIOS[name], entries, loss=loss)
    assert result.later <= ALLOWED_LATER
    assert result.sound_begun >= MIN_SOUND_SHARE * result.sound_sent


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("name", HARMLESS)
def test_harmless_parts_are_served_while_endpoints_end(name: str, entries: int) -> None:
    results = [run_parts(HARMLESS[name], entries, seed) for seed in SEEDS]
    scenario = HARMLESS[name]
    assert not any(result.sound_refused for result in results)
    # An entry of many has few retries, and may not know yet that an endpoint ended.
    is_spared = entries == SIZES[0] and scenario.kind != "once"
    lost = 0 if is_spared else scenario.kills + scenario.zone
    assert all(each.all_sound - each.all_sound_begun <= lost for each in results)
