"""What entries tell one another of good runs, and of the points of broken ones."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable, Coroutine
from math import inf, nan
from typing import Any

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    ReportedRun,
    RunDetails,
    SoundMessage,
    decode_message,
    encode_message,
)
from clementinebend_relay.quarantine.history import MIN_GOOD_RUNS
from clementinebend_relay.quarantine.news import REPEAT_DELAYS
from tests.unit.relay.quarantine_world import HARMLESS, QuarantineWorld

SPREAD_SECONDS = 2.0


class OlderMessage(Struct, tag="endpoint-ended", array_like=True):
    """The report of an end as older builds know it."""

    boot: str
    endpoint: str
    ended_ago: float
    runs: tuple[ReportedRun, ...]


def play(scenario: Callable[[QuarantineWorld], Coroutine[Any, Any, None]]) -> None:
    """Play a scenario with three entries, in virtual time."""

    async def main() -> None:
        world = QuarantineWorld(3)
        try:
            await scenario(world)
        finally:
            world.end()
            await sleep(0)

    run_virtually(main())


def report(details: tuple[RunDetails, ...], boot: str = "a#1") -> EndpointEndedMessage:
    """Return a report of an end under the harmless request."""
    runs = (ReportedRun(HARMLESS, 0.7),)
    return EndpointEndedMessage(boot, "i-1/", 0.5, runs, details)


def test_older_builds_read_a_report_with_details_and_newer_ones_read_theirs() -> None:
    """Guards against reports that are lost while two builds run side by side."""
    message = report((RunDetails(0.6, 4, 1.5),))
    older = decode(encode_message(message), type=OlderMessage)
    assert older.runs == message.runs
    assert decode_message(encode(older)) == report(())


def test_the_repeated_word_of_one_good_run_is_no_history() -> None:
    """Guards against one run that counts as often as its datagram is sent."""

    async def scenario(world: QuarantineWorld) -> None:
        sender, receiver = world.all()[:2]
        for _ in range(MIN_GOOD_RUNS * len(REPEAT_DELAYS)):
            receiver.sync.on_message(SoundMessage(sender.boot, HARMLESS))
        assert not receiver.quarantine.requests.history.has_run_well(HARMLESS)

    play(scenario)


@pytest.mark.parametrize(
    "details",
    [
        (RunDetails(nan, 9, nan),),
        (RunDetails(-1.0, 9, -1.0),),
        (RunDetails(inf, -9, 1.0),),
        (RunDetails(0.1, 9, inf),),
    ],
)
def test_details_out_of_bounds_make_no_history(details: tuple[RunDetails, ...]) -> None:
    """Guards against damaged details; the end itself still counts."""

    async def scenario(world: QuarantineWorld) -> None:
        sender, receiver = world.all()[:2]
        receiver.sync.on_message(report(details, sender.boot))
        quarantine = receiver.quarantine
        assert not quarantine.requests.history.has_run_well(HARMLESS)
        assert not quarantine.is_sound(HARMLESS)
        assert len(quarantine.requests.runs[HARMLESS]) == 1

    play(scenario)


def test_more_details_than_runs_and_unknown_senders_change_nothing() -> None:
    """Guards against details that belong to no run, and foreign processes."""

    async def scenario(world: QuarantineWorld) -> None:
        sender, receiver = world.all()[:2]
        known = RunDetails(None, MIN_GOOD_RUNS, 1.0)
        receiver.sync.on_message(report((known,), "nobody#1"))
        assert not receiver.quarantine.requests.history.good_runs
        receiver.sync.on_message(report((RunDetails(), known), sender.boot))
        assert not receiver.quarantine.requests.history.good_runs

    play(scenario)


def test_an_entry_that_knows_good_runs_tells_the_others_of_them() -> None:
    """Guards against a decision by an entry that has just started."""

    async def scenario(world: QuarantineWorld) -> None:
        entries = world.all()
        for _ in range(MIN_GOOD_RUNS):
            entries[2].sync.on_sound(HARMLESS)
        await sleep(4.0)
        world.end_endpoint(entries[0], HARMLESS)
        await sleep(SPREAD_SECONDS)
        for entry in entries:
            known = entry.quarantine.requests.history.recent(HARMLESS)
            assert known is not None
            assert known.total == MIN_GOOD_RUNS
            age = get_running_loop().time() - known.last_at
            assert age == pytest.approx(4.0 + SPREAD_SECONDS, abs=0.1)

    play(scenario)


def test_a_call_goes_on_if_the_check_of_its_first_end_takes_too_long() -> None:
    """Guards against a refusal while nothing but one check stands against a request."""

    async def scenario(world: QuarantineWorld) -> None:
        quarantine = world.all()[0].quarantine
        now = get_running_loop().time()
        with quarantine.runs.checking(HARMLESS):
            assert await quarantine.wait_for_turn(HARMLESS, now + 0.1, True) is None
        assert get_running_loop().time() <= now + 0.03

    play(scenario)
