"""Stores and queries the pointers from request keys to their runs.

The pointer hosts of a key are its first entries in rendezvous order in two
availability zones. They are queried concurrently; of the replies that arrive
in time, the first in rendezvous order is used. A host that does not reply is
ignored: an idempotent request may then run twice, but its key is billed once.
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
from clementinebend_records.messages import PointerDelete, PointerPut, PointerReply

POINTER_ZONES = 2


class ExistingRun(NamedTuple):
    """The earlier run of a key."""

    run: RunId
    endpoint: str
    body_digest: str


class Peers(Protocol):
    """The operations on links to other entries that are needed here."""

    def zones(self) -> Mapping[str, str]:
        """Return the availability zones of all entries by name."""

    async def ask_pointer(self, name: str, put: PointerPut) -> PointerReply | None:
        """Send a pointer to a peer; return None if it does not reply in time."""

    def drop_pointer(self, name: str, drop: PointerDelete) -> None:
        """Tell a peer to remove a pointer."""


class PointerClient:
    """Holds the pointers stored on this entry and queries the other pointer hosts."""

    def __init__(self, name: str, bound: int, peers: Peers) -> None:
        self.name = name
        self.peers = peers
        self.store = empty_pointers(bound)

    def hosts(self, key: RequestKey) -> tuple[str, ...]:
        """Return the entries that store the pointer of a key."""
        return rendezvous_by_zone(key, self.peers.zones(), POINTER_ZONES)

    async def put(self, call: Call, run: RunId, endpoint: str) -> ExistingRun | None:
        """Store a pointer to a run; return the earlier run of the key, if any."""
        put = PointerPut(0, call.key, call.body_digest, run, endpoint)
        hosts = self.hosts(call.key)
        replies = await gather(*(self.send_pointer(host, put) for host in hosts))
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

    async def send_pointer(self, host: str, put: PointerPut) -> PointerReply | None:
        """Send a pointer to one pointer host, which may be this entry."""
        if host == self.name:
            return self.keep(put)
        return await self.peers.ask_pointer(host, put)

    def keep(self, put: PointerPut) -> PointerReply:
        """Store a pointer here, unless the key has one already."""
        self.store, reply = put_pointer(self.store, put, monotonic())
        return reply

    def drop(self, key: RequestKey, run: RunId) -> None:
        """Remove the pointer to a run that gives no answer."""
        drop = PointerDelete(key, run)
        for host in self.hosts(key):
            if host == self.name:
                self.forget(drop)
            else:
                self.peers.drop_pointer(host, drop)

    def forget(self, drop: PointerDelete) -> None:
        """Remove a pointer here."""
        self.store = drop_pointer(self.store, drop)
