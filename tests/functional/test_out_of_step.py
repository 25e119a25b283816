"""Streams over several versions at an entry that cannot read the store for a while.

An engine starts again under its name and address, with another version of its
software. The entry that is out of step takes it for the version before.
"""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import ROUTES, Fleet
from tests.lib.resuming_client import LONG_STREAMS, Attempt, ResumingClients
from tests.lib.streams_seen import split_events
from tests.lib.waiting import until
from tests.soak.proxy import FaultProxy

PREPAID = 10_000_000
EVENT_PAUSE = 0.15
BORN, BORN_LATER = 1_764_728_376_000, 1_764_728_399_000
BREAK_SECONDS = 0.4
"""Seconds after which a stream breaks off, with some events delivered."""

OUT_SECONDS = 2.0
"""Seconds for which the entry is out of step before the first stream."""

CUTS = (
    ("silent", OUT_SECONDS),
    ("reset", OUT_SECONDS),
    ("reset", 0.0),
    ("silent", 0.0),
)
"""How the entry is cut off from the store, and for how long before."""

STREAMS = 8
OUT_OF_STEP, IN_STEP = 0, 1


class Release:
    """A fleet of which one engine is replaced while the first entry is out of step."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.clients = ResumingClients(fleet, 2)
        self.proxy = FaultProxy(0)
        self.replaced: EngineStandin
        self.kept: EngineStandin

    async def start(self) -> None:
        """Start two engines of v1, and the entries."""
        fleet = self.fleet
        await fleet.start(entries=0, engines=0)
        fleet.configure(PREPAID, (*ROUTES, LONG_STREAMS))
        self.replaced, self.kept = [await self.add("v1", BORN) for _ in range(2)]
        self.proxy.target_port = fleet.store.port
        await self.proxy.start()
        await fleet.add_entry("edge-0", "z0", store=self.proxy.port)
        await fleet.add_entry("edge-1", "z1")

    async def add(
        self, version: str, born: int, earlier: EngineStandin | None = None
    ) -> EngineStandin:
        """Start an engine, or the next boot of an earlier one, and announce it."""
        engine = EngineStandin("pool", "a", version)
        engine.born, engine.shows_version, engine.pause = born, True, EVENT_PAUSE
        port = 0
        if earlier is not None and earlier.server is not None:
            engine.name, port = earlier.name, earlier.server.port
        await engine.start(port)
        self.fleet.engines.append(engine)
        self.fleet.store.put("servers", engine.name, engine.entry())
        return engine

    async def replace(self, mode: str, seconds: float) -> None:
        """Cut the first entry off the store, and replace an engine by one of v2."""
        self.proxy.change(mode)
        await self.replaced.stop()
        later = await self.add("v2", BORN_LATER, self.replaced)
        await sleep(seconds)
        known = f'"boot": {BORN_LATER}'
        output = self.fleet.entries[IN_STEP].output
        await until(lambda: known in output.read_text())
        self.replaced = later

    async def begin(self, entry: int, number: int) -> Attempt:
        """Begin a stream, and read it until it breaks off."""
        return await self.attempt(entry, f"s{number}", number, {})

    async def resume(self, entry: int, number: int, begun: Attempt) -> Attempt:
        """Resume a stream elsewhere, as its client does."""
        events = split_events(begun.data)
        headers = {"last-event-id": str(events[-1].number), "resumes": f"s{number}"}
        return await self.attempt(entry, f"s{number}-again", number, headers)

    async def attempt(
        self, entry: int, request_id: str, number: int, headers: dict[str, str]
    ) -> Attempt:
        """Send one request of a stream."""
        prompt = {"x-prefix-hash": f"a{number:x}:30,b{number:x}:10"}
        body = f"stream {number}".encode()
        deadline = get_running_loop().time() + 8.0
        sent = {**prompt, **headers}
        return await self.clients.attempt(entry, request_id, sent, body, deadline)


def versions(*attempts: Attempt) -> set[str]:
    """Return the versions whose events a client holds of one stream."""
    return {event.version for each in attempts for event in split_events(each.data)}


@pytest_asyncio.fixture
async def release(fleet: Fleet) -> AsyncIterator[Release]:
    """Give a release that has not been started yet."""
    made = Release(fleet)
    yield made
    made.proxy.close()


@pytest.mark.parametrize(("mode", "seconds"), CUTS)
async def test_a_stream_is_not_taken_up_at_an_engine_of_another_version(
    release: Release, mode: str, seconds: float
) -> None:
    """Guards against an entry that takes a replaced engine for the one before."""
    await release.start()
    await release.replace(mode, seconds)
    mixed = 0
    for number in range(STREAMS):
        release.clients.cut_share = 1.0
        begun = await release.begin(IN_STEP, number)
        release.clients.cut_share = 0.0
        if split_events(begun.data):
            release.kept.fault = "full"
            resumed = await release.resume(OUT_OF_STEP, number, begun)
            release.kept.fault = ""
            mixed += len(versions(begun, resumed)) > 1
    assert not mixed


@pytest.mark.parametrize(("mode", "seconds"), CUTS)
async def test_a_stream_begun_out_of_step_goes_on_at_no_other_version(
    release: Release, mode: str, seconds: float
) -> None:
    """Guards against an entry that tells the version of an engine that is gone."""
    await release.start()
    await release.replace(mode, seconds)
    beginnings = [
        create_task(release.begin(OUT_OF_STEP, number)) for number in range(STREAMS)
    ]
    await sleep(BREAK_SECONDS)
    process = release.fleet.entries[OUT_OF_STEP].process
    process.kill()
    await process.wait()
    mixed = 0
    for number, beginning in enumerate(beginnings):
        begun = await beginning
        if split_events(begun.data):
            resumed = await release.resume(IN_STEP, number, begun)
            mixed += len(versions(begun, resumed)) > 1
    assert release.replaced.runs
    assert not mixed
