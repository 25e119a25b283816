"""Streams that callers resume: whole entries in virtual time, one stream at a time."""

from asyncio import create_task, sleep
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import pytest
from msgspec.json import decode, encode

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_types import Request
from tests.lib.streams_seen import split_events
from tests.unit.relay.crash_world import HOST, TEAM
from tests.unit.relay.entry_world import retry_after_of
from tests.unit.relay.version_world import VersionWorld

ENTRIES = 5
AT_ONCE_SECONDS = 0.25
"""Seconds within which a stream that cannot go on is rejected."""

SILENT_PAUSE = 2.5
"""Seconds between events of an endpoint that is taken for silent."""

CALLER_SECONDS = 0.01
"""Seconds that a caller needs at least between two tries."""


class Outcome(NamedTuple):
    """What a caller got: the versions of the events, or why there are none."""

    status: int
    reason: str
    versions: list[str]
    seconds: float
    retry_after: float | None


async def call(
    world: VersionWorld,
    entry: int,
    request_id: str,
    path: str = "/stream/x",
    **more: str,
) -> Outcome:
    """Make a call at an entry and read its answer to the end."""
    headers = {
        "host": HOST,
        "x-request-id": request_id,
        "x-deadline-ms": "8000",
        "authorization": f"Bearer {TEAM}",
        "x-token-usage": "100,24",
        "x-prefix-hash": f"s{request_id}:100",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    began, data = world.clock(), b""
    request = Request("POST", path, headers, request_id.encode())
    response = await world.entries[entry].handler.handle(request)
    seconds, retry_after = world.clock() - began, retry_after_of(response)
    if isinstance(response.body, bytes):
        reason = "" if response.status == 200 else decode(response.body)["reason"]
        return Outcome(response.status, reason, [], seconds, retry_after)
    try:
        async for piece in response.body:
            data += piece
    except AnswerCutError:
        pass
    versions = [event.version for event in split_events(data)]
    return Outcome(response.status, "", versions, seconds, retry_after)


def play(
    scenario: Callable[[VersionWorld], Coroutine[Any, Any, Any]],
    versions: tuple[str, ...] = ("v1", "v1.1"),
) -> Any:
    """Run a scenario with a world of five entries."""

    async def main() -> Any:
        world = VersionWorld(ENTRIES, versions=versions)
        try:
            return await scenario(world)
        finally:
            await world.stop()

    return run_virtually(main())


def arrivals(world: VersionWorld) -> int:
    """Return how many requests have reached endpoints."""
    return sum(len(endpoint.arrivals) for endpoint in world.endpoints)


def test_a_stream_is_resumed_at_its_version_by_each_entry() -> None:
    async def scenario(world: VersionWorld) -> None:
        for number in range(10):
            first = await call(world, 0, f"r{number}")
            for entry in range(ENTRIES):
                resumed = await call(
                    world,
                    entry,
                    f"r{number}-{entry}",
                    last_event_id="3",
                    resumes=f"r{number}",
                )
                assert resumed.versions == first.versions[3:]

    play(scenario)


def test_a_third_try_names_the_first_one() -> None:
    """Guards against a stream that is known only under the ID of its last try."""

    async def scenario(world: VersionWorld) -> None:
        first = await call(world, 0, "r1")
        world.kill_entry(0)
        second = await call(world, 1, "r2", last_event_id="2", resumes="r1")
        for number in (2, 3, 4):
            world.kill_entry(number)
            world.bring_back(number)
        third = await call(world, 3, "r3", last_event_id="5", resumes="r1")
        assert set(first.versions) == set(second.versions) == set(third.versions)
        unknown = await call(world, 3, "r4", last_event_id="5", resumes="r2")
        assert unknown.reason == "origin_unknown"

    play(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        {"last_event_id": "3", "resumes": "never-sent"},
        {"last_event_id": "3"},
        {"resumes": "never-sent"},
        {"last_event_id": "3", "resumes": ""},
        {"last_event_id": "3", "resumes": "x" * 4000},
        {"last_event_id": "3", "resumes": "\x01\xff\xe9"},
        {"last_event_id": "x", "resumes": "r0"},
    ],
)
def test_a_stream_of_unknown_origin_is_rejected_at_once_and_not_run(
    headers: dict[str, str],
) -> None:
    async def scenario(world: VersionWorld) -> None:
        before = arrivals(world)
        outcome = await call(world, 1, "r1", **headers)
        assert outcome.status == 503
        assert outcome.reason == "origin_unknown"
        assert outcome.seconds <= AT_ONCE_SECONDS
        assert outcome.retry_after == 0.0
        assert arrivals(world) == before

    play(scenario)


