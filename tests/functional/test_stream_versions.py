"""Streams go on only at the version of the engines' software that began them."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Callable
from itertools import cycle

import pytest

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import ROUTES, Fleet
from tests.lib.resuming_client import LONG_STREAMS, ResumingClients
from tests.lib.streams_seen import (
    FEWEST_RESUMED,
    LEAST_SHARE,
    StreamSeen,
    Verdict,
    verdict,
)
from tests.lib.waiting import until

ENTRIES = 4
STREAMS = 36
EVENT_PAUSE = 0.3
VERSIONS = ("v1", "v1.1")
PREPAID = 10_000_000

Fault = Callable[[Fleet, ResumingClients], Awaitable[None]]


async def start(fleet: Fleet, engines: tuple[int, int] = (3, 3)) -> ResumingClients:
    """Start entries and engines of two versions; return the clients."""
    await fleet.start(entries=ENTRIES, engines=0)
    fleet.configure(PREPAID, (*ROUTES, LONG_STREAMS))
    for version, number in zip(VERSIONS, engines, strict=True):
        for _ in range(number):
            await add_engine(fleet, version)
    await sleep(1.0)
    return ResumingClients(fleet, ENTRIES)


async def add_engine(fleet: Fleet, version: str) -> EngineStandin:
    """Start an engine whose events show its version."""
    engine = await fleet.add_engine("pool", version=version)
    engine.shows_version = True
    engine.pause = EVENT_PAUSE
    return engine


async def run_streams(
    fleet: Fleet, clients: ResumingClients, fault: Fault, begun: float = 0.8
) -> Verdict:
    """Run streams at all entries, with a fault once they have begun."""
    entries = cycle(range(ENTRIES))
    streams = [create_task(clients.stream(next(entries))) for _ in range(STREAMS)]
    await sleep(begun)
    await fault(fleet, clients)
    seen = await gather(*streams)
    assert all(stream.is_in_order for stream in seen)
    return verdict(seen)


async def end_one_of_each(fleet: Fleet, clients: ResumingClients) -> None:
    """End an engine of each version."""
    for version in VERSIONS:
        engine = next(
            each
            for each in fleet.engines_of("pool")
            if each.version == version and not each.has_ended
        )
        await engine.crash()


async def kill(fleet: Fleet, number: int) -> None:
    """Kill an entry."""
    process = fleet.entries[number].process
    process.kill()
    await process.wait()


async def kill_one(fleet: Fleet, clients: ResumingClients) -> None:
    """Kill an entry and end an engine of each version."""
    await kill(fleet, 0)
    await end_one_of_each(fleet, clients)


async def kill_two_in_turn(fleet: Fleet, clients: ResumingClients) -> None:
    """Kill an entry, bring it back, and kill another one."""
    await kill(fleet, 0)
    await end_one_of_each(fleet, clients)
    await fleet.restart_entry(0)
    clients.on_started(fleet.entries[0])
    await sleep(0.6)
    await kill(fleet, 1)


async def stop_one(fleet: Fleet, clients: ResumingClients) -> None:
    """Stop an entry as planned and end an engine of each version."""
    stopping = create_task(fleet.terminate(0))
    await sleep(0.1)
    await end_one_of_each(fleet, clients)
    await stopping


@pytest.mark.parametrize(
    "fault", [end_one_of_each, kill_one, kill_two_in_turn, stop_one]
)
async def test_no_stream_goes_on_at_another_version(fleet: Fleet, fault: Fault) -> None:
    """Guards against streams that hold events of two versions (ORDER)."""
    clients = await start(fleet)
    result = await run_streams(fleet, clients, fault)
    assert result.keeps_order, result
    assert result.loses_few, result


async def test_streams_end_at_once_if_no_engine_of_their_version_is_left(
    fleet: Fleet,
) -> None:
    """Guards against streams that go on at whatever version is left."""
    clients = await start(fleet)

    async def end_all_of_v1(fleet: Fleet, clients: ResumingClients) -> None:
        for engine in fleet.engines_of("pool"):
            if engine.version == "v1":
                await engine.crash()

    result = await run_streams(fleet, clients, end_all_of_v1)
    assert result.keeps_order, result


def assert_streams_went_on(seen: list[StreamSeen]) -> None:
    """Check that streams kept their version, and that enough of those resumed go on."""
    assert not any(stream.is_mixed for stream in seen)
    tries = [each for stream in seen for each in stream.tries]
    answered = [each for each in tries if each.is_resumption and each.status]
    assert len(answered) >= FEWEST_RESUMED
    assert sum(each.events > 0 for each in answered) >= LEAST_SHARE * len(answered)


async def test_streams_go_on_after_all_entries_were_killed_at_once(
    fleet: Fleet,
) -> None:
    """Guards against origins that are lost with the entries: gateways keep them."""
    clients = await start(fleet)
    gateways = [await fleet.add_gateway(f"side-{number}") for number in range(2)]
    for gateway in gateways:
        await until(lambda: fleet.is_bound(gateway))  # noqa: B023 - awaited at once
    await until(lambda: knows_gateways(fleet, len(gateways)))

    async def kill_all(fleet: Fleet, clients: ResumingClients) -> None:
        for number in range(ENTRIES):
            fleet.entries[number].process.kill()
        for number in range(ENTRIES):
            await fleet.entries[number].process.wait()
            await fleet.restart_entry(number)

    streams = [create_task(clients.stream(each % ENTRIES)) for each in range(STREAMS)]
    await sleep(0.8)
    await kill_all(fleet, clients)
    seen = await gather(*streams)
    assert_streams_went_on(seen)


async def test_streams_go_on_after_their_gateways_were_stopped_and_all_entries_killed(
    fleet: Fleet,
) -> None:
    """Guards against origins that leave with the hosts of engines that are replaced."""
    clients = await start(fleet)
    old = [await fleet.add_gateway(f"side-{number}") for number in range(3)]
    await until(lambda: knows_gateways(fleet, len(old)))
    streams = [create_task(clients.stream(each % ENTRIES)) for each in range(STREAMS)]
    await sleep(0.8)
    for number in range(ENTRIES):
        await kill(fleet, number)
    await fleet.add_gateway("side-new")
    await until(lambda: knows_gateways(fleet, len(old) + 1))
    for gateway in old:
        gateway.process.terminate()
    for gateway in old:
        assert await gateway.process.wait() == 0
    for number in range(ENTRIES):
        await fleet.restart_entry(number)
    seen = await gather(*streams)
    assert_streams_went_on(seen)


async def knows_gateways(fleet: Fleet, number: int) -> bool:
    """Tell whether all gateways have announced themselves."""
    return len(fleet.store.newest("gateways")) == number


async def test_a_stream_that_nobody_knows_does_not_go_on(fleet: Fleet) -> None:
    """Guards against going on where the version that began cannot be known."""
    clients = await start(fleet)
    outcomes = [
        await fleet.call(
            "/stream-long/x",
            number % ENTRIES,
            last_event_id="3",
            resumes=f"unknown-{number}",
        )
        for number in range(12)
    ]
    assert clients.started_at == {}
    assert sum(each.is_ok() and each.ok.status == 200 for each in outcomes) == 0
