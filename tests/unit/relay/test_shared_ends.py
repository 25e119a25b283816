"""A harmless request that shares ends of endpoints with a fatal one is served on.

Each test forces one order of events in which the evidence against the two differs.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable, Iterable
from contextlib import nullcontext

import pytest

from clementinebend_bench.models.mark_store import ModelLog
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.messages import Message
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine.end_detector import (
    CONNECT_DELAYS,
    EndDetector,
    EndedRun,
)
from clementinebend_relay.quarantine.evidence import SOUND_SECONDS
from clementinebend_relay.quarantine.news import REPEAT_DELAYS
from clementinebend_relay.quarantine.verdicts import DECISION_DELAY
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.client_connection import Address
from tests.unit.relay.quarantine_world import (
    FATAL,
    HARMLESS,
    RUN_SECONDS,
    QuarantineEntry,
    QuarantineWorld,
    endpoint,
)

PAUSE = 2.0
"""Seconds between ends: all decisions about one are over before the next."""
SPREAD_SECONDS = 2.0
USUAL_LAG = 0.1
"""Seconds between the reports of one end, less than the delay of a decision."""

NEW_BOOT_SECONDS = 1.0
"""Seconds after which another boot is at the address of an ended endpoint."""

BETWEEN_REPEAT_AND_DECISION = REPEAT_DELAYS[1] + DECISION_DELAY
"""Seconds after a report at which its repetition has scheduled a decision."""

SHORT_RUN_SECONDS = 0.005
SLOW_DATAGRAM_SECONDS = 0.06

COLLECT_PAUSE = 0.1
"""Seconds in which a detector has made its first check and its report."""

ENDED = Endpoint("i-1", "pool", Address("127.0.0.1", 9), "z", 4, False)

Scenario = Callable[[QuarantineWorld], Awaitable[None]]


@pytest.fixture(autouse=True)
def _same_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let all entries decide equally long after a report, so that no run differs."""
    monkeypatch.setattr("clementinebend_relay.quarantine.verdicts.random", lambda: 0.5)


class SlowWorld(QuarantineWorld):
    """Entries whose datagrams are delayed while ``delay`` is above 0."""

    delay = 0.0

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a datagram to each address after the delay."""
        send = super().send_all
        get_running_loop().call_later(self.delay, send, message, tuple(addresses))


def play(scenario: Scenario, is_cause_refused: bool = True) -> None:
    """Play a scenario; check that only the fatal request is quarantined.

    ``is_cause_refused`` tells whether the fatal one must be by then.
    """
    refused = refusals(scenario)
    assert not any(HARMLESS in names for names in refused), "it harms nothing"
    if is_cause_refused:
        assert all(FATAL in names for names in refused), "the cause is not found"


def refusals(scenario: Scenario) -> list[set[str]]:
    """Play a scenario; return the requests that each entry refuses after it."""

    async def main() -> list[set[str]]:
        world = SlowWorld(3)
        try:
            await scenario(world)
            await sleep(SPREAD_SECONDS)
            return [set(entry.quarantine.quarantined) for entry in world.all()]
        finally:
            world.end()
            await sleep(0)

    return run_virtually(main())


def report(
    entry: QuarantineEntry,
    ended: Endpoint,
    fingerprint: str,
    ended_at: float,
    seconds: float = RUN_SECONDS,
) -> None:
    """Let an entry report that an endpoint ended under a run that took ``seconds``."""
    run = FatalRun(boot_name(ended), ended_at - seconds, ended_at)
    entry.sync.on_ended(ended, [EndedRun(fingerprint, run)])


async def end_shared(world: QuarantineWorld, ends: int, pause: float = PAUSE) -> None:
    """End endpoints in turn, under the fatal request and the harmless one."""
    cause, neighbour, _ = world.all()
    for _ in range(ends):
        world.end_under({cause: (FATAL,), neighbour: (HARMLESS,)})
        await sleep(pause)


async def end_with_late_cause(world: QuarantineWorld, lag: float) -> None:
    """End an endpoint under both; the cause is reported ``lag`` seconds later."""
    cause, neighbour, _ = world.all()
    ended_at, ended = get_running_loop().time(), endpoint(90)
    report(neighbour, ended, HARMLESS, ended_at)
    await sleep(lag)
    report(cause, ended, FATAL, ended_at)
    await sleep(PAUSE)


async def end_alone(world: QuarantineWorld, ends: int, fingerprint: str) -> None:
    """End endpoints in turn under one of the requests."""
    for _ in range(ends):
        world.end_endpoint(world.all()[2], fingerprint)
        await sleep(PAUSE)


def test_three_shared_ends_then_one_of_the_cause_alone() -> None:
    """Guards against a decision while either request may be the cause."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 3)
        await end_alone(world, 1, FATAL)

    play(scenario)


