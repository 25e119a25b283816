"""Asks the pointer hosts of a key where it runs, and answers other entries.

A key's pointer hosts are its first rendezvous entries in two availability
zones. They are asked at once; of those that answer in a short time the first
in rendezvous order decides. One that does not answer is passed over: then an
idempotent request may run twice, and its key is billed once all the same.
"""

from asyncio import gather
from collections.abc import Mapping
from time import monotonic
from typing import NamedTuple, Protocol

from clementinebend_entry.calls import Call
from clementinebend_entry.metrics import POINTERS
from clementinebend_entry.pointers import drop_pointer, empty_pointers, put_pointer
from clementinebend_membership.rendezvous import rendezvous_by_zone
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.messages import PointerDrop, PointerPut, PointerReply

POINTER_ZONES = 2


class ExistingRun(NamedTuple):
    """The earlier run of a key."""

    run: RunId
    endpoint: str
    body_digest: str


class Peers(Protocol):
    """What the desk needs of the links to other entries."""

    def zones(self) -> Mapping[str, str]:
        """Return the availability zones of all entries by name."""

    async def ask_pointer(self, name: str, put: PointerPut) -> PointerReply | None:
        """Ask a peer; None if it does not answer in a short time."""

    def drop_pointer(self, name: str, drop: PointerDrop) -> None:
        """Have a peer remove a pointer."""


class PointerDesk:
    """Owns the pointers kept here and the questions to other hosts."""

    def __init__(self, name: str, bound: int, peers: Peers) -> None:
        self.name = name
        self.peers = peers
        self.store = empty_pointers(bound)

    def hosts(self, key: RequestKey) -> tuple[str, ...]:
        """Return the entries that keep the pointer of a key."""
        return rendezvous_by_zone(key, self.peers.zones(), POINTER_ZONES)

    async def put(self, call: Call, run: RunId, endpoint: str) -> ExistingRun | None:
        """Point to a run; return the earlier one that stands, if any."""
        put = PointerPut(0, call.key, call.body_digest, run, endpoint)
        hosts = self.hosts(call.key)
        replies = await gather(*(self.ask(host, put) for host in hosts))
        answers = [reply for reply in replies if reply is not None]
        if not answers:
            POINTERS.labels("unanswered").inc()
            return None
        first = answers[0]
        if first.run == run:
            POINTERS.labels("placed").inc()
            return None
        POINTERS.labels("standing").inc()
        return ExistingRun(first.run, first.endpoint, first.body_digest)

    async def ask(self, host: str, put: PointerPut) -> PointerReply | None:
        """Ask one pointer host, which may be this entry."""
        if host == self.name:
            return self.keep(put)
        return await self.peers.ask_pointer(host, put)

    def keep(self, put: PointerPut) -> PointerReply:
        """Keep a pointer here, unless one stands."""
        self.store, reply = put_pointer(self.store, put, monotonic())
        return reply

    def drop(self, key: RequestKey, run: RunId) -> None:
        """Remove the pointer to a run that gives no answer."""
        drop = PointerDrop(key, run)
        for host in self.hosts(key):
            if host == self.name:
                self.forget(drop)
            else:
                self.peers.drop_pointer(host, drop)

    def forget(self, drop: PointerDrop) -> None:
        """Remove a pointer here."""
        self.store = drop_pointer(self.store, drop)
