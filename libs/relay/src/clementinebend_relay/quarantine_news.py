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
from clementinebend_relay.announcing import Directory
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_ends import EndedRun
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

REPEAT_PAUSES = (0.0, 0.3, 1.0)
"""Seconds after which a datagram is sent, and sent again: one that is lost is made good
before the next repetitions of a request have ended many endpoints."""

MOST_RUNS_TOLD = 30
"""Runs in one datagram, so that it is no larger than a packet."""

MOST_AGE = 10.0
"""Seconds after which word of an end is too late to count."""

MOST_ENDPOINTS_TOLD = 16
"""Endpoints that a datagram or a record names."""

MOST_NAME = 200
"""Characters of an endpoint's name."""

SETTLE_SECONDS = 0.15
"""Seconds between word of an end and the judgement: entries tell of the same end within
some milliseconds, and only all suspects together show which is the cause."""

SETTLE_SPREAD = 0.1
"""Entries judge up to that much later, at random: the first one tells the others."""

WRITE_SPREAD = 1.0
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


class QuarantineNews:
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
        self.judging: TimerHandle | None = None
        quarantine.on_lift = self.writes.put_nowait

    async def run(self) -> None:
        """Bring the store's records in line for ever."""
        while True:
            fingerprint = await self.writes.get()
            await sleep(random() * WRITE_SPREAD)
            if not await self._write(fingerprint):
                self.writes.put_nowait(fingerprint)

    def on_ended(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        """Take that an endpoint ended under calls of this entry, and tell of it."""
        quarantine = self.quarantine
        taken = [each for each in runs if quarantine.on_run_ended(*each)]
        for start in range(0, len(taken), MOST_RUNS_TOLD):
            self._tell_ended(endpoint, taken[start : start + MOST_RUNS_TOLD])
        self._judge_soon()

    def on_sound(self, fingerprint: str) -> None:
        """Take that a request ran well, and tell of it if that matters."""
        if self.quarantine.on_sound(fingerprint):
            self._repeat(lambda: SoundMessage(self.boot, fingerprint))

    def on_message(self, message: FatalityMessage) -> None:
        """Take what another entry tells; of a process that is none, nothing."""
        if not self.directory.is_announced(message.boot):
            log_decision("datagram refused", sender=message.boot, problem="no entry")
            return
        match message:
            case EndpointEndedMessage():
                self._take_ended(message)
            case QuarantineMessage():
                self._take_quarantine(message)
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
            self._take_end(record.key)

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Take all keys there are: quarantines without one were ended meanwhile."""
        for fingerprint in self.recorded - keys:
            self._take_end(fingerprint)

    def _take_end(self, fingerprint: str) -> None:
        self.recorded.discard(fingerprint)
        self.quarantine.clear(fingerprint, "its record in the store has ended")

    def _take_ended(self, message: EndpointEndedMessage) -> None:
        is_sane = len(message.endpoint) <= MOST_NAME
        if not (is_sane and 0.0 <= message.ended_ago <= MOST_AGE):
            return
        now = self.clock()
        for told in message.runs[:MOST_RUNS_TOLD]:
            is_request = FINGERPRINT.fullmatch(told.fingerprint) is not None
            if is_request and told.sent_ago >= message.ended_ago:
                run = FatalRun(
                    message.endpoint, now - told.sent_ago, now - message.ended_ago
                )
                self.quarantine.on_run_ended(told.fingerprint, run)
        self._judge_soon()

    def _take_quarantine(self, message: QuarantineMessage) -> None:
        """Take a quarantine, or object if its request was answered a moment ago."""
        fingerprint = message.fingerprint
        if not FINGERPRINT.fullmatch(fingerprint):
            return
        if self.quarantine.is_sound(fingerprint):
            self._repeat(lambda: SoundMessage(self.boot, fingerprint))
            return
        endpoints = message.endpoints[:MOST_ENDPOINTS_TOLD]
        self.quarantine.put(fingerprint, f"{message.boot} told so", endpoints)
        self.writes.put_nowait(fingerprint)

    def _judge_soon(self) -> None:
        if self.judging is None:
            pause = SETTLE_SECONDS + random() * SETTLE_SPREAD
            self.judging = get_running_loop().call_later(pause, self._judge)

    def _judge(self) -> None:
        self.judging = None
        for fingerprint in self.quarantine.judge():
            self.writes.put_nowait(fingerprint)
            self._tell_quarantine(fingerprint)

    def _tell_quarantine(self, fingerprint: str) -> None:
        def message() -> Message | None:
            endpoints = self.quarantine.quarantined.get(fingerprint)
            if endpoints is None:
                return None
            told = tuple(sorted(endpoints)[:MOST_ENDPOINTS_TOLD])
            return QuarantineMessage(self.boot, fingerprint, told)

        self._repeat(message)

    def _tell_ended(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        ended_at = max(each.run.ended_at for each in runs)

        def message() -> Message:
            now = self.clock()
            told = (ReportedRun(name, now - run.sent_at) for name, run in runs)
            return EndpointEndedMessage(
                self.boot, boot_name(endpoint), now - ended_at, tuple(told)
            )

        self._repeat(message)

    def _repeat(self, make: Callable[[], Message | None]) -> None:
        """Send a message several times, made anew each time, unless it is void."""
        loop = get_running_loop()
        for pause in REPEAT_PAUSES:
            loop.call_later(pause, self._send, make)

    def _send(self, make: Callable[[], Message | None]) -> None:
        message = make()
        if message is not None:
            self.send_all(message, self.directory.others(self.boot))

    async def _write(self, fingerprint: str) -> bool:
        """Write that a quarantine began or ended; return whether nothing is left."""
        endpoints = self.quarantine.quarantined.get(fingerprint)
        if (endpoints is not None) == (fingerprint in self.recorded):
            return True
        value = b""
        if endpoints is not None:
            told = tuple(sorted(endpoints)[:MOST_ENDPOINTS_TOLD])
            value = encode(QuarantineRecord(self.boot, time(), told))
        outcome = await self.log.append(((fingerprint, value),), None)
        if isinstance(outcome, StoreFailure):
            return False
        (self.recorded.add if value else self.recorded.discard)(fingerprint)
        return True
