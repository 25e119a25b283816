"""Verdicts on parts of prompts, and their exchange between entries."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable, Coroutine
from itertools import count
from math import inf, nan
from typing import Any

import pytest
from msgspec import Struct
from msgspec.msgpack import decode

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    FatalityMessage,
    QuarantineMessage,
    ReportedPart,
    ReportedRun,
    RunDetails,
    SoundMessage,
    decode_message,
    encode_message,
)
from clementinebend_relay.models import Reason, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.evidence import (
    MAX_SUSPECTS,
    PART_GRACE_SECONDS,
    SOUND_SECONDS,
)
from clementinebend_relay.quarantine.part_reports import MAX_PARTS_PER_MESSAGE
from clementinebend_relay.quarantine.state import QUARANTINE_RETRY_DELAY
from clementinebend_relay.quarantine.subjects import (
    is_part,
    is_valid_subject,
    part_subject,
)
from clementinebend_relay.quarantine.trials import PART_TRIAL_DELAYS, TRIAL_SECONDS
from clementinebend_routing.fatal_runs import PART_RISK_SECONDS, FatalRun, part_run
from tests.unit.relay.quarantine_world import (
    QuarantineEntry,
    QuarantineWorld,
    endpoint,
)

PART = part_subject("5c1e07a2")
SHARED = part_subject("aa")
REPEATED, BYSTANDER = "d" * 24, "e" * 24
GAP = 0.5
DECIDED_SECONDS = 0.5
SPREAD_SECONDS = 2.0
RUN_SECONDS = 0.1
STREAMED_SECONDS = 0.01
PACKET_BYTES = 1_400

Scenario = Callable[[QuarantineWorld], Coroutine[Any, Any, None]]


class PartWorld(QuarantineWorld):
    """Entries whose endpoints end under requests with some parts."""

    requests = count(1)

    def end_with(
        self,
        parts: tuple[str, ...],
        entry: int = 0,
        request: str | None = None,
        streamed: float | None = None,
    ) -> str:
        """End an endpoint under a request that no other one resembles, or a named one.

        ``streamed`` is for how long it had been writing, if it had begun. Returns the
        endpoint's boot.
        """
        now = get_running_loop().time()
        ended = endpoint(next(self.numbers))
        event_at = None if streamed is None else now - streamed
        sent_at = now - RUN_SECONDS - (streamed or 0.0)
        run = FatalRun(boot_name(ended), sent_at, now, event_at)
        fingerprint = request or f"{next(self.requests):024x}"
        at = self.all()[entry]
        at.sync.on_ended(ended, [EndedRun(fingerprint, run, parts)])
        return boot_name(ended)


def play(
    scenario: Callable[[PartWorld], Coroutine[Any, Any, None]], **named: Any
) -> None:
    """Play a scenario with three entries, in virtual time."""

    async def main() -> None:
        world = PartWorld(3, **named)
        try:
            await scenario(world)
        finally:
            world.end()
            await sleep(0)

    run_virtually(main())


def is_refused(entry: QuarantineEntry, *parts: str) -> bool:
    """Tell whether an entry refuses a request that it has never seen."""
    return entry.quarantine.refusal("f" * 24, parts) is not None


async def quarantine(world: PartWorld, *parts: str) -> None:
    """Let three endpoints end under different requests with the parts."""
    for number in range(3):
        world.end_with(parts or (PART,), number)
        await sleep(GAP)


def test_three_ends_under_different_requests_quarantine_their_part_everywhere() -> None:
    async def scenario(world: PartWorld) -> None:
        await quarantine(world)
        assert all(is_refused(entry, SHARED, PART) for entry in world.all())
        assert not any(is_refused(entry, SHARED) for entry in world.all())
        refusal = world.all()[2].quarantine.refusal("f" * 24, (PART,))
        assert refusal is not None
        assert refusal.reason is Reason.PART_QUARANTINED
        assert PART in refusal.message
        assert refusal.retry_after is not None
        latest = PART_TRIAL_DELAYS[0] + 2 * TRIAL_SECONDS
        assert PART_TRIAL_DELAYS[0] - SPREAD_SECONDS < refusal.retry_after <= latest

    play(scenario)


def test_a_request_that_is_repeated_condemns_none_of_its_parts() -> None:
    async def scenario(world: PartWorld) -> None:
        for number in range(5):
            world.end_with((PART,), number % 3, request="d" * 24)
            await sleep(GAP)
        assert not any(is_refused(entry, PART) for entry in world.all())
        assert all("d" * 24 in entry.quarantine.quarantined for entry in world.all())

    play(scenario)


async def end_beside_each_other(world: PartWorld) -> None:
    """End three endpoints under one request, two of them beside a harmless one."""
    for number, is_shared in enumerate((True, True, False)):
        ended = endpoint(next(world.numbers))
        now = get_running_loop().time()
        run = FatalRun(boot_name(ended), now - RUN_SECONDS, now, now - STREAMED_SECONDS)
        at = world.all()[number % 2]
        at.sync.on_ended(ended, [EndedRun(REPEATED, run, (PART,))])
        if is_shared:
            at = world.all()[2]
            at.sync.on_ended(ended, [EndedRun(BYSTANDER, run, (PART,))])
        await sleep(GAP / 2)
    await sleep(DECIDED_SECONDS)


def test_a_request_at_all_ends_condemns_none_of_its_parts() -> None:
    """Guards against harmless calls that are refused for a part they share with it."""

    async def scenario(world: PartWorld) -> None:
        await end_beside_each_other(world)
        await sleep(SPREAD_SECONDS)
        assert not any(is_refused(entry, PART) for entry in world.all())
        assert all(REPEATED in entry.quarantine.quarantined for entry in world.all())

    play(scenario)


def test_a_part_is_tried_without_a_request_that_was_at_all_of_its_ends() -> None:
    """Guards against a trial that ends its endpoint under that request."""

    async def scenario(world: PartWorld) -> None:
        await end_beside_each_other(world)
        await sleep(PART_TRIAL_DELAYS[0] + 1.0)
        refusals = [
            entry.quarantine.refusal(REPEATED, (PART,)) for entry in world.all()
        ]
        assert all(refusals)

    play(scenario)


def test_ends_under_a_single_request_make_no_suspect_of_its_parts() -> None:
    async def scenario(world: PartWorld) -> None:
        for number in range(2):
            world.end_with((PART,), number, request="d" * 24)
            await sleep(GAP)
        suspects = [entry.quarantine.is_suspected(PART) for entry in world.all()]
        assert not any(suspects)
        world.end_with((PART,), 2)
        await sleep(GAP / 10)
        assert all(entry.quarantine.is_suspected(PART) for entry in world.all())

    play(scenario)


def test_an_entry_at_which_a_part_runs_well_says_so_when_it_hears_of_an_end() -> None:
    """Guards against evidence that grows at entries which rarely see the part."""

    async def scenario(world: PartWorld) -> None:
        world.all()[2].sync.on_sound(SHARED)
        world.end_with((SHARED,), 0)
        await sleep(GAP)
        assert not any(entry.quarantine.parts.runs for entry in world.all())

    play(scenario)


def test_endpoints_that_end_together_are_one_end() -> None:
    """Guards against a loss of a zone that is held against what all prompts share."""

    async def scenario(world: PartWorld) -> None:
        for _ in range(3):
            for number in range(9):
                world.end_with((SHARED,), number % 3)
                await sleep(PART_RISK_SECONDS / 20)
            await sleep(GAP)
            world.all()[1].sync.on_sound(SHARED)
            await sleep(4.0)
        assert not any(is_refused(entry, SHARED) for entry in world.all())

    play(scenario)


def test_a_part_on_which_an_endpoint_has_written_for_longer_is_no_cause() -> None:
    async def scenario(world: PartWorld) -> None:
        for number in range(6):
            world.end_with((PART,), number % 3, streamed=2 * PART_RISK_SECONDS)
            await sleep(GAP)
        assert not any(is_refused(entry, PART) for entry in world.all())

    play(scenario)


def test_a_good_run_at_another_entry_frees_a_part() -> None:
    """Guards against a class of callers that is refused for kills by another cause."""

    async def scenario(world: PartWorld) -> None:
        for number in range(6):
            world.end_with((SHARED,), 0)
            await sleep(GAP)
            if number % 2:
                world.all()[2].sync.on_sound(SHARED)
                await sleep(3.0)
        assert not any(is_refused(entry, SHARED) for entry in world.all())

    play(scenario)


def test_an_entry_at_which_a_part_ran_well_since_the_first_end_objects() -> None:
    """Its good run is older than what counts as recent, but later than an end."""

    async def scenario(world: PartWorld) -> None:
        objecting = world.all()[2]
        ended = world.end_with((SHARED,), 0)
        await sleep(GAP)
        objecting.quarantine.parts.pop(SHARED)
        objecting.quarantine.parts.set_sound(SHARED, get_running_loop().time())
        handle = objecting.sync.on_message

        def hear_verdicts(message: FatalityMessage) -> None:
            if isinstance(message, QuarantineMessage):
                handle(message)

        objecting.sync.on_message = hear_verdicts  # type: ignore[method-assign]
        await sleep(SOUND_SECONDS)
        for number in range(2):
            world.end_with((SHARED,), number)
            await sleep(GAP)
        assert objecting.quarantine.ends.known_end(ended) < inf
        assert not any(SHARED in entry.quarantine.quarantined for entry in world.all())

    play(scenario)


def test_an_entry_that_is_told_of_a_good_run_does_not_tell_of_another_one() -> None:
    """Guards against entries that keep a part for sound which ends endpoints by now."""

    async def scenario(world: PartWorld) -> None:
        world.end_with((PART,), 0)
        await sleep(GAP)
        world.all()[2].sync.on_sound(PART)
        for number in range(12):
            await sleep(GAP)
            world.end_with((PART,), number % 3)
        await sleep(GAP)
        assert all(is_refused(entry, PART) for entry in world.all())

    play(scenario)


def test_a_good_run_takes_only_earlier_ends_off_a_part() -> None:
    async def scenario(world: PartWorld) -> None:
        entry, other = world.all()[0], world.all()[1].boot
        world.end_with((PART,), 0)
        await sleep(GAP + PART_GRACE_SECONDS)
        ended = world.end_with((PART,), 0)
        entry.sync.on_message(SoundMessage(other, PART, 1.1 * PART_GRACE_SECONDS))
        evidence = entry.quarantine.parts.get(PART)
        assert [run.endpoint for run in evidence] == [ended]
        await quarantine(world)
        entry.sync.on_message(SoundMessage(other, PART, 4 * GAP))
        assert is_refused(entry, PART)
        entry.sync.on_message(SoundMessage(other, PART, GAP / 2))
        assert not is_refused(entry, PART)

    play(scenario)


def test_a_good_run_ends_a_quarantine_of_which_no_end_is_known() -> None:
    async def scenario(world: PartWorld) -> None:
        entry, other = world.all()[0], world.all()[1].boot
        entry.sync.on_message(QuarantineMessage(other, PART, ()))
        await sleep(GAP)
        assert is_refused(entry, PART)
        entry.sync.on_message(SoundMessage(other, PART, GAP / 2))
        assert not is_refused(entry, PART)

    play(scenario)


@pytest.mark.parametrize("ago", [-1.0, 11.0, inf, nan])
def test_good_runs_at_impossible_times_are_ignored(ago: float) -> None:
    async def scenario(world: PartWorld) -> None:
        await quarantine(world)
        entry, other = world.all()[0], world.all()[1].boot
        entry.sync.on_message(SoundMessage(other, PART, ago))
        assert is_refused(entry, PART)

    play(scenario)


def test_a_verdict_on_a_part_takes_its_ends_off_all_else() -> None:
    async def scenario(world: PartWorld) -> None:
        bystander = part_subject("bystander")
        for number in range(3):
            if number:
                world.end_with((PART,), number)
            else:
                world.end_with((PART, bystander), number, request="e" * 24)
            await sleep(GAP)
        for entry in world.all():
            assert is_refused(entry, PART)
            assert not entry.quarantine.parts.runs
            assert not entry.quarantine.requests.runs

    play(scenario)


def test_of_two_parts_at_the_same_ends_the_one_of_fewer_runs_is_the_cause() -> None:
    """Guards against five ends, or the refusal of all, where none has run well yet."""

    async def scenario(world: PartWorld) -> None:
        for entry in world.all():
            entry.quarantine.runs.begun.update({SHARED: 9, PART: 3})
        await quarantine(world, SHARED, PART)
        assert all(is_refused(entry, PART) for entry in world.all())
        assert not any(is_refused(entry, SHARED) for entry in world.all())

    play(scenario)


def test_a_part_of_many_runs_waits_for_a_suspect_of_fewer() -> None:
    """Guards against the refusal of all while one end of the cause is not known yet."""

    async def scenario(world: PartWorld) -> None:
        for entry in world.all():
            entry.quarantine.runs.begun.update({SHARED: 9, PART: 3})
        for parts in ((SHARED, PART), (SHARED, PART), (SHARED,)):
            world.end_with(parts)
            await sleep(GAP)
        assert not any(is_refused(entry, SHARED) for entry in world.all())
        world.end_with((SHARED, PART))
        await sleep(GAP)
        assert all(is_refused(entry, PART) for entry in world.all())
        assert not any(is_refused(entry, SHARED) for entry in world.all())

    play(scenario)


def test_an_entry_that_ran_neither_part_leaves_the_decision_to_others() -> None:
    """Guards against a part that all share and of which an entry knows one end more."""

    async def scenario(world: PartWorld) -> None:
        for entry in world.all()[:2]:
            for other in (PART, "part-m1", "part-m2"):
                with entry.quarantine.runs.running("e" * 24, SHARED, other):
                    pass
        judging = world.all()[2].quarantine
        judging.parts.add(SHARED, FatalRun("i-99/", -1.1, -1.0, request="d" * 24))
        for number in range(3):
            world.end_with((SHARED, PART), number % 2)
            await sleep(GAP if number < 2 else GAP / 10)
        assert len(judging.parts.get(SHARED)) > len(judging.parts.get(PART))
        assert not judging.verdicts.is_fatal(SHARED)
        await sleep(GAP)
        assert all(is_refused(entry, PART) for entry in world.all())
        assert not any(is_refused(entry, SHARED) for entry in world.all())

    play(scenario)


def test_a_part_is_tried_without_those_that_were_at_its_ends() -> None:
    """Guards against a trial that ends its endpoint under another part."""

    async def scenario(world: PartWorld) -> None:
        for entry in world.all():
            entry.quarantine.runs.begun.update({SHARED: 9, PART: 3})
        for parts in ((SHARED, PART), (SHARED,), (SHARED,)):
            world.end_with(parts)
            await sleep(GAP)
        assert all(is_refused(entry, SHARED) for entry in world.all())
        await sleep(PART_TRIAL_DELAYS[0])
        trying = [entry for entry in world.all() if not is_refused(entry, SHARED)]
        assert len(trying) == 1
        assert is_refused(trying[0], SHARED, PART)

    play(scenario)


def test_a_call_waits_for_the_decision_about_its_part() -> None:
    """Guards against one more endpoint for each call that comes before it."""

    async def scenario(world: PartWorld) -> None:
        await quarantine_all_but_decided(world)
        entry = world.all()[2].quarantine
        before = get_running_loop().time()
        refusal = await entry.wait_for_turn("f" * 24, before + 4.0, True, (PART,))
        assert refusal is not None
        assert refusal.reason is Reason.PART_QUARANTINED
        waited = get_running_loop().time() - before
        assert waited <= DECIDED_SECONDS
        assert await entry.wait_for_turn("f" * 24, before + 4.0, True) is None

    play(scenario)


async def quarantine_all_but_decided(world: PartWorld) -> None:
    """Let three endpoints end under different requests with the part just now."""
    for number in range(3):
        await sleep(GAP)
        world.end_with((PART,), number)


def test_verdicts_on_parts_spread_without_datagrams_and_to_entries_that_start() -> None:
    async def scenario(world: PartWorld) -> None:
        for _ in range(3):
            world.end_with((PART,), 0)
            await sleep(GAP)
        await sleep(SPREAD_SECONDS)
        assert all(PART in entry.quarantine.quarantined for entry in world.all())
        later = world.start(1)
        await sleep(DECIDED_SECONDS)
        assert PART in later.quarantine.quarantined

    play(scenario, loss_rate=1.0)


def test_an_operator_lifts_the_quarantine_of_a_part() -> None:
    async def scenario(world: PartWorld) -> None:
        await quarantine(world)
        await sleep(SPREAD_SECONDS)
        log = world.all()[0].sync.records.log
        await log.append(((PART, b""),), None)
        await sleep(2 * SPREAD_SECONDS + 1.0)
        assert not any(PART in entry.quarantine.quarantined for entry in world.all())

    play(scenario)


def test_one_entry_tries_a_quarantined_part_with_one_run() -> None:
    async def scenario(world: PartWorld) -> None:
        await quarantine(world)
        await sleep(PART_TRIAL_DELAYS[0] + 1.0)
        trying = [entry for entry in world.all() if not is_refused(entry, PART)]
        assert len(trying) == 1
        (entry,) = trying
        with entry.quarantine.runs.running("f" * 24, PART):
            assert is_refused(entry, PART)
        world.end_with((PART,), world.all().index(entry))
        await sleep(DECIDED_SECONDS)
        assert all(is_refused(each, PART) for each in world.all())
        refusal = entry.quarantine.rejection(PART)
        assert refusal.retry_after is not None
        assert refusal.retry_after > QUARANTINE_RETRY_DELAY
        await sleep(PART_TRIAL_DELAYS[1])
        assert not is_refused(entry, PART)
        entry.sync.on_sound(PART)
        await sleep(DECIDED_SECONDS)
        assert not any(is_refused(each, PART) for each in world.all())

    play(scenario)


class OlderMessage(Struct, tag="endpoint-ended", array_like=True):
    """The report of an end as older builds know it."""

    boot: str
    endpoint: str
    ended_ago: float
    runs: tuple[ReportedRun, ...]
    details: tuple[RunDetails, ...] = ()


def test_older_builds_read_reports_of_parts_as_ends_without_runs() -> None:
    """Guards against reports that are lost while two builds run side by side."""
    parts = (ReportedPart(PART, "c" * 24, 0.6),)
    message = EndpointEndedMessage("a#1", "i-1/", 0.5, (), parts=parts)
    older = decode(encode_message(message), type=OlderMessage)
    assert older.runs == ()


def test_older_builds_read_good_runs_without_an_age() -> None:
    class OlderMessage(Struct, tag="sound", array_like=True):
        boot: str
        fingerprint: str

    data = encode_message(SoundMessage("a#1", PART, 0.5))
    assert decode(data, type=OlderMessage) == OlderMessage("a#1", PART)
    older = encode_message(OlderMessage("a#1", PART))  # type: ignore[arg-type]
    assert decode_message(older) == SoundMessage("a#1", PART, 0.0)


def test_reports_fit_into_a_packet() -> None:
    async def scenario(world: PartWorld) -> None:
        names = (f"{'x' * 60}{number}" for number in range(5 * MAX_PARTS_PER_MESSAGE))
        world.end_with(tuple(map(part_subject, names)))
        await sleep(SPREAD_SECONDS)
        assert 0 < world.largest_datagram < PACKET_BYTES

    play(scenario)


def test_many_new_parts_displace_none_with_more_ends() -> None:
    async def scenario(world: PartWorld) -> None:
        for _ in range(2):
            world.end_with((PART,))
            await sleep(GAP)
        for number in range(MAX_SUSPECTS // 30):
            parts = (part_subject(f"new{number}.{each}") for each in range(32))
            world.end_with(tuple(parts))
        table = world.all()[0].quarantine.parts
        assert len(table.runs) <= MAX_SUSPECTS
        assert table.is_suspected(PART)

    play(scenario)


@pytest.mark.parametrize("name", ["x" * 1000, "", "a/b", "a b", "é", "\n", "~aa"])
def test_unusual_names_of_parts_become_subjects_of_bounded_length(name: str) -> None:
    subject = part_subject(name)
    assert is_part(subject)
    assert is_valid_subject(subject)
    assert len(subject) < 40
    assert subject != part_subject(f"{name}.")


@pytest.mark.parametrize("subject", ["part-", "part-a b", "part-" + "x" * 33, "xyz"])
def test_invalid_subjects_of_other_processes_are_ignored(subject: str) -> None:
    async def scenario(world: PartWorld) -> None:
        entry = world.all()[0]
        other = world.all()[1].boot
        entry.sync.on_message(SoundMessage(other, subject))
        part = ReportedPart(subject, "c" * 24, 0.6)
        entry.sync.on_message(
            EndpointEndedMessage(other, "i-1/", 0.5, (), parts=(part,))
        )
        assert not entry.quarantine.parts.runs
        assert not entry.quarantine.parts.sound_at

    play(scenario)


def test_a_run_counts_against_parts_only_as_its_endpoint_begins_to_write() -> None:
    run = FatalRun("i-1/", 1.0, 5.0)
    known = part_run(run, "r")
    assert known is not None
    assert known.sent_at == 5.0 - PART_RISK_SECONDS
    assert known.request == "r"
    assert part_run(run._replace(first_event_at=4.9), "r") is not None
    assert part_run(run._replace(first_event_at=4.5), "r") is None
