"""Quarantine of requests, and its exchange between entries."""

from asyncio import create_task, get_running_loop, sleep

from clementinebend_bench.models.mark_store import ModelLog, Outage
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    QuarantineMessage,
    ReportedRun,
    SoundMessage,
)
from clementinebend_relay.models import Reason, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.evidence import MAX_SUSPECTS, SOUND_SECONDS
from clementinebend_relay.quarantine.state import MAX_QUARANTINED, Quarantine
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
"""Seconds within which all connected entries know of a quarantine; less than the three
seconds after which further runs of a request count as evidence."""


async def end_in_turn(
    world: QuarantineWorld, *fingerprints: str, ends: int = 3
) -> None:
    """End endpoints one after the other, under calls of different entries."""
    entries = world.all()
    for number in range(ends):
        world.end_endpoint(entries[number % len(entries)], *fingerprints)
        await sleep(PAUSE)


def test_three_ends_at_three_entries_quarantine_a_request_everywhere() -> None:
    async def main() -> None:
        world = QuarantineWorld(5)
        await end_in_turn(world, FATAL, ends=2)
        assert not any(entry.is_quarantined() for entry in world.all())
        await end_in_turn(world, FATAL, ends=1)
        assert all(entry.is_quarantined() for entry in world.all())
        refusal = world.all()[0].quarantine.refusal(FATAL)
        assert refusal is not None
        assert refusal.reason is Reason.QUARANTINED
        world.end()

    run_virtually(main())


def test_a_quarantine_spreads_despite_lost_datagrams_and_a_store_outage() -> None:
    async def main() -> None:
        world = QuarantineWorld(6, loss_rate=0.3, outages=[Outage(0.0, 60.0)])
        await end_in_turn(world, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined() for entry in world.all())
        world.end()

    run_virtually(main())


def test_a_quarantine_spreads_through_the_store_without_datagrams() -> None:
    async def main() -> None:
        world = QuarantineWorld(4, loss_rate=1.0)
        first = world.all()[0]
        for _ in range(3):
            world.end_endpoint(first, FATAL)
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined() for entry in world.all())
        world.end()

    run_virtually(main())


def test_an_entry_that_starts_anew_reads_it_from_the_store() -> None:
    async def main() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, FATAL)
        await sleep(SPREAD_SECONDS)
        later = world.start(0)
        assert not later.is_quarantined()
        await sleep(0.1)
        assert later.is_quarantined()
        world.end()

    run_virtually(main())


def test_ends_that_others_remember_count_after_a_restart() -> None:
    async def main() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, FATAL, ends=2)
        later = world.start(0)
        world.end_endpoint(later, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined() for entry in world.all())
        world.end()

    run_virtually(main())


def test_a_whole_answer_at_any_entry_clears_a_request_at_all() -> None:
    async def main() -> None:
        world = QuarantineWorld(4)
        await end_in_turn(world, HARMLESS, ends=2)
        world.all()[3].sync.on_sound(HARMLESS)
        await sleep(SOUND_SECONDS + PAUSE)
        await end_in_turn(world, HARMLESS, ends=2)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(main())


def test_an_entry_that_has_just_had_a_whole_answer_objects() -> None:
    async def main() -> None:
        world = QuarantineWorld(4)
        successful = world.all()[3]
        for _ in range(4):
            successful.sync.on_sound(HARMLESS)
            world.end_endpoint(world.all()[0], HARMLESS)
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        assert all(not entry.sync.records.recorded for entry in world.all())
        world.end()

    run_virtually(main())


def test_a_run_that_ends_well_after_the_quarantine_ends_it_everywhere() -> None:
    async def main() -> None:
        world = QuarantineWorld(3)
        await end_in_turn(world, HARMLESS)
        await sleep(SPREAD_SECONDS)
        world.all()[1].sync.on_sound(HARMLESS)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        assert not world.start(0).is_quarantined(HARMLESS)
        await sleep(0.1)
        assert not world.all()[-1].is_quarantined(HARMLESS)
        world.end()

    run_virtually(main())


def test_a_removal_by_an_operator_outlasts_late_reports() -> None:
    """Guards against repeated datagrams that restore a quarantine after its removal.

    Entries repeat their datagrams for a second.
    """

    async def main() -> None:
        world = QuarantineWorld(4)
        for entry in world.all()[:3]:
            world.end_endpoint(entry, FATAL)
            await sleep(0.15)
        await sleep(0.15)
        assert all(entry.is_quarantined() for entry in world.all())
        log = ModelLog(world.store)
        await log.append(((FATAL, b""),), None)
        await sleep(SPREAD_SECONDS + SOUND_SECONDS)
        assert not any(entry.is_quarantined() for entry in world.all())
        assert not world.store.records[-1].value
        world.end()

    run_virtually(main())


def test_endpoints_that_end_together_quarantine_nothing() -> None:
    async def main() -> None:
        world = QuarantineWorld(3)
        for entry in world.all() * 3:
            world.end_endpoint(entry, HARMLESS)
        await sleep(SPREAD_SECONDS)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(main())


def test_ends_explained_by_a_fatal_request_count_against_no_other() -> None:
    """A request that shares two of the three ends of a fatal one stays served."""

    async def main() -> None:
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
            assert entry.is_quarantined(FATAL)
            assert not entry.is_quarantined(HARMLESS)
            assert not entry.quarantine.is_suspected(HARMLESS)
        world.end()

    run_virtually(main())


