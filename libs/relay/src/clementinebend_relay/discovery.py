"""Discovery of other processes: each process announces itself in the store."""

from asyncio import Event, sleep
from collections.abc import Callable, Iterator
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_membership.ring import (
    RingPlace,
    members_from,
    ring_order,
    ring_successors,
)
from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFailure,
)
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_transport.client_connection import Address

ANNOUNCE_RETRY_DELAY = 0.5
"""Delay in seconds before a failed announcement is retried."""


class Announcement(NamedTuple):
    """A boot of a process, the address of its UDP socket, and its CPU ``cores``."""

    boot: str
    zone: str
    host: str
    port: int
    cores: float = 1.0

    @property
    def address(self) -> Address:
        """Address of the UDP socket."""
        return Address(self.host, self.port)


class Ring(NamedTuple):
    """The addresses that follow a process on the ring, as of a directory's version."""

    version: int
    name: str
    addresses: list[Address]


class RingOrder(NamedTuple):
    """All processes in ring order, as of a directory's version."""

    version: int
    places: tuple[RingPlace, ...]


class Directory:
    """The newest announcement of each process, by process name.

    ``version`` grows with each change, so that values derived from all names can be
    cached per version. ``known`` is set once the first snapshot has been read.
    ``on_new_boot`` is called with the name of a process that has (re)started.
    """

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.order = RingOrder(-1, ())
        self.on_new_boot: Callable[[str], None] | None = None
        self.announcements: dict[str, Announcement] = {}
        self.version = 0
        self.ring = Ring(-1, "", [])
        self.known = Event()
        self.on_change = on_change

    def on_record(self, record: KeyedRecord) -> None:
        """Apply an announcement, or the removal of one."""
        if not record.value:
            self._remove(record.key)
            return
        try:
            announcement = decode(record.value, type=Announcement)
        except (DecodeError, ValidationError, RecursionError) as error:
            log_decision("announcement refused", host=record.key, problem=str(error))
            return
        self.put(record.key, announcement)

    def put(self, name: str, announcement: Announcement) -> None:
        """Store the newest announcement of the process ``name``."""
        before = self.announcements.get(name)
        self.announcements[name] = announcement
        self.version += 1
        if self.on_change is not None:
            self.on_change()
        is_new = before is None or before.boot != announcement.boot
        if is_new and self.on_new_boot is not None:
            self.on_new_boot(name)

    def _remove(self, name: str) -> None:
        if self.announcements.pop(name, None) is None:
            return
        self.version += 1
        if self.on_change is not None:
            self.on_change()

    def has_successor(self, boot: str) -> bool:
        """Return whether a different boot of the same process has announced itself."""
        newest = self.announcements.get(process_name_of(Incarnation(boot)))
        return newest is not None and newest.boot != boot

    def announced(self, boot: str) -> Announcement | None:
        """Return the announcement of a boot if it is the newest of its process."""
        newest = self.announcements.get(process_name_of(Incarnation(boot)))
        return newest if newest is not None and newest.boot == boot else None

    def is_announced(self, boot: str) -> bool:
        """Return whether a boot is the newest announced one of its process."""
        return self.announced(boot) is not None

    def ring_successors(self, boot: str) -> list[Address]:
        """Return the addresses of the others, from the next one on the ring on."""
        own = process_name_of(Incarnation(boot))
        if self.ring.version != self.version or self.ring.name != own:
            names = ring_successors(own, self.announcements)
            addresses = [self.announcements[name].address for name in names]
            self.ring = Ring(self.version, own, addresses)
        return self.ring.addresses

    def members_from(self, key: str) -> Iterator[str]:
        """Yield the names of all processes, from the first one on the ring on."""
        if self.order.version != self.version:
            self.order = RingOrder(self.version, ring_order(self.announcements))
        return members_from(key, self.order.places)

    def others(self, boot: str) -> list[Address]:
        """Return the addresses of all processes except the one of ``boot``."""
        own = process_name_of(Incarnation(boot))
        return [
            each.address for name, each in self.announcements.items() if name != own
        ]

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Mark the directory as complete; a snapshot removes no announcements."""
        self.known.set()


async def announce(log: KeyedLog, name: str, announcement: Announcement) -> None:
    """Write an announcement to the store; retry until that succeeds."""
    record = encode(announcement)
    while True:
        outcome = await log.append(((name, record),), None)
        if not isinstance(outcome, StoreFailure):
            return
        await sleep(ANNOUNCE_RETRY_DELAY)
