"""Harmless requests that everyone sends, while endpoints end; and fatal ones.

The order of events is forced in virtual time. The first part relays streams, the
second only exchanges reports of ends and of whole answers.
"""

from asyncio import Task, gather, get_running_loop, sleep
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.messages import EndpointEndedMessage, ReportedRun
from clementinebend_relay.models import Reason, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.trials import TRIAL_DELAYS, TRIAL_SECONDS
from clementinebend_relay.quarantine.verdicts import DECISION_DELAY, DECISION_JITTER
from clementinebend_relay.quarantine.waits import SUSPECT_WAIT_SECONDS
from clementinebend_routing.fatal_runs import (
    CONCLUSIVE_ENDS,
    FatalRun,
)
from tests.unit.relay.popular_world import Arrival, Outcome, Pace, PopularWorld, play
from tests.unit.relay.quarantine_world import (
    FATAL,
    HARMLESS,
    QuarantineEntry,
    QuarantineWorld,
    endpoint,
)

POPULAR_PAUSE = 0.2
FATAL_PAUSE = 0.1
LONG_LIMIT = 10.0
REPORT_SECONDS = 0.1
LONG_AGO = 60.0
DECIDED_SECONDS = DECISION_DELAY + DECISION_JITTER + REPORT_SECONDS
WHOLE_ANSWERS = 40
WHOLE_PAUSE = 0.1
TOLD_IN_TIME = 0.1
"""Seconds before its limit at which a caller must know that its call has not run."""


async def end_two(world: PopularWorld, fingerprint: str = HARMLESS) -> None:
    """Let two engines end in series under a request, 0.3 s after it was sent."""
    for _ in range(2):
        world.call(0, fingerprint, LONG_LIMIT)
        await sleep(0.3)
        world.crash(world.running()[0])
        await sleep(REPORT_SECONDS)


async def suspect(world: PopularWorld) -> None:
    """Let two engines end under a request that nobody knows, and suspect it."""
    await end_two(world)
    for entry in world.all():
        assert entry.quarantine.is_suspected(HARMLESS)


async def answer_whole(world: QuarantineWorld) -> None:
    """Let all entries answer a request whole many times, 4 s ago the last time."""
    for number in range(WHOLE_ANSWERS):
        world.all()[number % 3].sync.on_sound(HARMLESS)
        await sleep(WHOLE_PAUSE)
    await sleep(4.0 - WHOLE_PAUSE)


def test_a_call_that_arrives_under_suspicion_is_delivered_within_its_limit() -> None:
    """Guards against waits after which too little time is left for the answer.

    The answer takes 3.6 s, so that a wait of 0.4 s is the longest possible. The request
    was answered whole many times.
    """

    async def scenario(world: PopularWorld) -> None:
        await answer_whole(world)
        await end_two(world)
        outcome = await world.call(0, HARMLESS, 4.0)
        assert outcome.is_whole

    play(scenario)


def test_a_stream_that_broke_off_with_the_second_end_goes_on_within_its_limit() -> None:
    """Guards against a wait of streams that the end under suspicion broke off.

    It had two of its eight events as it broke off, 1.0 s after it was sent.
    """

    async def scenario(world: PopularWorld) -> None:
        world.crash_after(0.3, 0)
        first = world.call(0, HARMLESS, LONG_LIMIT)
        await sleep(0.5)
        resumed = world.call(1, HARMLESS, 4.2)
        await sleep(1.0)
        world.crash(world.running()[0])
        outcome = await resumed
        assert outcome.is_whole
        await first

    play(scenario)


def test_a_call_whose_turn_comes_too_late_is_refused_instead_of_cut() -> None:
    """Guards against sending a call whose answer can no longer be delivered."""

    async def scenario(world: PopularWorld) -> None:
        await suspect(world)
        outcome = await world.call(0, HARMLESS, 4.0)
        assert outcome.is_whole or outcome.events == 0

    play(scenario)


def test_a_stream_that_ended_its_endpoint_after_a_pause_clears_nothing() -> None:
    """Guards against time that counts as a good run though no event has come.

    The endpoint ends 1.1 s after the first event; the next one was due after 5 s.
    """

    async def scenario(world: PopularWorld) -> None:
        await suspect(world)
        world.call(0, HARMLESS, LONG_LIMIT)
        await sleep(0.4 + 1.1)
        world.crash(world.running()[0])
        await sleep(REPORT_SECONDS)
        for entry in world.all():
            assert entry.quarantine.is_suspected(HARMLESS)

    play(scenario, pace=Pace(0.4, 5.0))