def test_a_stream_of_another_team_is_unknown() -> None:
    """Guards against a caller that learns of, or goes on with, another's stream."""

    async def scenario(world: VersionWorld) -> None:
        document = decode(world.configuration())
        document["version"] = 2
        document["tenants"].append({"name": "other", "api_keys": ["other-key"]})
        configure(world, document)
        await call(world, 0, "r1")
        own = await call(world, 1, "r2", last_event_id="3", resumes="r1")
        assert len(own.versions) == 5
        outcome = await call(
            world,
            1,
            "r3",
            last_event_id="3",
            resumes="r1",
            authorization="Bearer other-key",
        )
        assert outcome.reason == "origin_unknown"

    play(scenario)


def test_a_stream_whose_version_has_gone_is_rejected_at_once() -> None:
    async def scenario(world: VersionWorld) -> None:
        first = await call(world, 0, "r1")
        version = first.versions[0]
        for entry in world.entries:
            for state in list(entry.endpoints.states.values()):
                if state.endpoint.software_version == version:
                    entry.endpoints.drop(state, "gone")
        before = arrivals(world)
        outcome = await call(world, 2, "r2", last_event_id="3", resumes="r1")
        assert outcome.reason == "version_gone"
        assert outcome.seconds <= AT_ONCE_SECONDS
        assert arrivals(world) == before

    play(scenario)


def test_a_stream_goes_on_at_its_own_service_or_not_at_all() -> None:
    """Guards against routes of several services, and routes that have changed."""

    async def scenario(world: VersionWorld) -> None:
        await call(world, 0, "r1")
        document = decode(world.configuration())
        document["version"] = 2
        document["services"].append({"name": "spare", "max_connections": 100})
        for route in document["routes"]:
            route["service"] = "spare"
        configure(world, document)
        outcome = await call(world, 0, "r2", last_event_id="3", resumes="r1")
        assert outcome.reason == "version_gone"
        document["version"] = 3
        for route in document["routes"]:
            route["weighted_services"] = [
                {"service": "spare", "weight": 1000.0},
                {"service": "pool", "weight": 1.0},
            ]
        configure(world, document)
        outcome = await call(world, 0, "r3", last_event_id="3", resumes="r1")
        assert len(outcome.versions) == 5

    play(scenario)


def configure(world: VersionWorld, document: Any) -> None:
    """Put a configuration in force at all entries."""
    for entry in world.entries:
        decoded: Any = entry.configuration.records.configuration(encode(document))
        entry.configuration.current = decoded
        entry.endpoints.configure(decoded.services)


def test_plain_calls_ignore_what_is_said_of_streams() -> None:
    async def scenario(world: VersionWorld) -> None:
        outcome = await call(
            world, 0, "r1", path="/safe/x", last_event_id="3", resumes="r0"
        )
        assert outcome.status == 200

    play(scenario)


def test_a_resumption_waits_no_longer_than_a_tenth_of_its_time() -> None:
    async def scenario(world: VersionWorld) -> None:
        world.loss = 1.0
        outcome = await call(
            world, 0, "r1", last_event_id="3", resumes="r0", x_deadline_ms="500"
        )
        assert outcome.reason == "origin_unknown"
        assert outcome.seconds <= 0.051

    play(scenario)


def test_a_stream_ends_if_its_endpoint_turns_out_to_be_of_another_version() -> None:
    """Guards against an announcement that is older than the engine."""

    async def scenario(world: VersionWorld) -> None:
        calling = create_task(call(world, 0, "r1"))
        await sleep(1.0)
        table = world.entries[0].endpoints
        state = next(each for each in table.states.values() if each.in_flight)
        other = state.endpoint._replace(software_version="v9")
        table._put(other)
        outcome = await calling
        assert 0 < len(outcome.versions) < 8
        await sleep(CALLER_SECONDS)
        for entry in range(ENTRIES):
            resumed = await call(
                world, entry, f"r2-{entry}", last_event_id="3", resumes="r1"
            )
            assert resumed.reason == "origin_unknown"

    play(scenario)


@pytest.mark.parametrize("others", [0, 1])
def test_a_silent_stream_is_broken_off_only_if_it_can_go_on(others: int) -> None:
    """Guards against giving up a slow engine whose version nobody else has."""

    async def scenario(world: VersionWorld) -> None:
        world.work = world.work._replace(pause=SILENT_PAUSE)
        calling = create_task(call(world, 0, "r1"))
        await sleep(0.5)
        table = world.entries[0].endpoints
        running = next(each for each in table.states.values() if each.in_flight)
        version = running.endpoint.software_version
        same = [
            state
            for state in table.states.values()
            if state.endpoint.software_version == version and state is not running
        ]
        for state in same[others:]:
            table.drop(state, "gone")
        await sleep(SILENT_PAUSE)
        runs = sum(each.running.total() for each in world.endpoints)
        tried = sum(len(each.arrivals) for each in world.endpoints)
        assert (runs, tried) == (1, 1 + others)
        calling.cancel()

    play(scenario)
