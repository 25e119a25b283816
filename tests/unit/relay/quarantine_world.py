"""Simulates entries that share quarantines of fatal requests, in virtual time."""

from asyncio import Task, create_task, get_running_loop
from collections.abc import Iterable
from itertools import count
from random import Random

from clementinebend_bench.models.mark_store import ModelLog, Outage, StoreModel
from clementinebend_records.identifiers import Incarnation, new_incarnation
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import Message, decode_message, encode_message
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.partition_reader import DIRECTORY_MAX_DELAY, PartitionReader
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.client_connection import Address

FATAL = "a" * 24
HARMLESS = "b" * 24
RUN_SECONDS = 0.1
DATAGRAM_SECONDS = 0.002


def endpoint(number: int) -> Endpoint:
    """Return one boot of an endpoint."""
    return Endpoint(f"i-{number}", "pool", Address("10.1.0.1", number), "z", 4, False)


class QuarantineEntry:
    """The parts of one boot of an entry that handle quarantines."""

    def __init__(self, world: "QuarantineWorld", number: int) -> None:
        clock = world.clock
        self.address = Address("10.0.0.1", number)
        self.name = f"entry-{number}"
        self.boot: Incarnation = new_incarnation(self.name)
        self.quarantine = Quarantine(clock)
        self.directory = Directory()
        log = ModelLog(world.store)
        self.sync = QuarantineSync(
            self.boot, self.quarantine, self.directory, log, world.send_all, clock
        )
        reader = PartitionReader(
            "quarantine", log, self.sync.records, clock, DIRECTORY_MAX_DELAY
        )
        self.tasks: list[Task[None]] = [
            create_task(self.sync.records.run()),
            create_task(reader.run()),
        ]

    def end(self) -> None:
        """Stop without notifying other entries."""
        for task in self.tasks:
            task.cancel()

    def is_quarantined(self, fingerprint: str = FATAL) -> bool:
        """Tell whether a request is quarantined at this entry."""
        return self.quarantine.refusal(fingerprint) is not None


class QuarantineWorld:
    """Entries, their store, and a network that loses some datagrams."""

    def __init__(
        self, entries: int, loss_rate: float = 0.0, outages: Iterable[Outage] = ()
    ) -> None:
        self.random = Random(1)
        self.loss_rate = loss_rate
        self.datagrams = 0
        self.largest_datagram = 0
        self.numbers = count(1)
        self.store = StoreModel(tuple(outages))
        self.entries: dict[Address, QuarantineEntry] = {}
        for number in range(entries):
            self.start(number)

    def clock(self) -> float:
        """Return the time that the entries see, in seconds."""
        return get_running_loop().time()

    def start(self, number: int) -> QuarantineEntry:
        """Start or restart an entry."""
        entry = QuarantineEntry(self, number)
        replaced = self.entries.pop(entry.address, None)
        if replaced is not None:
            replaced.end()
        self.entries[entry.address] = entry
        for other in self.entries.values():
            _announce(entry, other)
            _announce(other, entry)
        return entry

    def end(self) -> None:
        """Stop all entries."""
        for entry in self.entries.values():
            entry.end()

    def all(self) -> list[QuarantineEntry]:
        """Return the running entries."""
        return list(self.entries.values())

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a datagram to each address; each copy may be lost."""
        data = encode_message(message)
        self.largest_datagram = max(self.largest_datagram, len(data))
        for address in addresses:
            self.datagrams += 1
            if self.random.random() >= self.loss_rate:
                self._deliver(data, address)

    def _deliver(self, data: bytes, address: Address) -> None:
        def receive() -> None:
            entry = self.entries.get(address)
            if entry is not None:
                entry.sync.on_message(decode_message(data))  # type: ignore[arg-type]

        get_running_loop().call_later(DATAGRAM_SECONDS, receive)

    def end_endpoint(self, entry: QuarantineEntry, *fingerprints: str) -> Endpoint:
        """End an endpoint now under requests that ``entry`` recently sent to it."""
        return self.end_under({entry: fingerprints})

    def end_under(self, runs: dict[QuarantineEntry, tuple[str, ...]]) -> Endpoint:
        """End an endpoint now under requests of several entries."""
        now = get_running_loop().time()
        ended = endpoint(next(self.numbers))
        for entry, fingerprints in runs.items():
            run = FatalRun(boot_name(ended), now - RUN_SECONDS, now)
            entry.sync.on_ended(ended, [EndedRun(name, run) for name in fingerprints])
        return ended


def _announce(entry: QuarantineEntry, to: QuarantineEntry) -> None:
    to.directory.put(entry.name, Announcement(entry.boot, "z", *entry.address))
