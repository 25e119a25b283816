"""Records of quarantines in the store.

They tell entries that start later, or that cannot reach the others, what is
quarantined. Operators list them, and remove one to lift a quarantine.
"""

from asyncio import Queue, sleep
from random import random
from time import time
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFailure,
)
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.quarantine.subjects import is_valid_subject

WRITE_JITTER = 1.0
"""Maximum random delay in seconds before a write to the store, or its retry. Most
entries read the record of another entry before they would write theirs."""

MAX_ENDPOINTS_LISTED = 16
"""Maximum number of endpoints listed in a datagram or a record."""


class QuarantineRecord(NamedTuple):
    """Stored record of a quarantined subject, read by operators and entries.

    ``by`` is the boot of the entry that wrote it, ``since`` the Unix time in seconds.
    """

    by: str
    since: float
    endpoints: tuple[str, ...]


class QuarantineRecords:
    """Applies the store's records to the quarantine, and writes its changes there."""

    def __init__(self, boot: str, quarantine: Quarantine, log: KeyedLog) -> None:
        self.boot = boot
        self.quarantine = quarantine
        self.log = log
        self.recorded: set[str] = set()
        self.changed: Queue[str] = Queue()
        quarantine.on_lift = self.on_changed

    def on_changed(self, subject: str) -> None:
        """Write the record of a subject that was quarantined or lifted, or remove it.

        Nothing is written if the store has it already.
        """
        self.changed.put_nowait(subject)

    async def run(self) -> None:
        """Write changed quarantines to the store, forever."""
        while True:
            subject = await self.changed.get()
            await sleep(random() * WRITE_JITTER)
            if not await self._write(subject):
                self.changed.put_nowait(subject)

    def on_record(self, record: KeyedRecord) -> None:
        """Apply a record of the store; a tombstone ends a quarantine."""
        if not is_valid_subject(record.key):
            log_decision("quarantine record refused", key=record.key)
        elif record.value:
            self.recorded.add(record.key)
            endpoints = _recorded_endpoints(record)
            self.quarantine.put(record.key, "the store has a record of it", endpoints)
        else:
            self._apply_removal(record.key)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """End recorded quarantines whose key is not in a snapshot."""
        for subject in self.recorded - keys:
            self._apply_removal(subject)

    def _apply_removal(self, subject: str) -> None:
        self.recorded.discard(subject)
        self.quarantine.clear(subject, "its record in the store was removed")

    async def _write(self, subject: str) -> bool:
        """Write the start or end of a quarantine; return whether that is done."""
        request = self.quarantine.quarantined.get(subject)
        if (request is not None) == (subject in self.recorded):
            return True
        value = b""
        if request is not None:
            endpoints = listed_endpoints(request.endpoints)
            value = encode(QuarantineRecord(self.boot, time(), endpoints))
        outcome = await self.log.append(((subject, value),), None)
        if isinstance(outcome, StoreFailure):
            return False
        (self.recorded.add if value else self.recorded.discard)(subject)
        return True


def listed_endpoints(endpoints: frozenset[str]) -> tuple[str, ...]:
    """Return the endpoints that a datagram or a record lists of some."""
    return tuple(sorted(endpoints)[:MAX_ENDPOINTS_LISTED])


def _recorded_endpoints(record: KeyedRecord) -> tuple[str, ...]:
    """Return the endpoints listed in a record, none if it cannot be decoded."""
    try:
        return decode(record.value, type=QuarantineRecord).endpoints
    except (DecodeError, ValidationError, RecursionError) as error:
        log_decision("quarantine record refused", key=record.key, problem=str(error))
        return ()
