"""Shares evidence and quarantines between entries.

Entries broadcast both by datagrams, repeatedly since datagrams may be lost. A
quarantine is also recorded in the store, for entries that start later or cannot reach
the others.
"""

from asyncio import Queue, TimerHandle, get_running_loop, sleep
from collections.abc import Callable, Iterable
from random import random
from re import compile as pattern
from time import time
from typing import NamedTuple

from msgspec.msgpack import encode

from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFailure,
)
from clementinebend_records.identifiers import KEY_DIGEST_BYTES
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.end_detector import EndedRun
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    FatalityMessage,
    Message,
    QuarantineMessage,
    ReportedRun,
    SoundMessage,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine import Quarantine
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.client_connection import Address

REPEAT_DELAYS = (0.0, 0.3, 1.0)
"""Delays in seconds after which a datagram is sent. The repetitions make up for a lost
one before further runs of a request have ended many endpoints."""

MAX_RUNS_PER_MESSAGE = 30
"""Maximum number of runs in one datagram, so that it fits into one packet."""

MAX_REPORT_AGE = 10.0
"""Maximum age in seconds of a reported end; reports of older ones are ignored."""

MAX_ENDPOINTS_LISTED = 16
"""Maximum number of endpoints listed in a datagram or a record."""

MAX_NAME_LENGTH = 200
"""Maximum length of an endpoint's name, in characters."""

DECISION_DELAY = 0.15
"""Seconds between the report of an end and the decision about quarantines. Entries
report the same end within a few milliseconds of each other, and the cause can only be
told from all suspects together."""

DECISION_JITTER = 0.1
"""Maximum random addition to that delay in seconds: the first entry to decide informs
the others."""

WRITE_JITTER = 1.0
"""Maximum random delay in seconds before a write to the store, or its retry. Most
entries read the record of another entry before they would write theirs."""

FINGERPRINT = pattern(f"[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}")

SendAll = Callable[[Message, Iterable[Address]], None]


class QuarantineRecord(NamedTuple):
    """Stored record of a quarantined request, read by operators and entries.

    ``by`` is the boot of the entry that wrote it, ``since`` the Unix time in seconds.
    """

    by: str
    since: float
    endpoints: tuple[str, ...]


