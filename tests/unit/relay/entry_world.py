"""Whole entries in virtual time, with simulated sockets; base of several worlds.

A world adds endpoints, a client that reaches them, a configuration and a store.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Iterable
from logging import ERROR, getLogger
from random import Random, seed
from typing import Any

from clementinebend_admission.retry_window import RetryLimits
from clementinebend_platform.http_protocol import PlatformProtocol
from clementinebend_platform.records import PlatformRecords
from clementinebend_platform_client.keyed_log import KeyedRecord, StoreFailure
from clementinebend_platform_client.store_paths import StorePaths
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.interfaces import Logs
from clementinebend_relay.messages import Message, QueueMessage
from clementinebend_relay.origin_keeper import OriginKeeper
from clementinebend_relay.origin_messages import OriginRequestMessage, OriginsMessage
from clementinebend_relay.process import RelayProcess
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.settings import RelaySettings
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_types import Response

STORE = Address("10.0.0.1", 80)
MIN_DELAY = 0.0005
MAX_DELAY = 0.003
"""Least and greatest delay of a packet in seconds."""

KEEPER_PORT = 7


class NoLog:
    """A log of the store that nobody can reach."""

    async def append(self, records: object, expected_end: int | None) -> StoreFailure:
        """Fail, as nothing was done."""
        return StoreFailure(False, "none")

    async def read(self, offset: int, wait: float) -> StoreFailure:
        """Fail, as nothing was read."""
        return StoreFailure(False, "none")

    async def newest(self, *arguments: object) -> StoreFailure:
        """Fail, as nothing was read."""
        return StoreFailure(False, "none")


class WorldSocket:
    """The datagram socket of an entry or a keeper."""

    def __init__(self, world: "EntryWorld", address: Address) -> None:
        self.world = world
        self.address = address

    def send(self, message: Message, address: Address) -> None:
        """Send a message, which may be lost."""
        self.world.deliver(message, self.address, address)

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to several addresses."""
        for address in addresses:
            self.send(message, address)

    def close(self) -> None:
        """Do nothing."""


class EntryWorld:
    """Entries, gateways that keep queues, and the network between them.

    ``start_entries`` is called once all that they find is there.
    """

    def __init__(self, entries: int, number: int) -> None:
        getLogger("clementinebend_relay").setLevel(ERROR)
        seed(number)
        self.random = Random(number)
        self.clock = get_running_loop().time
        self.loss = 0.0
        self.max_delay = MAX_DELAY
        self.datagrams = 0
        self.cut_links: set[tuple[Address, Address]] = set()
        self.receivers: dict[Address, Any] = {}
        self.gateways: dict[str, Announcement] = {}
        self.announcements = {
            f"edge-{each}": Announcement(f"edge-{each}#1", "z", "10.1.0.1", each)
            for each in range(entries)
        }
        self.entries: list[RelayProcess] = []

    def start_entries(self) -> None:
        """Start all entries."""
        self.entries = [self.start_entry(name) for name in self.announcements]

    def configuration(self) -> bytes:
        """Return the operator's configuration."""
        raise NotImplementedError

    def endpoint_records(self) -> list[tuple[str, bytes]]:
        """Return the names and announcements of the endpoints."""
        raise NotImplementedError

    def new_client(self) -> Any:
        """Return what an entry sends to endpoints with."""
        raise NotImplementedError

    def logs(self) -> Logs:
        """Return the store as an entry sees it."""
        log: Any = NoLog()
        return Logs(log, log, log, log, (log,), log)

    def delay(self) -> float:
        """Return the delay of one packet in seconds."""
        return self.random.uniform(MIN_DELAY, self.max_delay)

    def deliver(self, message: Message, sender: Address, to: Address) -> None:
        """Deliver a datagram later, unless it is lost or cut off."""
        self.datagrams += 1
        if {(sender, to), (to, sender)} & self.cut_links:
            return
        if self.random.random() < self.loss:
            return
        get_running_loop().call_later(self.delay(), self._receive, message, sender, to)

    def _receive(self, message: Message, sender: Address, to: Address) -> None:
        receiver = self.receivers.get(to)
        if receiver is not None:
            receiver(message, sender)

    def start_keeper(self, number: int, boot: int) -> None:
        """Start a boot of the gateway beside an endpoint, with an empty state."""
        host = f"10.9.0.{number}"
        item = Announcement(f"side-{number}#{boot}", "z", host, KEEPER_PORT)
        socket = WorldSocket(self, item.address)
        keeper = QueueKeeper(item.boot, socket.send, self.clock)
        origins = OriginKeeper(item.boot, socket.send, self.clock)

        def receive(message: Message, sender: Address) -> None:
            if isinstance(message, QueueMessage):
                keeper.on_message(message, sender)
            elif isinstance(message, OriginsMessage | OriginRequestMessage):
                origins.on_message(message, sender)

        self.receivers[item.address] = receive
        self.gateways[f"side-{number}"] = item

    def kill_keeper(self, number: int) -> None:
        """Kill the gateway beside an endpoint."""
        self.receivers.pop(Address(f"10.9.0.{number}", KEEPER_PORT), None)

    def start_entry(self, name: str) -> RelayProcess:
        """Start an entry that knows all endpoints and processes."""
        address = self.announcements[name].address
        settings = RelaySettings(
            name=name,
            zone="z",
            callers=address,
            ready=address,
            peers=address,
            retries=RetryLimits(0.2, 56, 10.0),
            grace=5.0,
            max_change_delay=2.0,
            max_leaving_delay=2.0,
            max_evacuation_delay=2.0,
            cores=1.0,
        )
        process = RelayProcess(
            settings,
            self.announcements[name].boot,
            PlatformProtocol(),
            PlatformRecords(),
            self.logs(),
            StorePaths(STORE, self.clock),
            lambda address: sleep(0, False),
        )
        process.client = process.dispatcher.client = self.new_client()
        socket: Any = WorldSocket(self, address)
        process.socket = socket
        self.receivers[address] = process._on_message
        process.configuration.on_record(KeyedRecord(0, "config", self.configuration()))
        records = self.endpoint_records()
        for offset, (endpoint, value) in enumerate(records):
            process.endpoints.on_record(KeyedRecord(offset, endpoint, value))
        names = frozenset(endpoint for endpoint, _ in records)
        process.endpoints.on_snapshot(names, len(records))
        # Nothing is read here: what endpoints announce reaches the table at once.
        process.endpoints.is_in_step = lambda: True
        for other, item in self.announcements.items():
            process.entries.put(other, item)
        for gateway, item in self.gateways.items():
            process.gateways.put(gateway, item)
        process.entries.known.set()
        process.gateways.known.set()
        return process


def retry_after_of(response: Response) -> float | None:
    """Return the seconds after which a caller may retry, if the answer names them."""
    value = dict(response.headers).get("retry-after")
    return None if value is None else float(value)
