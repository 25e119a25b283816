"""Streams whose endpoint is silent, whole entries in virtual time."""

from asyncio import create_task, gather, sleep
from collections.abc import Callable

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.budgets import Reservation
from clementinebend_relay.metrics import broken_answers, stream_handovers
from clementinebend_routing.outliers import is_ejected
from tests.unit.relay.silent_world import (
    FOR_GOOD,
    Silence,
    SilentWorld,
    StreamResult,
    body_of,
)

STREAMS = 12
TAKE_OVER_SECONDS = 1.0
"""Longest silence in seconds of a stream whose endpoint is silent for good."""

HEAD_SECONDS = 1.0
"""Seconds after which an endpoint that sent no head is not waited for alone: two
latency targets of the route."""

OVERLAP_SECONDS = 0.4
"""Longest time in seconds for which two endpoints work on a stream."""


def run(
    silence: Silence,
    check: Callable[[SilentWorld, list[StreamResult]], None],
    streams: int = STREAMS,
    prepare: Callable[[SilentWorld], None] = lambda world: None,
    max_attempts: int = 2,
) -> None:
    """Run streams, then check what came of them and that nothing is in flight."""

    async def main() -> tuple[SilentWorld, list[StreamResult], int, int]:
        world = SilentWorld(silence, max_attempts=max_attempts)
        prepare(world)
        seen = await world.streams(streams)
        await world.settle()
        running = sum(sum(each.running.values()) for each in world.endpoints)
        counted = world.in_flight()
        await world.stop()
        return world, seen, counted, running

    world, seen, counted, running = run_virtually(main())
    assert counted == 0
    assert running == 0
    check(world, seen)


def all_whole(world: SilentWorld, seen: list[StreamResult]) -> None:
    """Check that all streams are whole."""
    assert [each for each in seen if not each.is_whole] == []


def handovers(outcome: str) -> float:
    """Return how many second attempts had an outcome."""
    return float(stream_handovers.labels("pool", outcome)._value.get())


def broken() -> float:
    """Return how many answers broke off."""
    return float(broken_answers.labels("pool")._value.get())


def without_retries(world: SilentWorld) -> None:
    """Leave no retry budget."""
    world.entries[0].dispatcher.may_retry = lambda service: False  # type: ignore[method-assign]


@pytest.mark.parametrize("before", [0, 1, 4])
@pytest.mark.parametrize("later", ["full", "fail", "silent"])
def test_a_silent_endpoint_goes_on_if_no_other_one_takes_the_stream(
    before: int, later: str
) -> None:
    """Guards against streams that are cut although their endpoint would go on."""
    run(Silence(before, later=later), all_whole)


@pytest.mark.parametrize("before", [0, 4])
def test_a_silent_endpoint_goes_on_without_a_retry_budget(before: int) -> None:
    """Guards against streams that are cut before a retry is allowed."""
    counted = handovers("retry budget")
    run(Silence(before), all_whole, prepare=without_retries)
    assert handovers("retry budget") >= counted + STREAMS


def test_an_endpoint_that_speaks_again_is_not_taken_for_broken() -> None:
    """Guards against endpoints that are ejected or doubted for a short silence."""

    def check(world: SilentWorld, seen: list[StreamResult]) -> None:
        all_whole(world, seen)
        assert not any(is_ejected(state.health, 0.0) for state in world.states())
        assert all(state.doubt.since is None for state in world.states())

    before = broken(), handovers("endpoint spoke again")
    run(Silence(later="slow", slow_seconds=FOR_GOOD), check)
    assert broken() == before[0]
    assert handovers("endpoint spoke again") == before[1] + STREAMS


def test_a_stream_goes_on_at_the_endpoint_that_speaks_first() -> None:
    """Guards against duplicate events, and two runs that go on side by side (ORDER)."""

    def check(world: SilentWorld, seen: list[StreamResult]) -> None:
        all_whole(world, seen)
        overlaps = [world.overlap(body_of(each)) for each in range(STREAMS)]
        assert max(overlaps) < OVERLAP_SECONDS

    before = handovers("taken over")
    run(Silence(), check)
    assert handovers("taken over") == before + STREAMS


def test_a_stream_without_a_head_goes_on_at_the_endpoint_that_speaks_first() -> None:
    """Guards against two runs that go on side by side, and against late first events.

    An endpoint that has sent no head by the time limit of a head is asked twice.
    """

    def check(world: SilentWorld, seen: list[StreamResult]) -> None:
        all_whole(world, seen)
        assert world.slowest_first_event() < HEAD_SECONDS + TAKE_OVER_SECONDS / 2

    counted = handovers("taken over")
    run(Silence(0, seconds=FOR_GOOD), check)
    assert handovers("taken over") == counted + STREAMS


def test_an_endpoint_sends_a_head_while_another_one_reads_the_prompt() -> None:
    """Guards against a second run that is lost, or goes on, beside a late head."""
    counted = handovers("endpoint spoke again")
    run(Silence(0, later="slow", slow_seconds=FOR_GOOD), all_whole)
    assert handovers("endpoint spoke again") == counted + STREAMS


@pytest.mark.parametrize("before", [1, 4, 8])
def test_a_stream_of_an_endpoint_that_is_silent_for_good_goes_on_elsewhere(
    before: int,
) -> None:
    """Guards against streams that wait for an endpoint that is gone."""

    def check(world: SilentWorld, seen: list[StreamResult]) -> None:
        all_whole(world, seen)
        assert max(each.longest_gap for each in seen) < TAKE_OVER_SECONDS

    run(Silence(before, seconds=FOR_GOOD), check)


def test_a_second_endpoint_that_is_silent_for_good_is_replaced_by_a_third() -> None:
    """Guards against streams that wait for two endpoints that are gone."""

    def check(world: SilentWorld, seen: list[StreamResult]) -> None:
        all_whole(world, seen)
        assert max(each.longest_gap for each in seen) < 2 * TAKE_OVER_SECONDS

    run(Silence(seconds=FOR_GOOD, later="second silent"), check, max_attempts=3)


def test_a_stream_waits_for_the_second_endpoint_if_the_silent_one_ends() -> None:
    """Guards against streams that are cut while another endpoint takes them over."""
    silence = Silence(seconds=FOR_GOOD, later="slow", ends_after=1.0)
    run(silence, all_whole, streams=1)


@pytest.mark.parametrize("before", [0, 4])
def test_a_caller_that_leaves_ends_both_runs(before: int) -> None:
    """Guards against runs that go on for nobody (GONE)."""

    async def main() -> tuple[int, int, int]:
        silence = Silence(before, FOR_GOOD, later="slow", slow_seconds=5.0)
        world = SilentWorld(silence)
        reading = create_task(world.stream(1))
        await sleep(1.5)
        begun = world.runs_in_progress()
        reading.cancel()
        await gather(reading, return_exceptions=True)
        await sleep(0.01)
        left = world.runs_in_progress()
        counted = world.in_flight()
        await world.stop()
        return begun, left, counted

    assert run_virtually(main()) == (2, 0, 0)


def test_a_team_pays_for_each_event_once() -> None:
    """Guards against prompts or events that are billed for both runs."""
    settled: list[int] = []

    def record(world: SilentWorld) -> None:
        budgets = world.entries[0].handler.budgets
        settle = budgets.settle

        def recorded(reservation: Reservation, spent: int) -> None:
            settled.append(spent)
            settle(reservation, spent)

        budgets.settle = recorded  # type: ignore[method-assign]

    run(Silence(), all_whole, prepare=record)
    assert settled == [100 + 24] * STREAMS
