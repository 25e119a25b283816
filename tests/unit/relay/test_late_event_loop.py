"""Datagrams that arrive while the event loop is late, together with a timeout."""

from asyncio import create_task, get_running_loop, sleep
from collections.abc import AsyncIterator
from socket import AF_INET, SOCK_DGRAM, socket

import pytest

from clementinebend_relay.datagrams import open_socket
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.messages import (
    InvalidMessage,
    LeavingMessage,
    LimitReport,
    Message,
    PermitMessage,
    PermitRequestMessage,
    ProbeMessage,
    ReportMessage,
    decode_message,
    encode_message,
)
from clementinebend_relay.models import Endpoint
from clementinebend_relay.permit_requests import PERMIT_TIMEOUT, new_permit_requests
from clementinebend_relay.queue_probes import PROBE_TIMEOUT, QueueProbes
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.request_permits import CallClass
from clementinebend_transport.client_connection import Address
from tests.unit.transport.loopback import HOST, PATIENCE, delay_event_loop

KEEPER = "gateway-0#1"
ENDPOINT = Endpoint("e0", "pool", Address(HOST, 80), "z", 4, False)
OTHERS = 50
"""Datagrams that wait in the socket before the one that is waited for."""


class Rig:
    """An entry with its socket, and the socket of the keeper that it asks."""

    def __init__(self, keeper: socket) -> None:
        self.keeper = keeper
        self.received: list[Message] = []
        host, port = keeper.getsockname()
        gateways = Directory()
        gateways.put("gateway-0", Announcement(KEEPER, "z", host, port))
        clock = get_running_loop().time
        self.probes = QueueProbes(gateways, Directory(), self.send, clock)
        self.permits = new_permit_requests(
            "entry-0#1", {}, self.probes, self.send, lambda *_: None, clock
        )

    async def open(self) -> None:
        """Open the entry's socket."""
        self.datagrams = await open_socket(Address(HOST, 0), self.receive)

    def send(self, message: Message, to: Address) -> None:
        """Send a message from the entry's socket."""
        self.datagrams.send(message, to)

    def receive(self, message: Message, sender: Address) -> None:
        """Pass on a message as the entry does."""
        self.received.append(message)
        if isinstance(message, PermitMessage):
            self.permits.on_permit(message)
        elif isinstance(message, ReportMessage):
            self.probes.on_report(message)

    async def asked(self) -> tuple[Message, tuple[str, int]]:
        """Return the next message to the keeper, and who sent it."""
        await sleep(0.0)
        data, sender = self.keeper.recvfrom(65_536)
        message = decode_message(data)
        assert not isinstance(message, InvalidMessage)
        return message, sender

    def answer(self, message: Message, to: tuple[str, int]) -> None:
        """Send a message of the keeper, after many of other processes."""
        other = encode_message(LeavingMessage("entry-1#1"))
        for _ in range(OTHERS):
            self.keeper.sendto(other, to)
        self.keeper.sendto(encode_message(message), to)


@pytest.fixture
async def rig() -> AsyncIterator[Rig]:
    with socket(AF_INET, SOCK_DGRAM) as keeper:
        keeper.bind((HOST, 0))
        keeper.settimeout(PATIENCE)
        rig = Rig(keeper)
        await rig.open()
        yield rig
        rig.datagrams.close()


async def test_all_datagrams_that_wait_are_received_in_one_iteration(rig: Rig) -> None:
    """Guards against timeouts that are due before answers that are here."""
    own = rig.datagrams.transport
    assert own is not None
    rig.answer(LeavingMessage("entry-2#1"), own.get_extra_info("sockname"))
    await sleep(0.0)
    await sleep(0.0)
    assert len(rig.received) == OTHERS + 1


async def test_a_permit_that_arrives_in_a_late_iteration_is_used(rig: Rig) -> None:
    """Guards against a call refused, and a permit lost, as the event loop was late."""
    state = EndpointState(ENDPOINT, 0.0)
    asking = create_task(rig.permits.request("r", state, CallClass(0, "")))
    asked, entry = await rig.asked()
    assert isinstance(asked, PermitRequestMessage)
    limit = LimitReport(RequestLimit(1, 4.0), 0.0)
    rig.answer(PermitMessage(KEEPER, asked.number, True, limit), entry)
    delay_event_loop(2 * PERMIT_TIMEOUT)
    assert await asking


async def test_a_queue_report_that_arrives_in_a_late_iteration_is_used(
    rig: Rig,
) -> None:
    """Guards against a choice without the reports that are here."""
    asking = create_task(rig.probes.ask([ENDPOINT], 1, ()))
    asked, entry = await rig.asked()
    assert isinstance(asked, ProbeMessage)
    report = QueueReport(1, 2, 3, None)
    rig.answer(ReportMessage(KEEPER, asked.number, report), entry)
    delay_event_loop(2 * PROBE_TIMEOUT)
    assert await asking == {"e0": report}
