"""How processes find one another: each announces itself in the store."""

from asyncio import Event, sleep
from collections.abc import Callable
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFailure,
)
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_transport.client_connection import Address

ANNOUNCE_PAUSE = 0.5
"""Seconds after a failed announcement."""


class Announcement(NamedTuple):
    """One boot of a process, where it takes datagrams, and its ``cores``."""

    boot: str
    zone: str
    host: str
    port: int
    cores: float = 1.0

    @property
    def address(self) -> Address:
        """Where the process takes datagrams."""
        return Address(self.host, self.port)


class Directory:
    """The newest announcement of each process, by its name.

    ``version`` grows with each change: what is worked out from all names is
    worked out once a version. ``known`` is set once all were read.
    """

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.announcements: dict[str, Announcement] = {}
        self.version = 0
        self.known = Event()
        self.on_change = on_change

    def on_record(self, record: KeyedRecord) -> None:
        """Take an announcement."""
        if not record.value:
            self.announcements.pop(record.key, None)
            self.version += 1
            return
        try:
            announcement = decode(record.value, type=Announcement)
        except (DecodeError, ValidationError) as error:
            log_decision("announcement refused", name=record.key, problem=str(error))
            return
        self.put(record.key, announcement)

    def put(self, name: str, announcement: Announcement) -> None:
        """Take the newest announcement of the process ``name``."""
        self.announcements[name] = announcement
        self.version += 1
        if self.on_change is not None:
            self.on_change()

    def has_successor(self, boot: str) -> bool:
        """Tell whether another boot of the same process has announced itself."""
        newest = self.announcements.get(process_name_of(Incarnation(boot)))
        return newest is not None and newest.boot != boot

    def is_announced(self, boot: str) -> bool:
        """Tell whether a boot is the newest one of a process that is known."""
        newest = self.announcements.get(process_name_of(Incarnation(boot)))
        return newest is not None and newest.boot == boot

    def others(self, boot: str) -> list[Address]:
        """Return where all processes but that of ``boot`` take datagrams."""
        own = process_name_of(Incarnation(boot))
        return [
            each.address for name, each in self.announcements.items() if name != own
        ]

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Note that all are known; announcements are only ever replaced."""
        self.known.set()


async def announce(log: KeyedLog, name: str, announcement: Announcement) -> None:
    """Write an announcement to the store, until that works."""
    record = encode(announcement)
    while True:
        outcome = await log.append(((name, record),), None)
        if not isinstance(outcome, StoreFailure):
            return
        await sleep(ANNOUNCE_PAUSE)
