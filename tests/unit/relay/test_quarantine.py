"""Which requests an entry keeps back, and how entries tell one another."""

from asyncio import create_task, get_running_loop, sleep

from clementinebend_bench.models.mark_store import ModelLog, Outage
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.endpoint_ends import EndedRun
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    QuarantineMessage,
    ReportedRun,
    SoundMessage,
)
from clementinebend_relay.models import Reason, boot_name
from clementinebend_relay.quarantine import (
    MOST_QUARANTINED,
    MOST_SUSPECTS,
    SOUND_SECONDS,
    Quarantine,
)
from clementinebend_routing.fatal_runs import FatalRun
from tests.unit.relay.quarantine_world import (
    FATAL,
    HARMLESS,
    QuarantineEntry,
    QuarantineWorld,
    endpoint,
)

PAUSE = 0.5
SPREAD_SECONDS = 2.0
"""Within this all entries in touch know of a quarantine: less than the three seconds
after which repetitions count."""


async def end_in_turn(
    world: QuarantineWorld, *fingerprints: str, ends: int = 3
) -> None:
    """Let endpoints end one after the other, under calls of different entries."""
    entries = world.all()
    for number in range(ends):
        world.end_endpoint(entries[number % len(entries)], *fingerprints)
        await sleep(PAUSE)


def test_three_ends_at_three_entries_keep_a_request_back_everywhere() -> None:
    async def play() -> None:
        world = QuarantineWorld(5)
        await end_in_turn(world, FATAL, ends=2)
        assert not any(entry.keeps_back() for entry in world.all())
        await end_in_turn(world, FATAL, ends=1)
        assert all(entry.keeps_back() for entry in world.all())
        refusal = world.all()[0].quarantine.refusal(FATAL)
        assert refusal is not None
        assert refusal.reason is Reason.QUARANTINED
        world.end()

    run_virtually(play())


def test_lost_datagrams_and_a_store_that_is_away_do_not_keep_it_from_any() -> None:
    async def play() -> None:
        world = QuarantineWorld(6, lost=0.3, outages=[Outage(0.0, 60.0)])
        await end_in_turn(world, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(entry.keeps_back() for entry in world.all())
        world.end()

    run_virtually(play())


def test_without_any_datagram_the_store_tells_of_it() -> None:
    async def play() -> None:
        world = QuarantineWorld(4, lost=1.0)
        first = world.all()[0]
        for _ in range(3):
            world.end_endpoint(first, FATAL)
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        assert all(entry.keeps_back() for entry in world.all())
        world.end()

    run_virtually(play())


def test_an_entry_that_starts_anew_reads_it_from_the_store() -> None:
    async def play() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, FATAL)
        await sleep(SPREAD_SECONDS)
        later = world.start(0)
        assert not later.keeps_back()
        await sleep(0.1)
        assert later.keeps_back()
        world.end()

    run_virtually(play())


def test_ends_that_others_remember_count_after_a_restart() -> None:
    async def play() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, FATAL, ends=2)
        later = world.start(0)
        world.end_endpoint(later, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(entry.keeps_back() for entry in world.all())
        world.end()

    run_virtually(play())


def test_a_whole_answer_at_any_entry_clears_a_request_at_all() -> None:
    async def play() -> None:
        world = QuarantineWorld(4)
        await end_in_turn(world, HARMLESS, ends=2)
        world.all()[3].news.on_sound(HARMLESS)
        await sleep(SOUND_SECONDS + PAUSE)
        await end_in_turn(world, HARMLESS, ends=2)
        assert not any(entry.keeps_back(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(play())


def test_an_entry_that_has_just_had_a_whole_answer_objects() -> None:
    async def play() -> None:
        world = QuarantineWorld(4)
        popular = world.all()[3]
        for _ in range(4):
            popular.news.on_sound(HARMLESS)
            world.end_endpoint(world.all()[0], HARMLESS)
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.keeps_back(HARMLESS) for entry in world.all())
        assert all(not entry.news.recorded for entry in world.all())
        world.end()

    run_virtually(play())


def test_a_run_that_ends_well_after_the_quarantine_ends_it_everywhere() -> None:
    async def play() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, HARMLESS)
        await sleep(SPREAD_SECONDS)
        world.all()[1].news.on_sound(HARMLESS)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.keeps_back(HARMLESS) for entry in world.all())
        assert not world.start(0).keeps_back(HARMLESS)
        await sleep(0.1)
        assert not world.all()[-1].keeps_back(HARMLESS)
        world.end()

    run_virtually(play())


def test_an_operators_word_outlasts_what_is_told_late() -> None:
    """Datagrams are repeated for a second after what they tell."""

    async def play() -> None:
        world = QuarantineWorld(4)
        for entry in world.all()[:3]:
            world.end_endpoint(entry, FATAL)
            await sleep(0.15)
        await sleep(0.15)
        assert all(entry.keeps_back() for entry in world.all())
        log = ModelLog(world.store)
        await log.append(((FATAL, b""),), None)
        await sleep(SPREAD_SECONDS + SOUND_SECONDS)
        assert not any(entry.keeps_back() for entry in world.all())
        assert not world.store.records[-1].value
        world.end()

    run_virtually(play())


