"""Most new channels lead to one of many entries, in virtual time."""

from asyncio import Task, sleep
from typing import Any, NamedTuple

import pytest
from msgspec.json import decode, encode

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.unit.relay.crash_endpoints import Work
from tests.unit.relay.crash_world import CallResult, CrashWorld
from tests.unit.relay.entry_world import MAX_DELAY

SPREAD_SECONDS = 3.0
AT_ONE_SECONDS = 6.0
WINDOW_SECONDS = 3.0
"""Seconds from which on as many calls must be served as the rule asks for."""

MIN_SHARE = 0.75
"""Share of the calls served before that must be served then."""

RATE = 60.0
ENDPOINTS = 9
MAX_CONNECTIONS = 100
FEW_CONNECTIONS = 20
STATUS_OK = 200
LATE_REPORTS = 0.1
"""Greatest delay in seconds of datagrams of which most come after the calls that asked
for them have stopped waiting."""

STREAM = Work(events=8, pause=0.05)
LONG_STREAM = Work(events=20, pause=0.05)


class Sent(NamedTuple):
    """A call and when it was sent, in seconds from the start."""

    at: float
    task: Task[CallResult]


class ChannelWorld(CrashWorld):
    """Entries before endpoints with few connections."""

    def __init__(self, entries: int, max_connections: int) -> None:
        self.max_connections = max_connections
        super().__init__(entries, ENDPOINTS)

    def configuration(self) -> bytes:
        """Return the routes, with the limit on the endpoints' connections."""
        document: Any = decode(super().configuration())
        document["services"][0]["max_connections"] = self.max_connections
        return encode(document)


async def play(
    entries: int,
    kind: str,
    work: Work,
    max_delay: float = MAX_DELAY,
    rate: float = RATE,
    max_connections: int = MAX_CONNECTIONS,
) -> list[float]:
    """Return the shares served: spread, in the first seconds at one, and later.

    Datagrams take up to ``max_delay`` seconds while calls come at one entry.
    """
    world = ChannelWorld(entries, max_connections)
    world.work = work
    start = world.clock()
    calls: list[Sent] = []
    for number in range(int(rate * (SPREAD_SECONDS + AT_ONE_SECONDS))):
        await sleep(start + number / rate - world.clock())
        at = world.clock() - start
        is_spread = at < SPREAD_SECONDS
        entry = world.random.randrange(entries) if is_spread else 0
        world.max_delay = MAX_DELAY if is_spread else max_delay
        prompt = f"aa:50,own{number}:50"
        body = f"call {number}".encode()
        task = world.start_call(entry, f"/{kind}/x", body, prompt)
        calls.append(Sent(at, task))
    results = [(each.at, (await each.task).status == STATUS_OK) for each in calls]
    await world.stop()
    bounds = (0.0, SPREAD_SECONDS, SPREAD_SECONDS + WINDOW_SECONDS, 1e9)
    shares = []
    for first, last in zip(bounds, bounds[1:], strict=False):
        served = [is_served for at, is_served in results if first <= at < last]
        shares.append(sum(served) / len(served))
    return shares


@pytest.mark.parametrize("entries", [3, 30, 400])
@pytest.mark.parametrize(
    ("kind", "work"),
    [("stream", STREAM), ("stream", LONG_STREAM), ("safe", Work()), ("once", Work())],
    ids=["stream", "long stream", "safe", "once"],
)
def test_calls_are_served_while_most_channels_lead_to_one_entry(
    entries: int, kind: str, work: Work
) -> None:
    """Guards against shares of endpoints' limits that do not follow the load."""
    before, at_first, later = run_virtually(play(entries, kind, work))
    assert before == 1.0
    assert at_first >= MIN_SHARE * before
    assert later >= MIN_SHARE * before


@pytest.mark.parametrize("entries", [3, 30])
def test_late_queue_reports_leave_no_connection_unused(entries: int) -> None:
    """Guards against rejections by an entry to which all calls lead on a busy host."""
    before, *later = run_virtually(play(entries, "stream", LONG_STREAM, LATE_REPORTS))
    assert before == 1.0
    assert min(later) >= MIN_SHARE * before


@pytest.mark.parametrize("entries", [3, 30])
@pytest.mark.parametrize("in_use", [0.6, 0.8])
def test_one_entry_may_use_most_connections(entries: int, in_use: float) -> None:
    """Guards against a reserve for entries that get no calls."""
    rate = in_use * ENDPOINTS * FEW_CONNECTIONS
    shares = run_virtually(
        play(entries, "stream", LONG_STREAM, MAX_DELAY, rate, FEW_CONNECTIONS)
    )
    before, *later = shares
    assert min(later) >= MIN_SHARE * before