def test_runs_sent_after_the_end_of_an_endpoint_are_no_evidence() -> None:
    """A load balancer accepts connections for ended endpoints; reports arrive late."""

    async def main() -> None:
        world = QuarantineWorld(2)
        first, second = world.all()
        now = get_running_loop().time
        for number in range(3):
            ended = endpoint(number)
            boot = boot_name(ended)
            late = FatalRun(boot, now() - 0.1, now() - 0.05)
            second.sync.on_ended(ended, [EndedRun(HARMLESS, late)])
            await sleep(0.05)
            culprit = FatalRun(boot, now() - 0.5, now() - 0.3)
            first.sync.on_ended(ended, [EndedRun(FATAL, culprit)])
            await sleep(PAUSE)
        await sleep(SPREAD_SECONDS)
        for entry in world.all():
            assert entry.is_quarantined(FATAL)
            assert HARMLESS not in entry.quarantine.requests.runs
        world.end()

    run_virtually(main())


def test_an_endpoint_that_answers_invalidates_its_reported_end() -> None:
    async def main() -> None:
        world = QuarantineWorld(2)
        ended = [world.end_endpoint(world.all()[0], HARMLESS)]
        await sleep(2 * PAUSE)
        for entry in world.all():
            entry.quarantine.on_alive(boot_name(ended[0]))
        await end_in_turn(world, HARMLESS, ends=2)
        assert not any(entry.is_quarantined(HARMLESS) for entry in world.all())
        world.end()

    run_virtually(main())


async def send_invalid_messages(entry: QuarantineEntry) -> None:
    """Send reports of an unknown process, and invalid or late ones of an entry."""
    foreign = EndpointEndedMessage("entry-9#1", "i-1/", 0.0, (ReportedRun(FATAL, 1.0),))
    entry.sync.on_message(foreign)
    entry.sync.on_message(QuarantineMessage("entry-9#1", FATAL, ()))
    known = entry.boot
    runs = (
        ReportedRun("x", 1.0),
        ReportedRun(FATAL, -1.0),
        ReportedRun(FATAL, float("nan")),
    )
    for age in (-1.0, 11.0, float("nan"), 0.5):
        entry.sync.on_message(EndpointEndedMessage(known, "i-2/", age, runs))
    entry.sync.on_message(QuarantineMessage(known, "x" * 300, ()))
    entry.sync.on_message(SoundMessage(known, "x" * 300))
    await sleep(SPREAD_SECONDS)


def test_foreign_damaged_and_late_datagrams_change_nothing() -> None:
    async def main() -> None:
        world = QuarantineWorld(1)
        entry = world.all()[0]
        await send_invalid_messages(entry)
        assert not entry.quarantine.requests.runs
        assert not entry.quarantine.quarantined
        assert not entry.quarantine.requests.sound_at
        world.end()

    run_virtually(main())


def test_repeated_datagrams_count_once() -> None:
    async def main() -> None:
        world = QuarantineWorld(2)
        entry = world.all()[0]
        runs = (ReportedRun(FATAL, 0.2),)
        for _ in range(5):
            message = EndpointEndedMessage(entry.boot, "i-1/", 0.1, runs)
            entry.sync.on_message(message)
            await sleep(PAUSE)
        assert not entry.quarantine.is_suspected(FATAL)
        world.end()

    run_virtually(main())


def test_a_flood_of_other_requests_evicts_no_suspect() -> None:
    now = 0.0
    quarantine = Quarantine(lambda: now)
    for number in range(2):
        run = FatalRun(f"s{number}", 1.0 * number, number + 0.5)
        quarantine.on_run_ended("c" * 24, run)
    quarantine.put(FATAL, "endpoints ended under it")
    for number in range(3 * MAX_SUSPECTS):
        run = FatalRun(f"e{number}", now, now)
        quarantine.on_run_ended(f"{number:024x}", run)
    assert len(quarantine.requests.runs) == MAX_SUSPECTS
    assert quarantine.is_suspected("c" * 24)
    assert quarantine.refusal(FATAL) is not None
    for number in range(MAX_QUARANTINED + 10):
        quarantine.put(f"{number:024x}", "told so")
    assert len(quarantine.quarantined) == MAX_QUARANTINED


def test_suspects_run_one_at_a_time_and_waiting_calls_get_the_decision() -> None:
    async def main() -> None:
        world = QuarantineWorld(1)
        entry = world.all()[0]
        quarantine = entry.quarantine
        await end_in_turn(world, FATAL, ends=2)
        with quarantine.runs.running(FATAL):
            waiting = create_task(quarantine.wait_for_turn(FATAL, 100.0))
            await sleep(0.2)
            assert not waiting.done()
            world.end_endpoint(entry, FATAL)
        refusal = await waiting
        assert refusal is not None
        assert refusal.reason is Reason.QUARANTINED
        world.end()

    run_virtually(main())


def test_datagrams_about_one_end_are_bounded() -> None:
    """Each entry with calls there sends each other entry three one-packet datagrams."""
    entries = 100

    async def main() -> None:
        world = QuarantineWorld(entries)
        busy = world.all()[:8]
        world.end_under(dict.fromkeys(busy, (HARMLESS, FATAL)))
        await sleep(SPREAD_SECONDS)
        assert world.datagrams <= 3 * len(busy) * (entries - 1)
        world.end_endpoint(world.all()[0], *(f"{number:024x}" for number in range(64)))
        await sleep(SPREAD_SECONDS)
        assert world.largest_datagram <= 1_400
        world.end()

    run_virtually(main())
