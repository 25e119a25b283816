"""Requests that end endpoints, in fleets of several sizes, in virtual time."""

import pytest

from tests.unit.relay.crash_endpoints import Work
from tests.unit.relay.crash_grid import RARE_RATE, fatal_scenarios
from tests.unit.relay.crash_scenarios import (
    ALLOWED_ENDS,
    Scenario,
    Setting,
    run_scenario,
)

SIZES = [3, 30]
SEED = 1
ALLOWED_LATER = 3
"""Runs of a fatal request that may reach endpoints after the window."""

SECONDS = 9.0
"""Seconds of calls: the third end comes within 3 s, and the window is 3 s long."""

HARMLESS_RATE = 5.0
LATE_END_SECONDS = 1.5
QUICK_WAYS = ("reset", "head", "event")
SLOW_ENDS = {3: 5, 30: 6}
"""Most endpoints that end, by number of entries, if each end comes 0.5 s after the run
began. Several runs have begun by then, at several entries."""

SPREAD_ENDS = 12
"""The same if the calls have no session in common, which brings them to all endpoints.
"""


def most_ends(scenario: Scenario, entries: int) -> int:
    """Return how many endpoints a fatal request may end."""
    if scenario.fatal_work.fatal_way in QUICK_WAYS:
        return ALLOWED_ENDS
    return SLOW_ENDS[entries] if scenario.session == "shared" else SPREAD_ENDS


def popular_scenarios() -> list[Scenario]:
    """Return a popular fatal request, in each of its ways."""
    return [
        each._replace(seconds=SECONDS, harmless_rate=HARMLESS_RATE)
        for each in fatal_scenarios()
        if each.fatal_rate > RARE_RATE
    ]


@pytest.mark.parametrize("entries", SIZES)
@pytest.mark.parametrize("scenario", popular_scenarios(), ids=lambda each: each.name)
def test_a_fatal_request_ends_few_endpoints(scenario: Scenario, entries: int) -> None:
    result = run_scenario(scenario, Setting(entries), SEED)
    assert result.fatal_ends <= most_ends(scenario, entries)
    assert result.late_runs <= ALLOWED_LATER


@pytest.mark.parametrize("entries", SIZES)
def test_a_stream_that_ends_its_endpoint_late_is_not_taken_for_good(
    entries: int,
) -> None:
    """Guards against time that clears a request though no event has come."""
    work = Work(fatal_way="late-event", fatal_delay=LATE_END_SECONDS)
    scenario = popular_scenarios()[0]._replace(kind="stream", fatal_work=work)
    result = run_scenario(scenario, Setting(entries), SEED)
    assert result.is_fatal_quarantined
    assert result.late_runs <= ALLOWED_LATER


def test_the_same_seed_gives_the_same_run() -> None:
    scenario = popular_scenarios()[0]
    first = run_scenario(scenario, Setting(SIZES[0]), SEED)
    assert run_scenario(scenario, Setting(SIZES[0]), SEED) == first


def test_endpoints_that_were_killed_come_back_and_harmless_calls_are_served() -> None:
    scenario = Scenario("random", "safe", kills=5, victim="random", bodies=0)
    result = run_scenario(scenario, Setting(SIZES[0]), SEED)
    assert result.ends == scenario.kills
    assert result.after_ends.whole == result.after_ends.sent > 0
