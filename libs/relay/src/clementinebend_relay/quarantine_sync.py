"""How entries tell one another of requests under which endpoints end.

By datagrams at once, some of them sent again as they may be lost; a quarantine also by
a record in the store, for entries that start later or are cut off from the others.
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
    SoundMessage,
    ToldRun,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine import Quarantine
from clementinebend_routing.fatal_runs import FatalRun
from clementinebend_transport.client_connection import Address

REPEAT_DELAYS = (0.0, 0.3, 1.0)
"""Seconds after which a datagram is sent, and sent again: one that is lost is made good
before the next repetitions of a request have ended many endpoints."""

MAX_RUNS_PER_MESSAGE = 30
"""Runs in one datagram, so that it is no larger than a packet."""

MAX_REPORT_AGE = 10.0
"""Seconds after which word of an end is too late to count."""

MAX_ENDPOINTS_LISTED = 16
"""Endpoints that a datagram or a record names."""

MAX_NAME_LENGTH = 200
"""Characters of an endpoint's name."""

DECISION_DELAY = 0.15
"""Seconds between word of an end and the judgement: entries tell of the same end within
some milliseconds, and only all suspects together show which is the cause."""

DECISION_JITTER = 0.1
"""Entries judge up to that much later, at random: the first one tells the others."""

WRITE_JITTER = 1.0
"""Seconds within which an entry writes a quarantine to the store, at random, also again
after a failure: most read the record of another before."""

FINGERPRINT = pattern(f"[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}")

SendAll = Callable[[Message, Iterable[Address]], None]


class QuarantineRecord(NamedTuple):
    """What the store keeps of a quarantined request, for operators and entries.

    ``by`` is the entry that wrote it, ``since`` the Unix time in seconds.
    """

    by: str
    since: float
    endpoints: tuple[str, ...]


class QuarantineSync:
    """Tells the other entries, takes what they tell, and keeps the store's record."""

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
        """Bring the store's records in line for ever."""
        while True:
            fingerprint = await self.writes.get()
            await sleep(random() * WRITE_JITTER)
            if not await self._write(fingerprint):
                self.writes.put_nowait(fingerprint)

    def on_ended(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        """Take that an endpoint ended under calls of this entry, and tell of it."""
        quarantine = self.quarantine
        accepted = [each for each in runs if quarantine.on_run_ended(*each)]
        for start in range(0, len(accepted), MAX_RUNS_PER_MESSAGE):
            self._broadcast_end(
                endpoint, accepted[start : start + MAX_RUNS_PER_MESSAGE]
            )
        self._schedule_decision()

    def on_sound(self, fingerprint: str) -> None:
        """Take that a request ran well, and tell of it if that matters."""
        if self.quarantine.on_sound(fingerprint):
            self._broadcast(lambda: SoundMessage(self.boot, fingerprint))

    def on_message(self, message: FatalityMessage) -> None:
        """Take what another entry tells; of a process that is none, nothing."""
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
        """Take a record of the store; an empty one ends a quarantine."""
        if not FINGERPRINT.fullmatch(record.key):
            log_decision("quarantine record refused", key=record.key)
        elif record.value:
            self.recorded.add(record.key)
            self.quarantine.put(record.key, "the store has a record of it")
        else:
            self._apply_removal(record.key)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Take all keys there are: quarantines without one were ended meanwhile."""
        for fingerprint in self.recorded - keys:
            self._apply_removal(fingerprint)

    def _apply_removal(self, fingerprint: str) -> None:
        self.recorded.discard(fingerprint)
        self.quarantine.clear(fingerprint, "its record in the store has ended")

    def _apply_end(self, message: EndpointEndedMessage) -> None:
        is_valid_name = len(message.endpoint) <= MAX_NAME_LENGTH
        if not (is_valid_name and 0.0 <= message.ended_ago <= MAX_REPORT_AGE):
            return
        now = self.clock()
        for told in message.runs[:MAX_RUNS_PER_MESSAGE]:
            is_request = FINGERPRINT.fullmatch(told.fingerprint) is not None
            if is_request and told.sent_ago >= message.ended_ago:
                run = FatalRun(
                    message.endpoint, now - told.sent_ago, now - message.ended_ago
                )
                self.quarantine.on_run_ended(told.fingerprint, run)
        self._schedule_decision()

    def _apply_quarantine(self, message: QuarantineMessage) -> None:
        """Take a quarantine, or object if its request was answered a moment ago."""
        fingerprint = message.fingerprint
        if not FINGERPRINT.fullmatch(fingerprint):
            return
        if self.quarantine.is_sound(fingerprint):
            self._broadcast(lambda: SoundMessage(self.boot, fingerprint))
            return
        endpoints = message.endpoints[:MAX_ENDPOINTS_LISTED]
        self.quarantine.put(fingerprint, f"{message.boot} told so", endpoints)
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
            told = tuple(sorted(endpoints)[:MAX_ENDPOINTS_LISTED])
            return QuarantineMessage(self.boot, fingerprint, told)

        self._broadcast(message)

    def _broadcast_end(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        ended_at = max(each.run.ended_at for each in runs)

        def message() -> Message:
            now = self.clock()
            told = (ToldRun(name, now - run.sent_at) for name, run in runs)
            return EndpointEndedMessage(
                self.boot, boot_name(endpoint), now - ended_at, tuple(told)
            )

        self._broadcast(message)

    def _broadcast(self, build: Callable[[], Message | None]) -> None:
        """Send a message several times, made anew each time, unless it is void."""
        loop = get_running_loop()
        for pause in REPEAT_DELAYS:
            loop.call_later(pause, self._send, build)

    def _send(self, build: Callable[[], Message | None]) -> None:
        message = build()
        if message is not None:
            self.send_all(message, self.directory.others(self.boot))

    async def _write(self, fingerprint: str) -> bool:
        """Write that a quarantine began or ended; return whether nothing is left."""
        endpoints = self.quarantine.quarantined.get(fingerprint)
        if (endpoints is not None) == (fingerprint in self.recorded):
            return True
        value = b""
        if endpoints is not None:
            told = tuple(sorted(endpoints)[:MAX_ENDPOINTS_LISTED])
            value = encode(QuarantineRecord(self.boot, time(), told))
        outcome = await self.log.append(((fingerprint, value),), None)
        if isinstance(outcome, StoreFailure):
            return False
        (self.recorded.add if value else self.recorded.discard)(fingerprint)
        return True
