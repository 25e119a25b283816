"""Queue probes: the queue keepers they are sent to, and the reports they return."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_membership.suspicion import MAX_UNANSWERED
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import Message, QueueMessage, ReportMessage
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.queue_keeper import MAX_QUEUES, QueueKeeper
from clementinebend_relay.queue_probes import (
    MAX_LATE_PROBES,
    PROBE_TIMEOUT,
    SUSPECTED_RETRY_SECONDS,
    QueueProbes,
)
from clementinebend_routing.cold_start import WINDOW_SECONDS, PermitLimit
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.sessions import PromptPart
from clementinebend_transport.client_connection import Address

NETWORK_DELAY = 0.001
PARTS = (PromptPart("session", 4_000), PromptPart("own", 900))
SENDER = Address("10.0.0.1", 1)


def endpoint(number: int) -> Endpoint:
    return Endpoint(
        f"e{number}", "pool", Address(f"10.9.0.{number}", 80), "z", 4, False
    )


class FakeFleet:
    """Gateways, one per endpoint; those in ``unreachable`` do not respond."""

    def __init__(self, gateways: int, entries: int = 1) -> None:
        self.clock = get_running_loop().time
        self.gateways, self.entries = Directory(), Directory()
        self.keepers: dict[Address, QueueKeeper] = {}
        self.unreachable: set[Address] = set()
        self.sent = 0
        self.delay = NETWORK_DELAY
        for number in range(gateways):
            self.add(self.gateways, f"gateway-{number}", f"10.9.0.{number}")
        for number in range(entries):
            self.add(self.entries, f"entry-{number}", f"10.1.0.{number}")
        self.probes = QueueProbes(self.gateways, self.entries, self.send, self.clock)

    def add(self, directory: Directory, name: str, host: str, boot: str = "1") -> None:
        item = Announcement(f"{name}#{boot}", "z", host, 7)
        directory.put(name, item)
        self.keepers[item.address] = QueueKeeper(item.boot, self.answer, self.clock)

    def send(self, message: Message, to: Address) -> None:
        self.sent += 1
        if to not in self.unreachable and isinstance(message, QueueMessage):
            self.deliver_later(lambda: self.keepers[to].on_message(message, SENDER))

    def answer(self, message: Message, to: Address) -> None:
        assert to == SENDER
        if isinstance(message, ReportMessage):
            self.deliver_later(lambda: self.probes.on_report(message))

    def deliver_later(self, deliver: Callable[[], None]) -> None:
        get_running_loop().call_later(self.delay, deliver)

    def host(self, number: int) -> Address:
        return Address(f"10.9.0.{number}", 7)


def test_a_report_includes_all_messages_of_entries() -> None:
    async def main() -> None:
        fleet = FakeFleet(3)
        fleet.probes.on_sent(endpoint(1), "r", 1, 4_900, PARTS)
        await sleep(2 * NETWORK_DELAY)
        reports = await fleet.probes.ask([endpoint(0), endpoint(1)], 1, PARTS)
        assert reports["e0"][:3] == (0, 0, 4_900)
        assert reports["e1"][:3] == (1, 4_900, 4_900)
        fleet.probes.on_read(endpoint(1), "r")
        fleet.probes.on_ended(endpoint(1), "r")
        await sleep(2 * NETWORK_DELAY)
        reports = await fleet.probes.ask([endpoint(1)], 1, PARTS)
        assert reports["e1"][:3] == (0, 0, 0)

    run_virtually(main())


def test_a_later_boot_of_an_endpoint_starts_with_an_empty_queue() -> None:
    async def main() -> None:
        fleet = FakeFleet(1)
        fleet.probes.on_sent(endpoint(0)._replace(boot=1), "r", 1, 900, PARTS)
        await sleep(2 * NETWORK_DELAY)
        later_boot = endpoint(0)._replace(boot=2)
        reports = await fleet.probes.ask([later_boot], 1, ())
        assert reports["e0"].running == 0

    run_virtually(main())


@pytest.mark.parametrize(("gateways", "entries"), [(0, 4), (0, 400), (48, 4)])
def test_entries_agree_on_the_keeper_of_an_endpoint_without_a_gateway(
    gateways: int, entries: int
) -> None:
    async def main() -> None:
        fleet = FakeFleet(gateways, entries)
        other = QueueProbes(fleet.gateways, fleet.entries, fleet.send, fleet.clock)
        detached = endpoint(200)
        other.on_sent(detached, "r", 1, 0, ())
        await sleep(2 * NETWORK_DELAY)
        assert (await fleet.probes.ask([detached], 1, ()))["e200"].running == 1

    run_virtually(main())


def test_a_silent_keeper_delays_a_call_briefly_and_is_then_skipped() -> None:
    async def main() -> None:
        fleet = FakeFleet(2)
        fleet.unreachable = {fleet.host(0)}
        for _ in range(MAX_UNANSWERED):
            started = fleet.clock()
            reports = await fleet.probes.ask([endpoint(0), endpoint(1)], 1, PARTS)
            assert set(reports) == {"e1"}
            assert fleet.clock() - started <= PROBE_TIMEOUT + 0.001
            await sleep(0.05)
        assert not fleet.probes.is_known(endpoint(0))
        assert fleet.probes.is_known(endpoint(1))
        fleet.unreachable = set()
        await sleep(SUSPECTED_RETRY_SECONDS)
        assert fleet.probes.is_known(endpoint(0))
        assert "e0" in await fleet.probes.ask([endpoint(0)], 1, ())
        assert fleet.probes.is_known(endpoint(0))

    run_virtually(main())


def test_a_retry_of_a_silent_keeper_delays_one_call_only() -> None:
    """Guards against a retry that makes a dead keeper count as live for a while."""

    async def main() -> None:
        fleet = FakeFleet(1)
        fleet.unreachable = {fleet.host(0)}
        for _ in range(MAX_UNANSWERED):
            await fleet.probes.ask([endpoint(0)], 1, PARTS)
            await sleep(0.05)
        assert not fleet.probes.is_known(endpoint(0))
        await sleep(SUSPECTED_RETRY_SECONDS)
        assert fleet.probes.is_known(endpoint(0))
        await fleet.probes.ask([endpoint(0)], 1, PARTS)
        assert not fleet.probes.is_known(endpoint(0))

    run_virtually(main())


def test_a_restarted_keeper_is_accepted_before_its_announcement() -> None:
    async def main() -> None:
        fleet = FakeFleet(1)
        fleet.keepers[fleet.host(0)] = QueueKeeper(
            "gateway-0#2", fleet.answer, fleet.clock
        )
        for _ in range(2 * MAX_UNANSWERED):
            assert "e0" in await fleet.probes.ask([endpoint(0)], 1, ())
            await sleep(0.05)
        assert fleet.probes.is_known(endpoint(0))

    run_virtually(main())


@pytest.mark.parametrize("entries", [4, 40, 400])
def test_messages_of_a_call_do_not_grow_with_the_fleet(entries: int) -> None:
    async def main() -> None:
        fleet = FakeFleet(48, entries)
        asked = [endpoint(number) for number in range(4)]
        assert len(await fleet.probes.ask(asked, 1, PARTS)) == 4
        fleet.probes.on_sent(asked[0], "r", 1, 900, PARTS)
        fleet.probes.on_read(asked[0], "r")
        fleet.probes.on_ended(asked[0], "r")
        assert fleet.sent == 7
        assert not fleet.probes.pending

    run_virtually(main())


def test_the_queues_of_one_keeper_are_bounded() -> None:
    async def main() -> None:
        fleet = FakeFleet(1)
        for number in range(3 * MAX_QUEUES):
            fleet.probes.on_sent(endpoint(0)._replace(boot=number), "r", 1, 1, ())
        await sleep(2 * NETWORK_DELAY)
        assert len(fleet.keepers[fleet.host(0)].queues) == MAX_QUEUES

    run_virtually(main())


def test_counts_of_more_cold_endpoints_than_queues_are_kept() -> None:
    """Guards against a count that is evicted and lets calls through for a second."""

    async def main() -> None:
        fleet = FakeFleet(1)
        limit = PermitLimit(1, 1)
        detached = [
            endpoint(0)._replace(name=f"e{number}") for number in range(4 * MAX_QUEUES)
        ]

        async def permits() -> list[bool | None]:
            reports = [
                await fleet.probes.ask([each], 1, (), lambda _: limit)
                for each in detached
            ]
            return [each.has_permit for report in reports for each in report.values()]

        await permits()
        await sleep(WINDOW_SECONDS)
        assert await permits() == [True] * len(detached)

    run_virtually(main())


def test_an_endpoint_at_its_request_limit_looks_busy() -> None:
    """Entries of an older build choose by the queue, as they don't read the limit."""

    async def main() -> None:
        fleet = FakeFleet(2)
        keeper = fleet.keepers[fleet.host(0)]
        keeper.limits.on_limit(boot_name(endpoint(0)), RequestLimit(1, 0.4), "entry")
        reports = await fleet.probes.ask([endpoint(0), endpoint(1)], 1, PARTS)
        assert reports["e0"].running > reports["e1"].running
        assert reports["e0"].ahead > reports["e1"].ahead

    run_virtually(main())


def test_a_late_report_still_tells_how_many_calls_run() -> None:
    async def main() -> None:
        fleet = FakeFleet(1)
        heard: list[tuple[str, int]] = []
        fleet.probes.on_queue = lambda each, report: heard.append(
            (each.name, report.running)
        )
        fleet.probes.on_sent(endpoint(0), "r", 1, 900, PARTS)
        fleet.delay = 2 * PROBE_TIMEOUT
        assert await fleet.probes.ask([endpoint(0)], 1, PARTS) == {}
        assert heard == []
        await sleep(4 * PROBE_TIMEOUT)
        assert heard == [("e0", 1)]
        assert not fleet.probes.late

    run_virtually(main())


def test_probes_without_a_report_are_kept_in_a_bounded_number() -> None:
    async def main() -> None:
        fleet = FakeFleet(1)
        fleet.unreachable.add(fleet.host(0))
        for _ in range(MAX_LATE_PROBES + 3):
            await fleet.probes.ask([endpoint(0)], 1, PARTS)
        assert len(fleet.probes.late) == MAX_LATE_PROBES
        assert not fleet.probes.pending

    run_virtually(main())
