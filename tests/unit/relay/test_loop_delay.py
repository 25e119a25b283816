"""How late the event loop runs, and what is concluded from silence meanwhile."""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import AsyncIterator

import pytest
from msgspec.json import encode

from clementinebend_relay.decisions import logger as decisions
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.loop_delay import (
    LATE_SECONDS,
    LOG_INTERVAL,
    SAMPLE_SECONDS,
    LoopDelay,
    event_loop_delay,
)
from clementinebend_relay.process import RelayProcess
from clementinebend_routing.silence import STREAM_SILENT_SECONDS
from tests.unit.relay.entry_world import EntryWorld
from tests.unit.transport.loopback import delay_event_loop, until


def observed_above(bound: float) -> float:
    """Return how many delays above ``bound`` seconds have been observed."""
    (metric,) = event_loop_delay.collect()
    counts = {
        float(sample.labels["le"]): sample.value
        for sample in metric.samples
        if sample.name.endswith("_bucket")
    }
    return float(counts[float("inf")] - counts[bound])


class OneEndpointWorld(EntryWorld):
    """One entry and one endpoint."""

    def configuration(self) -> bytes:
        """Return a configuration without routes."""
        return encode({"version": 1, "routes": [], "services": [{"name": "pool"}]})

    def endpoint_records(self) -> list[tuple[str, bytes]]:
        """Return the announcement of the endpoint."""
        announced = {
            "service": "pool",
            "address": "10.9.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        return [("e0", encode(announced))]

    def new_client(self) -> None:
        """Return None, as nothing is sent."""


@pytest.fixture
async def entry() -> AsyncIterator[RelayProcess]:
    """Return an entry that samples how late its event loop is."""
    world = OneEndpointWorld(1, 1)
    world.gateways["side-0"] = Announcement("side-0#1", "z", "10.9.0.1", 7)
    world.start_entries()
    (entry,) = world.entries
    sampling = create_task(entry.loop_delay.run())
    await until(lambda: entry.loop_delay.due_at is not None)
    yield entry
    sampling.cancel()


async def test_the_delay_of_a_late_iteration_is_observed() -> None:
    loop_delay = LoopDelay(get_running_loop().time)
    sampling = create_task(loop_delay.run())
    await sleep(0.0)
    assert not loop_delay.is_late()
    before = observed_above(0.2)
    delay_event_loop(SAMPLE_SECONDS + 0.3)
    assert loop_delay.is_late()
    await until(lambda: observed_above(0.2) == before + 1)
    assert loop_delay.is_late()
    await until(lambda: not loop_delay.is_late())
    sampling.cancel()


def test_late_iterations_are_logged_once_a_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = 100.0
    loop_delay = LoopDelay(lambda: now)
    caplog.set_level("INFO", logger=decisions.name)
    for _ in range(10):
        loop_delay.on_sample(2 * LATE_SECONDS)
    loop_delay.on_sample(LATE_SECONDS / 2)
    now += LOG_INTERVAL
    loop_delay.on_sample(3 * LATE_SECONDS)
    lines = [each.__dict__ for each in caplog.records]
    assert [each["message"] for each in lines] == 2 * ["event loop late"]
    assert [each["delay_s"] for each in lines] == [0.2, 0.3]
    assert [each["unlogged"] for each in lines] == [0, 9]


async def test_a_late_event_loop_is_not_held_against_endpoints(
    entry: RelayProcess,
) -> None:
    """Guards against doubts of all endpoints whose events wait in their sockets."""
    (state,) = entry.endpoints.states.values()
    state.in_flight = 1
    state.on_heard(entry.clock())
    assert state.is_streaming()
    delay_event_loop(1.5 * STREAM_SILENT_SECONDS)
    assert not state.is_doubted(entry.clock())
    await until(lambda: state.is_doubted(entry.clock()))


async def test_requests_in_a_late_iteration_suspect_nobody(
    entry: RelayProcess,
) -> None:
    """Guards against homes and keepers held for dead by an entry that is late."""
    homes, boot = entry.peers.homes, "edge-1#1"
    for _ in range(5):
        delay_event_loop(SAMPLE_SECONDS + 2 * LATE_SECONDS)
        homes.on_asked(boot)
    assert not homes.suspicions.unanswered_in_a_row(boot)
    await until(lambda: not entry.loop_delay.is_late())
    homes.on_asked(boot)
    assert homes.suspicions.unanswered_in_a_row(boot) == 1
