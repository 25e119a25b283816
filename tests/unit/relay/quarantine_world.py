"""Entries in virtual time that tell one another of requests that end endpoints."""

from asyncio import Task, create_task, get_running_loop
from collections.abc import Iterable
from itertools import count
from random import Random

from clementinebend_bench.models.mark_store import ModelLog, Outage, StoreModel
from clementinebend_records.identifiers import Incarnation, new_incarnation
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.endpoint_ends import EndedRun
from clementinebend_relay.following import DIRECTORY_WITHIN, Follower
from clementinebend_relay.messages import Message, decode_message, encode_message
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine import Quarantine
from clementinebend_relay.quarantine_news import QuarantineNews
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
    """One boot of an entry, as far as quarantines go."""

    def __init__(self, world: "QuarantineWorld", number: int) -> None:
        clock = get_running_loop().time
        self.address = Address("10.0.0.1", number)
        self.name = f"entry-{number}"
        self.boot: Incarnation = new_incarnation(self.name)
        self.quarantine = Quarantine(clock)
        self.directory = Directory()
        log = ModelLog(world.store)
        self.news = QuarantineNews(
            self.boot, self.quarantine, self.directory, log, world.send_all, clock
        )
        follower = Follower("quarantine", log, self.news, clock, DIRECTORY_WITHIN)
        self.tasks: list[Task[None]] = [
            create_task(self.news.run()),
            create_task(follower.run()),
        ]

    def end(self) -> None:
        """End without a word."""
        for task in self.tasks:
            task.cancel()

    def keeps_back(self, fingerprint: str = FATAL) -> bool:
        """Tell whether a request is kept from endpoints here."""
        return self.quarantine.refusal(fingerprint) is not None


class QuarantineWorld:
    """Entries, their store, and datagrams of which a part is lost."""

    def __init__(
        self, entries: int, lost: float = 0.0, outages: Iterable[Outage] = ()
    ) -> None:
        self.random = Random(1)
        self.lost = lost
        self.datagrams = 0
        self.largest = 0
        self.numbers = count(1)
        self.store = StoreModel(tuple(outages))
        self.entries: dict[Address, QuarantineEntry] = {}
        for number in range(entries):
            self.start(number)

    def start(self, number: int) -> QuarantineEntry:
        """Start an entry, or start it anew."""
        entry = QuarantineEntry(self, number)
        replaced = self.entries.pop(entry.address, None)
        if replaced is not None:
            replaced.end()
        self.entries[entry.address] = entry
        for other in self.entries.values():
            _introduce(entry, other)
            _introduce(other, entry)
        return entry

    def end(self) -> None:
        """End all entries."""
        for entry in self.entries.values():
            entry.end()

    def all(self) -> list[QuarantineEntry]:
        """Return the entries that live."""
        return list(self.entries.values())

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Deliver a datagram to several, to each of them if it isn't lost."""
        data = encode_message(message)
        self.largest = max(self.largest, len(data))
        for address in addresses:
            self.datagrams += 1
            if self.random.random() >= self.lost:
                self._deliver(data, address)

    def _deliver(self, data: bytes, address: Address) -> None:
        def take() -> None:
            entry = self.entries.get(address)
            if entry is not None:
                entry.news.on_message(decode_message(data))  # type: ignore[arg-type]

        get_running_loop().call_later(DATAGRAM_SECONDS, take)

    def end_endpoint(self, entry: QuarantineEntry, *fingerprints: str) -> Endpoint:
        """Let an endpoint end now under requests that ``entry`` sent a moment ago."""
        return self.end_under({entry: fingerprints})

    def end_under(self, runs: dict[QuarantineEntry, tuple[str, ...]]) -> Endpoint:
        """Let an endpoint end now under requests of several entries."""
        now = get_running_loop().time()
        ended = endpoint(next(self.numbers))
        for entry, fingerprints in runs.items():
            run = FatalRun(boot_name(ended), now - RUN_SECONDS, now)
            entry.news.on_ended(ended, [EndedRun(name, run) for name in fingerprints])
        return ended


def _introduce(entry: QuarantineEntry, to: QuarantineEntry) -> None:
    to.directory.put(entry.name, Announcement(entry.boot, "z", *entry.address))