def test_endpoints_that_end_together_keep_nothing_back() -> None:
    async def play() -> None:
        world = QuarantineWorld(3)
        for entry in world.all() * 3:
            world.end_endpoint(entry, HARMLESS)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.keeps_back(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(play())


def test_what_a_fatal_request_explains_counts_against_no_other() -> None:
    """A request that shares two of three ends is served on after the third."""

    async def play() -> None:
        world = QuarantineWorld(3)
        first, second, third = world.all()
        for _ in range(2):
            world.end_under({first: (FATAL,), second: (HARMLESS,)})
            await sleep(PAUSE)
        world.end_endpoint(third, FATAL)
        await sleep(SPREAD_SECONDS)
        world.end_endpoint(second, HARMLESS)
        await sleep(SPREAD_SECONDS)
        for entry in world.all():
            assert entry.keeps_back(FATAL)
            assert not entry.keeps_back(HARMLESS)
            assert not entry.quarantine.is_suspected(HARMLESS)
        world.end()

    run_virtually(play())


def test_what_was_sent_to_an_endpoint_that_had_ended_is_no_evidence() -> None:
    """A balancer takes connections for an endpoint that has ended; word comes late."""

    async def play() -> None:
        world = QuarantineWorld(2)
        first, second = world.all()
        now = get_running_loop().time
        for number in range(3):
            ended = endpoint(number)
            boot = boot_name(ended)
            late = FatalRun(boot, now() - 0.1, now() - 0.05)
            second.news.on_ended(ended, [EndedRun(HARMLESS, late)])
            await sleep(0.05)
            culprit = FatalRun(boot, now() - 0.5, now() - 0.3)
            first.news.on_ended(ended, [EndedRun(FATAL, culprit)])
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        for entry in world.all():
            assert entry.keeps_back(FATAL)
            assert HARMLESS not in entry.quarantine.evidence
        world.end()

    run_virtually(play())


def test_an_endpoint_that_lives_takes_its_end_back() -> None:
    async def play() -> None:
        world = QuarantineWorld(2)
        ended = [world.end_endpoint(world.all()[0], HARMLESS)]
        await sleep(2 * PAUSE)
        for entry in world.all():
            entry.quarantine.on_alive(boot_name(ended[0]))
        await end_in_turn(world, HARMLESS, ends=2)
        assert not any(entry.keeps_back(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(play())


async def hold_forged(entry: QuarantineEntry) -> None:
    """Send what a stranger, or a confused or late entry, may send."""
    strange = EndpointEndedMessage("entry-9#1", "i-1/", 0.0, (ReportedRun(FATAL, 1.0),))
    entry.news.on_message(strange)
    entry.news.on_message(QuarantineMessage("entry-9#1", FATAL, ()))
    known = entry.boot
    runs = (
        ReportedRun("x", 1.0),
        ReportedRun(FATAL, -1.0),
        ReportedRun(FATAL, float("nan")),
    )
    for age in (-1.0, 11.0, float("nan"), 0.5):
        entry.news.on_message(EndpointEndedMessage(known, "i-2/", age, runs))
    entry.news.on_message(QuarantineMessage(known, "x" * 300, ()))
    entry.news.on_message(SoundMessage(known, "x" * 300))
    await sleep(SPREAD_SECONDS)


def test_foreign_damaged_and_late_datagrams_change_nothing() -> None:
    async def play() -> None:
        world = QuarantineWorld(1)
        entry = world.all()[0]
        await hold_forged(entry)
        assert not entry.quarantine.evidence
        assert not entry.quarantine.quarantined
        assert not entry.quarantine.sound_at
        world.end()

    run_virtually(play())


def test_repeated_datagrams_count_once() -> None:
    async def play() -> None:
        world = QuarantineWorld(2)
        entry = world.all()[0]
        runs = (ReportedRun(FATAL, 0.2),)
        for _ in range(5):
            message = EndpointEndedMessage(entry.boot, "i-1/", 0.1, runs)
            entry.news.on_message(message)
            await sleep(PAUSE)
        assert not entry.quarantine.is_suspected(FATAL)
        world.end()

    run_virtually(play())


def test_a_flood_of_other_requests_pushes_nothing_out() -> None:
    now = 0.0
    quarantine = Quarantine(lambda: now)
    for number in range(2):
        run = FatalRun(f"s{number}", 1.0 * number, number + 0.5)
        quarantine.on_run_ended("c" * 24, run)
    quarantine.put(FATAL, "endpoints ended under it")
    for number in range(3 * MOST_SUSPECTS):
        run = FatalRun(f"e{number}", now, now)
        quarantine.on_run_ended(f"{number:024x}", run)
    assert len(quarantine.evidence) == MOST_SUSPECTS
    assert quarantine.is_suspected("c" * 24)
    assert quarantine.refusal(FATAL) is not None
    for number in range(MOST_QUARANTINED + 10):
        quarantine.put(f"{number:024x}", "told so")
    assert len(quarantine.quarantined) == MOST_QUARANTINED


def test_suspects_run_one_at_a_time_and_those_that_wait_hear_the_judgement() -> None:
    async def play() -> None:
        world = QuarantineWorld(1)
        entry = world.all()[0]
        quarantine = entry.quarantine
        await end_in_turn(world, FATAL, ends=2)
        with quarantine.running(FATAL):
            waiting = create_task(quarantine.turn(FATAL, 100.0))
            await sleep(0.2)
            assert not waiting.done()
            world.end_endpoint(entry, FATAL)
        refusal = await waiting
        assert refusal is not None
        assert refusal.reason is Reason.QUARANTINED
        world.end()

    run_virtually(play())


def test_what_many_entries_say_of_one_end_is_bounded() -> None:
    """Each entry with calls there tells each other one three times, in one packet."""
    entries = 100

    async def play() -> None:
        world = QuarantineWorld(entries)
        busy = world.all()[:8]
        world.end_under(dict.fromkeys(busy, (HARMLESS, FATAL)))
        await sleep(SPREAD_SECONDS)
        assert world.datagrams <= 3 * len(busy) * (entries - 1)
        world.end_endpoint(world.all()[0], *(f"{number:024x}" for number in range(64)))
        await sleep(SPREAD_SECONDS)
        assert world.largest <= 1_400
        world.end()

    run_virtually(play())