class QuarantineSync:
    """Exchanges reports with other entries, and maintains the records in the store."""

    def __init__(
        self,
        boot: str,
        quarantine: Quarantine,
        directory: Directory,
        log: KeyedLog,
        send_all: SendAll,
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.quarantine = quarantine
        self.directory = directory
        self.log = log
        self.send_all = send_all
        self.clock = clock
        self.recorded: set[str] = set()
        self.writes: Queue[str] = Queue()
        self.decision_timer: TimerHandle | None = None
        quarantine.on_lift = self.writes.put_nowait

    async def run(self) -> None:
        """Write changed quarantines to the store, forever."""
        while True:
            fingerprint = await self.writes.get()
            await sleep(random() * WRITE_JITTER)
            if not await self._write(fingerprint):
                self.writes.put_nowait(fingerprint)

    def on_ended(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        """Record that an endpoint ended under calls of this entry, and report it."""
        quarantine = self.quarantine
        accepted = [each for each in runs if quarantine.on_run_ended(*each)]
        for start in range(0, len(accepted), MAX_RUNS_PER_MESSAGE):
            self._broadcast_end(
                endpoint, accepted[start : start + MAX_RUNS_PER_MESSAGE]
            )
        self._schedule_decision()

    def on_sound(self, fingerprint: str) -> None:
        """Clear a request that ran well; report it if there was evidence against it."""
        if self.quarantine.on_sound(fingerprint):
            self._broadcast(lambda: SoundMessage(self.boot, fingerprint))

    def on_message(self, message: FatalityMessage) -> None:
        """Apply a report of another entry; ignore those of unknown processes."""
        if not self.directory.is_announced(message.boot):
            log_decision("datagram refused", sender=message.boot, problem="no entry")
            return
        match message:
            case EndpointEndedMessage():
                self._apply_end(message)
            case QuarantineMessage():
                self._apply_quarantine(message)
            case SoundMessage() if FINGERPRINT.fullmatch(message.fingerprint):
                self.quarantine.on_sound(message.fingerprint)

    def on_record(self, record: KeyedRecord) -> None:
        """Apply a record of the store; a tombstone ends a quarantine."""
        if not FINGERPRINT.fullmatch(record.key):
            log_decision("quarantine record refused", key=record.key)
        elif record.value:
            self.recorded.add(record.key)
            self.quarantine.put(record.key, "the store has a record of it")
        else:
            self._apply_removal(record.key)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """End recorded quarantines whose key is not in a snapshot."""
        for fingerprint in self.recorded - keys:
            self._apply_removal(fingerprint)

    def _apply_removal(self, fingerprint: str) -> None:
        self.recorded.discard(fingerprint)
        self.quarantine.clear(fingerprint, "its record in the store was removed")

    def _apply_end(self, message: EndpointEndedMessage) -> None:
        is_valid_name = len(message.endpoint) <= MAX_NAME_LENGTH
        if not (is_valid_name and 0.0 <= message.ended_ago <= MAX_REPORT_AGE):
            return
        now = self.clock()
        for reported in message.runs[:MAX_RUNS_PER_MESSAGE]:
            is_request = FINGERPRINT.fullmatch(reported.fingerprint) is not None
            if is_request and reported.sent_ago >= message.ended_ago:
                run = FatalRun(
                    message.endpoint, now - reported.sent_ago, now - message.ended_ago
                )
                self.quarantine.on_run_ended(reported.fingerprint, run)
        self._schedule_decision()

    def _apply_quarantine(self, message: QuarantineMessage) -> None:
        """Apply a quarantine, or object to it if the request recently ran well."""
        fingerprint = message.fingerprint
        if not FINGERPRINT.fullmatch(fingerprint):
            return
        if self.quarantine.is_sound(fingerprint):
            self._broadcast(lambda: SoundMessage(self.boot, fingerprint))
            return
        endpoints = message.endpoints[:MAX_ENDPOINTS_LISTED]
        self.quarantine.put(fingerprint, f"reported by {message.boot}", endpoints)
        self.writes.put_nowait(fingerprint)

    def _schedule_decision(self) -> None:
        if self.decision_timer is None:
            pause = DECISION_DELAY + random() * DECISION_JITTER
            self.decision_timer = get_running_loop().call_later(pause, self._decide)

    def _decide(self) -> None:
        self.decision_timer = None
        for fingerprint in self.quarantine.decide():
            self.writes.put_nowait(fingerprint)
            self._broadcast_quarantine(fingerprint)

    def _broadcast_quarantine(self, fingerprint: str) -> None:
        def message() -> Message | None:
            endpoints = self.quarantine.quarantined.get(fingerprint)
            if endpoints is None:
                return None
            reported = tuple(sorted(endpoints)[:MAX_ENDPOINTS_LISTED])
            return QuarantineMessage(self.boot, fingerprint, reported)

        self._broadcast(message)

    def _broadcast_end(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        ended_at = max(each.run.ended_at for each in runs)

        def message() -> Message:
            now = self.clock()
            reported = (ReportedRun(name, now - run.sent_at) for name, run in runs)
            return EndpointEndedMessage(
                self.boot, boot_name(endpoint), now - ended_at, tuple(reported)
            )

        self._broadcast(message)

    def _broadcast(self, build: Callable[[], Message | None]) -> None:
        """Send a message several times, built anew each time; skip it if it is None."""
        loop = get_running_loop()
        for pause in REPEAT_DELAYS:
            loop.call_later(pause, self._send, build)

    def _send(self, build: Callable[[], Message | None]) -> None:
        message = build()
        if message is not None:
            self.send_all(message, self.directory.others(self.boot))

    async def _write(self, fingerprint: str) -> bool:
        """Write the start or end of a quarantine; return whether that is done."""
        endpoints = self.quarantine.quarantined.get(fingerprint)
        if (endpoints is not None) == (fingerprint in self.recorded):
            return True
        value = b""
        if endpoints is not None:
            reported = tuple(sorted(endpoints)[:MAX_ENDPOINTS_LISTED])
            value = encode(QuarantineRecord(self.boot, time(), reported))
        outcome = await self.log.append(((fingerprint, value),), None)
        if isinstance(outcome, StoreFailure):
            return False
        (self.recorded.add if value else self.recorded.discard)(fingerprint)
        return True