def test_calls_behind_a_stream_whose_first_event_is_late_are_not_refused() -> None:
    """Guards against a wait that is shorter than a run needs to clear its request.

    The first event comes after 1.5 s, so that the request is cleared after 2.5 s.
    """

    async def scenario(world: PopularWorld) -> None:
        world.start_other_traffic()
        await answer_whole(world)
        await end_two(world)
        outcome = await world.call(0, HARMLESS, LONG_LIMIT)
        assert outcome.rejection is None

    play(scenario, pace=Pace(1.5, 0.1))


async def once_behind_a_run(world: PopularWorld, limit: float) -> Outcome:
    """Make a call that may run once only, while a run of its request is going on."""
    await suspect(world)
    return await world.call(0, HARMLESS, limit, may_repeat=False)


def test_a_call_that_may_run_once_is_told_in_time_that_it_has_not_run() -> None:
    """Guards against a wait up to the very limit, when the caller has given up."""

    async def scenario(world: PopularWorld) -> None:
        outcome = await once_behind_a_run(world, 1.0)
        assert outcome.rejection is not None
        assert outcome.rejection.reason in (Reason.OVERLOADED, Reason.TIMEOUT_NOT_RUN)
        assert outcome.ended_at <= outcome.sent_at + 1.0 - TOLD_IN_TIME

    play(scenario)


def test_a_call_that_may_run_once_is_not_sent_when_too_little_time_is_left() -> None:
    """Guards against a call that is sent just before its limit, and may have run.

    The request is cleared 1.8 s after its run began, the call is over 0.1 s later.
    """

    async def scenario(world: PopularWorld) -> None:
        await suspect(world)
        run_at = world.arrivals[-1].at
        limit = run_at + 1.9 - world.now()
        outcome = await world.call(0, HARMLESS, limit, may_repeat=False)
        assert outcome.rejection is not None
        assert outcome.rejection.reason in (Reason.OVERLOADED, Reason.TIMEOUT_NOT_RUN)

    play(scenario)


def test_a_call_that_may_run_once_is_refused_after_the_longest_wait() -> None:
    """Guards against calls that wait for a run that neither ends nor clears."""

    async def scenario(world: PopularWorld) -> None:
        world.start_other_traffic()
        outcome = await once_behind_a_run(world, LONG_LIMIT)
        assert outcome.rejection is not None
        assert outcome.rejection.reason is Reason.OVERLOADED
        waited = outcome.ended_at - outcome.sent_at
        assert waited == pytest.approx(SUSPECT_WAIT_SECONDS, abs=0.01)

    play(scenario, pace=Pace(5.0, 0.1))


def test_a_popular_long_stream_is_served_while_two_engines_end_in_series() -> None:
    """Replays the order of tests/functional/test_crashing_request.py, popular_long."""

    async def scenario(world: PopularWorld) -> None:
        made: list[Task[Outcome]] = []
        world.crash_after(1.2, 0)
        world.crash_after(2.4, 1)
        for number in range(36):
            made.append(world.call(number % 3, HARMLESS, 4.0))
            await sleep(POPULAR_PAUSE)
        outcomes = await gather(*made)
        later = [outcome for outcome in outcomes if outcome.sent_at > 2.4]
        assert [each.sent_at for each in later if not each.is_whole] == []

    play(scenario)


FATAL_WAYS = {
    "before its first event": (0.05, Pace(0.2, 0.2)),
    "at its first event": (0.201, Pace(0.2, 0.2)),
    "half a second after it was sent": (0.5, Pace(0.2, 0.2)),
}
ENDS_TODAY = 3
ENDS_BESIDE_TODAY = 5


async def send_fatal(world: PopularWorld, seconds: float) -> None:
    """Send the fatal request each 0.1 s at the entries in turn."""
    for number in range(round(seconds / FATAL_PAUSE)):
        world.call(number % len(world.all()), FATAL, 3.0)
        await sleep(FATAL_PAUSE)


