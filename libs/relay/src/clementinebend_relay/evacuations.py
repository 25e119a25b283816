"""Tracks which availability zones operators have evacuated.

A zone is evacuated while the store has a record for it, whatever the record's value.
Updates are ordered by the offset of the record in the store.

Entries that cannot read the store learn from the others. Each entry forwards a change
to its next ones on a ring, which reaches every entry, and to some at random, which
makes it fast. An entry that cannot read the store also asks the others, one after the
other, which makes up for lost datagrams.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Callable, Iterable
from heapq import nlargest
from typing import NamedTuple

from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.gossip import gossip_receivers
from clementinebend_relay.interfaces import RecordDecoder
from clementinebend_relay.messages import (
    EvacuationMessage,
    EvacuationRequestMessage,
    Message,
)
from clementinebend_relay.metrics import evacuated_zones
from clementinebend_transport.client_connection import Address

REPEAT_DELAYS = (0.0, 1.0)
"""Delays in seconds after which a change is sent; twice, as datagrams may be lost. Each
time goes to the following entries on the ring."""

REQUEST_INTERVAL = 1.0
"""Seconds between requests of an entry that cannot read the store."""

MAX_ZONES_PER_ANSWER = 32
"""Maximum number of zones that an entry reports to one that asks."""

MAX_ZONE_NAME_LENGTH = 200
"""Longest zone name, in characters, that is accepted in a datagram."""

MAX_KNOWN_ZONES = 1_000
"""Number of known zones from which on datagrams about unknown zones are ignored."""


class ZoneStatus(NamedTuple):
    """Whether a zone is evacuated, as of an offset in the store."""

    offset: int
    is_evacuated: bool


class Evacuations:
    """The newest known status of each zone.

    ``on_change`` is called with a zone and whether it is now evacuated.
    """

    def __init__(
        self,
        boot: str,
        records: RecordDecoder,
        directory: Directory,
        send_all: Callable[[Message, Iterable[Address]], None],
        on_change: Callable[[str, bool], None],
    ) -> None:
        self.boot = boot
        self.records = records
        self.directory = directory
        self.send_all = send_all
        self.on_change = on_change
        self.statuses: dict[str, ZoneStatus] = {}
        self.refused_keys: set[str] = set()
        self.requests = 0

    def zones(self) -> set[str]:
        """Return the zones that are evacuated."""
        return {zone for zone, status in self.statuses.items() if status.is_evacuated}

    def on_record(self, record: KeyedRecord) -> None:
        """Apply a record: a value evacuates its zone, a tombstone ends that."""
        zone = self.records.evacuated_zone(record.key)
        if zone:
            status = ZoneStatus(record.offset, bool(record.value))
            self._update(zone, status, "store")
        elif zone is not None and record.key not in self.refused_keys:
            self.refused_keys.add(record.key)
            log_decision("evacuation refused", key=record.key, problem="no zone")

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """End the evacuation of zones that have no record in a snapshot.

        An evacuation that was recorded after the snapshot stays in force.
        """
        recorded = {self.records.evacuated_zone(key) for key in keys}
        for zone in sorted(self.zones() - recorded):
            self._update(zone, ZoneStatus(end - 1, False), "store")

    def on_message(self, message: EvacuationMessage) -> None:
        """Apply a status from another entry; ignore those of unknown senders."""
        if not self.directory.is_announced(message.boot):
            log_decision("datagram refused", sender=message.boot, problem="no entry")
            return
        zone = message.zone
        is_known = zone in self.statuses
        is_valid = 0 < len(zone) <= MAX_ZONE_NAME_LENGTH and message.offset >= 0
        if is_valid and (is_known or len(self.statuses) < MAX_KNOWN_ZONES):
            status = ZoneStatus(message.offset, message.is_evacuated)
            self._update(zone, status, message.boot)

    async def ask_while(self, is_cut_off: Callable[[], bool]) -> None:
        """Ask other entries for their statuses while cut off from the store, forever.

        Each request goes to the next entry on the ring.
        """
        while True:
            await sleep(REQUEST_INTERVAL)
            if is_cut_off():
                self._ask()

    def _ask(self) -> None:
        others = self.directory.ring_successors(self.boot)
        if others:
            asked = others[self.requests % len(others)]
            self.requests += 1
            self.send_all(EvacuationRequestMessage(self.boot), (asked,))

    def on_request(self, message: EvacuationRequestMessage) -> None:
        """Report the newest statuses to an entry that asks for them."""
        asker = self.directory.announced(message.boot)
        if asker is None:
            log_decision("datagram refused", sender=message.boot, problem="no entry")
            return
        newest = nlargest(
            MAX_ZONES_PER_ANSWER, self.statuses, key=self.statuses.__getitem__
        )
        for zone in newest:
            message_to_asker = EvacuationMessage(self.boot, zone, *self.statuses[zone])
            self.send_all(message_to_asker, (asker.address,))

    def _update(self, zone: str, status: ZoneStatus, source: str) -> None:
        """Store a zone's status if it is newer than the known one; forward changes."""
        known = self.statuses.get(zone)
        if known is not None and status.offset <= known.offset:
            return
        self.statuses[zone] = status
        if status.is_evacuated == (known is not None and known.is_evacuated):
            return
        log_decision(
            "zone evacuated" if status.is_evacuated else "zone evacuated no more",
            zone=zone,
            offset=status.offset,
            source=source,
        )
        evacuated_zones.set(len(self.zones()))
        self.on_change(zone, status.is_evacuated)
        loop = get_running_loop()
        for repetition, pause in enumerate(REPEAT_DELAYS):
            loop.call_later(pause, self._send_status, zone, repetition)

    def _send_status(self, zone: str, repetition: int) -> None:
        """Send the newest status of a zone to some other entries."""
        message = EvacuationMessage(self.boot, zone, *self.statuses[zone])
        others = self.directory.ring_successors(self.boot)
        self.send_all(message, gossip_receivers(others, repetition))