@pytest.mark.parametrize(
    "pause", [BETWEEN_REPEAT_AND_DECISION, PAUSE], ids=["due", "none"]
)
def test_a_repeated_report_brings_no_decision_about_a_new_end(pause: float) -> None:
    """Guards against a decision about a new end that an older report has scheduled.

    The report of the cause arrives later than that of its neighbour, but within the
    delay of a decision.
    """

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 1)
        await end_shared(world, 1, pause)
        await end_with_late_cause(world, USUAL_LAG)
        await end_alone(world, 1, FATAL)

    play(scenario)


@pytest.mark.parametrize(
    "lag", [CONNECT_DELAYS[1], NEW_BOOT_SECONDS], ids=["second", "boot"]
)
def test_an_entry_proves_the_third_end_of_the_cause_late(lag: float) -> None:
    """Guards against a decision before the entry that ran the cause has its proof.

    It has it from its second connection to the address, or from the store's
    announcement of another boot.
    """

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        await end_with_late_cause(world, lag)
        await end_alone(world, 1, FATAL)

    play(scenario)


def test_an_entry_that_ran_the_cause_stops_before_its_report() -> None:
    """Guards against an end whose cause no entry remembers."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        world.start(0)
        world.end_endpoint(world.all()[1], HARMLESS)
        await sleep(PAUSE)
        await end_alone(world, 2, FATAL)

    play(scenario)


def test_the_first_report_of_the_third_end_is_lost() -> None:
    """Guards against a decision sooner than a lost datagram is repeated."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        world.loss_rate = 1.0
        cause, neighbour, _ = world.all()
        world.end_under({cause: (FATAL,), neighbour: (HARMLESS,)})
        await sleep(0.1)
        world.loss_rate = 0.0
        await sleep(PAUSE)
        await end_alone(world, 1, FATAL)

    play(scenario)


def test_the_report_of_a_short_run_of_the_cause_arrives_slowly() -> None:
    """Guards against a run that a slow datagram makes look sent after the end."""

    async def scenario(world: QuarantineWorld) -> None:
        assert isinstance(world, SlowWorld)
        world.delay = SLOW_DATAGRAM_SECONDS
        cause, neighbour, _ = world.all()
        for number in range(3):
            now, ended = get_running_loop().time(), endpoint(90 + number)
            report(neighbour, ended, HARMLESS, now)
            report(cause, ended, FATAL, now, SHORT_RUN_SECONDS)
            await sleep(PAUSE)
        await end_alone(world, 1, FATAL)

    play(scenario)


def test_an_end_of_another_cause_after_two_shared_ones() -> None:
    """Guards against shared ends that make up for ends of the request's own."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        await end_alone(world, 1, HARMLESS)
        await end_alone(world, 1, FATAL)

    play(scenario)


def test_an_end_of_another_cause_before_three_shared_ones() -> None:
    """Guards against a false quarantine that explains the ends of the cause."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_alone(world, 1, HARMLESS)
        await end_shared(world, 3)
        await end_alone(world, 2, FATAL)

    play(scenario)


def test_five_shared_ends_are_held_against_one_request_only() -> None:
    """Guards against both of two requests quarantined by the same five ends.

    Which of them is the cause cannot be told; the ends explained by one count against
    no other.
    """
    refused = refusals(lambda world: end_shared(world, 5))
    assert all(len(names) < 2 for names in refused), "the same ends refuse both"


def test_the_harmless_run_of_a_later_end_is_reported_first() -> None:
    """Guards against ends after a quarantine that explain only later reports."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_alone(world, 3, FATAL)
        cause, neighbour, _ = world.all()
        for _ in range(3):
            world.end_under({neighbour: (HARMLESS,), cause: (FATAL,)})
            await sleep(PAUSE)

    play(scenario)


def test_a_record_of_the_store_explains_its_ends() -> None:
    """Guards against a record whose list of endpoints is not read."""

    async def scenario(world: QuarantineWorld) -> None:
        world.loss_rate = 1.0
        cause, neighbour, _ = world.all()
        for _ in range(2):
            world.end_under({cause: (FATAL,), neighbour: (HARMLESS,)})
            await sleep(PAUSE)
        world.end_endpoint(cause, FATAL)
        await sleep(SPREAD_SECONDS)
        assert all(entry.is_quarantined(FATAL) for entry in world.all())
        world.end_endpoint(neighbour, HARMLESS)

    play(scenario)


def test_a_lifted_request_still_ends_endpoints() -> None:
    """Guards against ends that are excused for the cause but not for its neighbour."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_alone(world, 3, FATAL)
        await sleep(SPREAD_SECONDS)
        await ModelLog(world.store).append(((FATAL, b""),), None)
        await sleep(0.2)
        assert not any(entry.is_quarantined(FATAL) for entry in world.all())
        await end_shared(world, 3)
        await sleep(SOUND_SECONDS)

    play(scenario, is_cause_refused=False)