@pytest.mark.parametrize("way", FATAL_WAYS)
def test_a_fatal_request_ends_no_more_engines_than_before(way: str) -> None:
    """Guards against lenience with harmless requests that protects a fatal one."""
    fatal_after, pace = FATAL_WAYS[way]

    async def scenario(world: PopularWorld) -> None:
        world.fatal_after[FATAL] = fatal_after
        await send_fatal(world, 30.0)
        assert world.ends() <= ENDS_TODAY
        assert all(entry.is_quarantined(FATAL) for entry in world.all())

    play(scenario, pace=pace)


@pytest.mark.parametrize("way", FATAL_WAYS)
def test_a_fatal_request_among_popular_calls_ends_no_more_engines_than_before(
    way: str,
) -> None:
    """Guards against a popular request, sent before and beside, that hides it."""
    fatal_after, pace = FATAL_WAYS[way]

    async def scenario(world: PopularWorld) -> None:
        world.fatal_after[FATAL] = fatal_after
        for number in range(30):
            world.call(number % 3, HARMLESS)
            await sleep(FATAL_PAUSE)
        for number in range(100):
            world.call(number % 3, HARMLESS)
            world.call((number + 1) % 3, FATAL, 3.0)
            await sleep(FATAL_PAUSE)
        assert world.ends() <= ENDS_TODAY
        assert all(entry.is_quarantined(FATAL) for entry in world.all())

    play(scenario, pace=pace)


def together(world: PopularWorld) -> list[tuple[Arrival, Arrival]]:
    """Return the runs of two requests that one engine ran at the same time."""
    found = []
    for first in world.arrivals:
        for second in world.arrivals:
            is_pair = first.fingerprint == FATAL and second.fingerprint == HARMLESS
            if is_pair and first.boot == second.boot and world.overlap(first, second):
                found.append((first, second))
    return found


async def suspect_both(world: PopularWorld) -> None:
    """Let two engines end under two requests, so that one engine is left."""
    for _ in range(2):
        world.call(0, FATAL, LONG_LIMIT)
        world.call(1, HARMLESS, LONG_LIMIT)
        await sleep(0.3)
        world.crash(world.running()[0])
        await sleep(REPORT_SECONDS)


async def send_both(world: PopularWorld, seconds: float) -> None:
    """Send two suspected requests on, of which one ends what it reaches."""
    world.fatal_after[FATAL] = 0.2
    for number in range(round(seconds / FATAL_PAUSE)):
        world.call(number % 2, FATAL, 3.0)
        world.call((number + 1) % 2, HARMLESS, 5.0)
        await sleep(FATAL_PAUSE)


def test_two_suspected_requests_do_not_run_together_at_the_last_engine() -> None:
    """Guards against runs of which the end shows nothing: either may be the cause."""

    async def scenario(world: PopularWorld) -> None:
        world.comes_back = False
        await suspect_both(world)
        seen = len(world.arrivals)
        await send_both(world, 2.0)
        world.arrivals = world.arrivals[seen:]
        assert together(world) == []

    play(scenario, engines=3, pace=Pace(0.3, 0.3))


def test_a_harmless_suspect_is_not_quarantined_with_a_fatal_one() -> None:
    """Guards against a quarantine of all that ran at the ends of a small pool."""

    async def scenario(world: PopularWorld) -> None:
        await suspect_both(world)
        await send_both(world, 20.0)
        assert all(entry.is_quarantined(FATAL) for entry in world.all())
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())

    play(scenario, engines=3, pace=Pace(0.3, 0.3))


def test_a_fatal_request_beside_a_popular_one_ends_no_more_engines_than_before() -> (
    None
):
    """Guards against a popular request that hides the fatal one beside it."""

    async def scenario(world: PopularWorld) -> None:
        await suspect_both(world)
        await send_both(world, 20.0)
        assert world.ends() <= ENDS_BESIDE_TODAY
        assert all(entry.is_quarantined(FATAL) for entry in world.all())

    play(scenario, engines=3, pace=Pace(0.3, 0.3))


PAUSE = 0.5
SPREAD_SECONDS = 2.0


def exchange(scenario: Callable[[QuarantineWorld], Coroutine[Any, Any, None]]) -> None:
    """Play a scenario with three entries that only exchange reports."""

    async def main() -> None:
        world = QuarantineWorld(3)
        try:
            await scenario(world)
        finally:
            world.end()
            await sleep(0.1)

    run_virtually(main())


def end_under_runs(
    world: QuarantineWorld, entry: QuarantineEntry, *ages: float
) -> None:
    """End an endpoint now under runs of the harmless request of these ages."""
    now = get_running_loop().time()
    ended = endpoint(next(world.numbers))
    runs = [FatalRun(boot_name(ended), now - age, now) for age in ages]
    entry.sync.on_ended(ended, [EndedRun(HARMLESS, run) for run in runs])


async def end_in_series(
    world: QuarantineWorld, ends: Sequence[Sequence[float]]
) -> None:
    """End endpoints, each 1 s after the other, under runs of the given ages."""
    for number, ages in enumerate(ends):
        end_under_runs(world, world.all()[number % 3], *ages)
        await sleep(1.0)


@pytest.mark.parametrize(
    "ends",
    [
        pytest.param(((0.1,), (0.1,), (0.1,)), id="of one age"),
        pytest.param(((0.9,), (0.1,), (0.5,)), id="of different ages"),
        pytest.param(((0.9, 0.05), (0.2, 0.05), (0.6, 0.05)), id="some older"),
    ],
)
def test_a_request_answered_many_times_is_served_after_three_ends(
    ends: Sequence[Sequence[float]],
) -> None:
    """Guards against history that is forgotten 3 s after the last whole answer."""

    async def scenario(world: QuarantineWorld) -> None:
        await answer_whole(world)
        await end_in_series(world, ends)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())

    exchange(scenario)


def test_a_harmless_request_does_not_take_the_place_of_a_fatal_one() -> None:
    """Guards against a harmless request that had been at one more end.

    The ends that they share are as much the fatal request's, which needs one more.
    """

    async def scenario(world: QuarantineWorld) -> None:
        entry = world.all()[0]
        world.end_endpoint(entry, HARMLESS)
        await sleep(PAUSE)
        for _ in range(2):
            world.end_endpoint(entry, HARMLESS, FATAL)
            await sleep(PAUSE)
        world.end_endpoint(entry, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(each.is_quarantined(FATAL) for each in world.all())

    exchange(scenario)


def test_a_request_that_ran_well_once_long_ago_is_quarantined_after_three_ends() -> (
    None
):
    """Guards against history that protects a request for good."""

    async def scenario(world: QuarantineWorld) -> None:
        world.all()[0].sync.on_sound(HARMLESS)
        await sleep(LONG_AGO)
        await end_in_series(world, ((0.1,), (0.1,), (0.1,)))
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined(HARMLESS) for entry in world.all())

    exchange(scenario)


def test_a_new_request_is_quarantined_after_three_ends_of_runs_of_one_age() -> None:
    """Guards against doubts about a request that is sent again while it runs.

    It ends each endpoint half a second after the first of its runs began.
    """

    async def scenario(world: QuarantineWorld) -> None:
        ages = (0.5, 0.4, 0.3, 0.2, 0.1)
        await end_in_series(world, (ages, ages, ages))
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined(HARMLESS) for entry in world.all())

    exchange(scenario)


async def quarantine_known(world: PopularWorld) -> None:
    """Let engines end under a request that ran well before, until it is quarantined."""
    await answer_whole(world)
    while not any(entry.is_quarantined(HARMLESS) for entry in world.all()):
        world.call(0, HARMLESS, LONG_LIMIT)
        await sleep(0.3)
        world.crash(world.running()[0])
        await sleep(DECIDED_SECONDS)


def test_a_quarantined_request_that_ran_well_before_is_served_again() -> None:
    """Guards against a quarantine that only an operator can end."""

    async def scenario(world: PopularWorld) -> None:
        await quarantine_known(world)
        assert world.ends() == CONCLUSIVE_ENDS
        for number in range(3 * round(TRIAL_DELAYS[0])):
            world.call(number % 3, HARMLESS)
            await sleep(1.0)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        outcome = await world.call(0, HARMLESS)
        assert outcome.is_whole

    play(scenario)


def test_a_quarantined_request_that_has_become_fatal_ends_few_more_engines() -> None:
    """Guards against trials without end: each one may end an engine."""

    async def scenario(world: PopularWorld) -> None:
        await quarantine_known(world)
        before = world.ends()
        world.fatal_after[HARMLESS] = 0.1
        for number in range(3 * round(sum(TRIAL_DELAYS))):
            world.call(number % 3, HARMLESS)
            await sleep(1.0)
        assert world.ends() <= before + len(TRIAL_DELAYS)
        assert all(entry.is_quarantined(HARMLESS) for entry in world.all())

    play(scenario)