def test_late_words_of_an_endpoint_are_read_before_its_end() -> None:
    """Guards against words that disprove an end for the cause but not for others.

    An entry that is slow reads what the endpoint sent before its end, and then the end.
    """

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        cause, neighbour, _ = world.all()
        ended_at, ended = get_running_loop().time(), endpoint(90)
        await sleep(0.6)
        neighbour.quarantine.on_alive(boot_name(ended))
        await sleep(0.1)
        report(neighbour, ended, HARMLESS, ended_at + 0.7, seconds=0.8)
        report(cause, ended, FATAL, ended_at)
        await sleep(PAUSE)
        await end_alone(world, 1, FATAL)

    play(scenario)


def test_an_entry_that_ran_the_cause_is_not_known_yet() -> None:
    """Guards against reports that are refused as their sender has just started."""

    async def scenario(world: QuarantineWorld) -> None:
        await end_shared(world, 2)
        before = world.all()[0]
        cause = world.start(0)
        neighbour = world.entries[Address("10.0.0.1", 1)]
        old = Announcement(before.boot, "z", *before.address)
        neighbour.directory.put(before.name, old)
        world.end_under({cause: (FATAL,), neighbour: (HARMLESS,)})
        await sleep(PAUSE)
        neighbour.directory.put(
            cause.name, Announcement(cause.boot, "z", *cause.address)
        )
        await end_alone(world, 2, FATAL)

    play(scenario)


class Watch:
    """One entry's detector of the end of ``ENDED``, and what it reported."""

    def __init__(self) -> None:
        self.now = 100.0
        self.reported: set[str] = set()
        self.state = EndpointState(ENDED, 0.0)
        self.detector = EndDetector(
            lambda: self.now, lambda _: nullcontext(), self._on_ended
        )

    def hear(self, at: float) -> None:
        """Receive bytes from the endpoint."""
        self.now = at
        self.state.on_heard(at)
        self.detector.on_alive(boot_name(ENDED))

    def break_off(self, at: float, fingerprint: str, sent_at: float) -> None:
        """Lose the answer to a request."""
        self.now = at
        self.detector.on_broken(self.state, fingerprint, sent_at)

    def _on_ended(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        self.reported |= {each.fingerprint for each in runs}


async def find_another_boot(*watches: Watch) -> set[str]:
    """Let entries read of another boot; return what they report in all."""
    for watch in watches:
        watch.detector.on_gone(ENDED)
    await sleep(COLLECT_PAUSE)
    return {name for watch in watches for name in watch.reported}


async def test_a_break_shortly_before_the_end_hides_no_cause() -> None:
    """Guards against an end dated before its cause was sent, by an unrelated break.

    The endpoint answers in between, so that it cannot have ended at the first break.
    """
    watch = Watch()
    watch.hear(99.9)
    watch.break_off(100.0, HARMLESS, sent_at=99.9)
    watch.hear(100.2)
    watch.break_off(100.3, FATAL, sent_at=100.25)
    assert FATAL in await find_another_boot(watch)


async def test_an_entry_with_few_calls_hides_no_cause() -> None:
    """Guards against a cause not counted as its entry has not heard the endpoint.

    Another entry has, and counts the harmless run that was lost with it.
    """
    quiet, busy = Watch(), Watch()
    quiet.hear(98.0)
    busy.hear(99.95)
    quiet.break_off(100.0, FATAL, sent_at=99.99)
    busy.break_off(100.0, HARMLESS, sent_at=99.9)
    assert await find_another_boot(quiet, busy) != {HARMLESS}


async def test_an_entry_that_heard_of_the_leaving_hides_no_cause() -> None:
    """Guards against an end that is expected where the cause ran, and not elsewhere."""
    told, untold = Watch(), Watch()
    for watch in (told, untold):
        watch.hear(99.95)
    told.state.on_leaving(99.95)
    told.break_off(100.0, FATAL, sent_at=99.99)
    untold.break_off(100.0, HARMLESS, sent_at=99.9)
    assert await find_another_boot(told, untold) != {HARMLESS}