def test_a_trial_whose_endpoint_has_ended_goes_to_no_other_one() -> None:
    """Guards against a trial that ends one endpoint after the other."""

    async def scenario(world: PopularWorld) -> None:
        await quarantine_known(world)
        world.fatal_after[HARMLESS] = 0.1
        await sleep(TRIAL_DELAYS[0])
        before = len(world.arrivals)
        dispatcher = world.dispatchers[world.all()[0].name]
        # This entry never learns that the endpoint of the trial has ended.
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(dispatcher.ends, "on_broken", lambda *_: None)
            await world.call(0, HARMLESS)
        assert len(world.arrivals) == before + 1

    play(scenario)


def test_a_caller_of_a_quarantined_request_is_told_when_to_come_back() -> None:
    """Guards against a longer pause than until the next trial is over."""

    async def scenario(world: PopularWorld) -> None:
        await quarantine_known(world)
        outcome = await world.call(0, HARMLESS)
        assert outcome.rejection is not None
        pause = outcome.rejection.retry_after
        assert pause is not None
        spread = TRIAL_SECONDS
        assert pause <= TRIAL_DELAYS[0] + TRIAL_SECONDS + spread

    play(scenario)


def test_an_entry_without_history_does_not_suspect_what_others_see_go_well() -> None:
    """Guards against entries that ignore the ends but do not say that all is well."""

    async def scenario(world: QuarantineWorld) -> None:
        later = world.start(0)
        for _ in range(2):
            end_under_runs(world, later, 0.1)
            world.all()[0].sync.on_sound(HARMLESS)
            await sleep(PAUSE)
        assert not later.quarantine.is_suspected(HARMLESS)

    exchange(scenario)


def test_an_entry_without_history_does_not_quarantine_what_others_know() -> None:
    """Guards against the decision of an entry that has just started."""

    async def scenario(world: QuarantineWorld) -> None:
        await answer_whole(world)
        later = world.start(0)
        await sleep(REPORT_SECONDS)
        for _ in range(3):
            end_under_runs(world, later, 0.1)
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())

    exchange(scenario)


def test_an_end_before_the_last_whole_answer_is_no_evidence_however_late() -> None:
    """Guards against reports that arrive later than 3 s after that answer."""

    async def scenario(world: QuarantineWorld) -> None:
        entry, reporter = world.all()[:2]
        entry.sync.on_sound(HARMLESS)
        await sleep(4.0)
        for number, ago in enumerate((5.5, 5.0, 4.5)):
            runs = (ReportedRun(HARMLESS, ago + 0.1),)
            message = EndpointEndedMessage(reporter.boot, f"i-{number}/", ago, runs)
            entry.sync.on_message(message)
        await sleep(PAUSE)
        assert not entry.quarantine.is_suspected(HARMLESS)
        assert not entry.is_quarantined(HARMLESS)

    exchange(scenario)


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0, 1, 1, 2)])
def test_reports_in_another_order_or_repeated_lead_to_the_same_decision(
    order: Sequence[int],
) -> None:
    """Guards against decisions that depend on the way of the datagrams."""

    async def scenario(world: QuarantineWorld) -> None:
        entry, reporter = world.all()[:2]
        await sleep(10.0)
        for number in order:
            ago = 3.0 - number
            runs = (ReportedRun(FATAL, ago + 0.1),)
            message = EndpointEndedMessage(reporter.boot, f"i-{number}/", ago, runs)
            entry.sync.on_message(message)
        await sleep(PAUSE)
        assert entry.is_quarantined(FATAL)

    exchange(scenario)


def test_a_stream_that_goes_on_well_keeps_its_request_from_quarantine() -> None:
    """Guards against a stream that counts as a run that went well only once.

    It has been running well for 6 s at an engine as the first of three others ends.
    """

    async def scenario(world: PopularWorld) -> None:
        world.start_other_traffic()
        running = world.call(0, HARMLESS, 30.0)
        await sleep(6.0)
        world.sessions.append(world.sessions.pop(0))
        for number in range(3):
            world.call(number, HARMLESS, 30.0)
            await sleep(0.3)
            world.crash(world.running()[0])
            await sleep(PAUSE)
        assert not running.done()
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())

    play(scenario, pace=Pace(0.2, 1.4))
