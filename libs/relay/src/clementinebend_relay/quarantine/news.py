"""Shares evidence and quarantines between entries.

Entries broadcast both by datagrams, repeatedly since datagrams may be lost. A
quarantine is also recorded in the store, for entries that start later or cannot reach
the others.
"""

from asyncio import Queue, TimerHandle, get_running_loop, sleep
from collections.abc import Callable, Iterable
from itertools import chain, repeat
from math import inf
from random import random
from time import time
from typing import NamedTuple

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_platform_client.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFailure,
)
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    FatalityMessage,
    Message,
    QuarantineMessage,
    ReportedPart,
    ReportedRun,
    RunDetails,
    SoundMessage,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.history import MIN_GOOD_RUNS, GoodRuns
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.quarantine.subjects import is_part, is_valid_subject
from clementinebend_routing.fatal_runs import FatalRun, part_run
from clementinebend_transport.client_connection import Address

REPEAT_DELAYS = (0.0, 0.3, 1.0)
"""Delays in seconds after which a datagram is sent. The repetitions make up for a lost
one before further runs of a request have ended many endpoints."""

MAX_RUNS_PER_MESSAGE = 20
"""Maximum number of runs in one datagram, so that it fits into one packet."""

MAX_RUNS_READ = 30
"""Maximum number of runs that are read from one datagram."""

MAX_REPORT_AGE = 10.0
"""Maximum age in seconds of a reported end; reports of older ones are ignored."""

MAX_ENDPOINTS_LISTED = 16
"""Maximum number of endpoints listed in a datagram or a record."""

MAX_NAME_LENGTH = 200
"""Maximum length of an endpoint's name, in characters."""

GOOD_RUN_REPORTERS = 4
"""Mean number of entries that tell others of the good runs of a request under which an
endpoint has ended. More would send more datagrams than the report itself."""

REPORTED_SECONDS = 2.0
"""Seconds for which good runs of a request are not reported again: longer than an end
of an endpoint is reported repeatedly."""

MAX_REPORTED_REQUESTS = 1_000
"""Maximum number of requests for which the time of the last such report is kept."""

WRITE_JITTER = 1.0
"""Maximum random delay in seconds before a write to the store, or its retry. Most
entries read the record of another entry before they would write theirs."""

MAX_PARTS_PER_MESSAGE = 12
"""Maximum number of parts of prompts in one datagram, so that it fits into one
packet."""

OBJECTION_SPREAD = 0.08
"""Seconds over which entries spread their word that a part has run well, so that the
first ones spare the others theirs. Shorter than the delay of a decision."""

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
        self.good_runs_reported_at: dict[str, float] = {}
        self.objections: dict[str, TimerHandle] = {}
        quarantine.on_lift = self.writes.put_nowait
        quarantine.is_trial_entry = self._is_trial_entry

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
        accepted = [
            each for each in runs if quarantine.on_run_ended(each.fingerprint, each.run)
        ]
        for start in range(0, len(accepted), MAX_RUNS_PER_MESSAGE):
            self._broadcast_end(
                endpoint, accepted[start : start + MAX_RUNS_PER_MESSAGE]
            )
        self._report_parts(endpoint, runs)
        self._schedule_decision()

    def on_sound(self, subject: str) -> None:
        """Clear a subject that ran well; report it if there was evidence against it."""
        if self.quarantine.on_sound(subject):
            self._broadcast_sound(subject)

    def _report_parts(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        """Record and report an end as evidence against the parts of prompts."""
        evidence: dict[str, FatalRun] = {}
        for each in runs:
            run = part_run(each.run, each.fingerprint)
            if run is not None:
                evidence.update((part, run) for part in each.parts)
        accepted = [
            (part, run)
            for part, run in evidence.items()
            if self.quarantine.on_run_ended(part, run)
        ]
        for start in range(0, len(accepted), MAX_PARTS_PER_MESSAGE):
            self._broadcast_parts(
                endpoint, accepted[start : start + MAX_PARTS_PER_MESSAGE]
            )

    def _broadcast_parts(
        self, endpoint: Endpoint, evidence: list[tuple[str, FatalRun]]
    ) -> None:
        ended_at = max(run.ended_at for _, run in evidence)

        def message() -> Message:
            now = self.clock()
            reported = (
                ReportedPart(part, run.request, now - run.sent_at)
                for part, run in evidence
            )
            return EndpointEndedMessage(
                self.boot,
                boot_name(endpoint),
                now - ended_at,
                (),
                parts=tuple(reported),
            )

        self._broadcast(message)

    def _is_trial_entry(self, part: str) -> bool:
        """Return whether this entry is the one that tries a quarantined part."""
        names = self.directory.announcements
        own = process_name_of(Incarnation(self.boot))
        return next(iter(rendezvous(part, names, 1)), own) == own

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
            case SoundMessage() if is_valid_subject(message.fingerprint):
                self._cancel_objection(message.fingerprint)
                self.quarantine.clear(message.fingerprint, "it ran well elsewhere")

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
        for fingerprint in self.recorded - keys:
            self._apply_removal(fingerprint)

    def _apply_removal(self, fingerprint: str) -> None:
        self.recorded.discard(fingerprint)
        self.quarantine.clear(fingerprint, "its record in the store was removed")

    def _apply_end(self, message: EndpointEndedMessage) -> None:
        is_valid_name = len(message.endpoint) <= MAX_NAME_LENGTH
        if not (is_valid_name and 0.0 <= message.ended_ago <= MAX_REPORT_AGE):
            return
        details = chain(message.details, repeat(RunDetails()))
        runs = message.runs[:MAX_RUNS_READ]
        for reported, known in zip(runs, details, strict=False):
            is_valid = is_valid_subject(reported.fingerprint)
            is_request = is_valid and not is_part(reported.fingerprint)
            if is_request and reported.sent_ago >= message.ended_ago:
                self._apply_run(message, reported, known)
        for part in message.parts[:MAX_RUNS_READ]:
            is_valid = is_valid_subject(part.part) and is_valid_subject(part.request)
            if is_valid and is_part(part.part) and part.sent_ago >= message.ended_ago:
                self._apply_part(message, part)
        self._schedule_decision()

    def _apply_part(
        self, message: EndpointEndedMessage, reported: ReportedPart
    ) -> None:
        """Apply a reported end under a part, or object to it."""
        if self.quarantine.is_sound(reported.part):
            self._object_later(reported.part)
            return
        now = self.clock()
        run = FatalRun(
            message.endpoint,
            now - reported.sent_ago,
            now - message.ended_ago,
            request=reported.request,
        )
        self.quarantine.on_run_ended(reported.part, run)

    def _object_later(self, part: str) -> None:
        """Tell all that a part runs well, unless another entry does so first."""
        if part in self.objections or len(self.objections) >= MAX_REPORTED_REQUESTS:
            return
        pause = random() * OBJECTION_SPREAD
        timer = get_running_loop().call_later(pause, self._object, part)
        self.objections[part] = timer

    def _object(self, part: str) -> None:
        del self.objections[part]
        self._broadcast_sound(part)

    def _cancel_objection(self, subject: str) -> None:
        timer = self.objections.pop(subject, None)
        if timer is not None:
            timer.cancel()

    def _apply_run(
        self, message: EndpointEndedMessage, reported: ReportedRun, details: RunDetails
    ) -> None:
        """Apply one reported run, and the reported history of its request."""
        now = self.clock()
        fingerprint, event_ago = reported.fingerprint, details.first_event_ago
        if details.good_runs > 0 and details.good_run_ago >= 0.0:
            good_runs = GoodRuns(details.good_runs, now - details.good_run_ago)
            self.quarantine.on_good_runs_reported(fingerprint, good_runs)
        if details.good_runs < MIN_GOOD_RUNS:
            self._report_good_runs(message, reported)
        is_valid = event_ago is not None and event_ago >= message.ended_ago
        run = FatalRun(
            message.endpoint,
            now - reported.sent_ago,
            now - message.ended_ago,
            now - event_ago if event_ago is not None and is_valid else None,
        )
        self.quarantine.on_run_ended(fingerprint, run)

    def _apply_quarantine(self, message: QuarantineMessage) -> None:
        """Apply a quarantine, or object to it if its subject recently ran well.

        A part must not have run well since the first of the ends either.
        """
        fingerprint = message.fingerprint
        if not is_valid_subject(fingerprint):
            return
        endpoints = message.endpoints[:MAX_ENDPOINTS_LISTED]
        ended = endpoints if is_part(fingerprint) else ()
        if self.quarantine.has_run_well_since(fingerprint, ended):
            self._broadcast_sound(fingerprint)
            return
        self.quarantine.put(fingerprint, f"reported by {message.boot}", endpoints)
        self.writes.put_nowait(fingerprint)

    def _schedule_decision(self) -> None:
        """Decide when the next decision is due, if one is."""
        if self.decision_timer is not None:
            self.decision_timer.cancel()
            self.decision_timer = None
        due_at = self.quarantine.verdicts.next_at()
        if due_at is not None:
            pause = max(0.0, due_at - self.clock())
            self.decision_timer = get_running_loop().call_later(pause, self._decide)

    def _decide(self) -> None:
        self.decision_timer = None
        for fingerprint in self.quarantine.decide():
            self.writes.put_nowait(fingerprint)
            self._broadcast_quarantine(fingerprint)
        self._schedule_decision()

    def _broadcast_sound(self, subject: str) -> None:
        self._broadcast(lambda: SoundMessage(self.boot, subject))

    def _broadcast_quarantine(self, fingerprint: str) -> None:
        def message() -> Message | None:
            request = self.quarantine.quarantined.get(fingerprint)
            if request is None:
                return None
            reported = tuple(sorted(request.endpoints)[:MAX_ENDPOINTS_LISTED])
            return QuarantineMessage(self.boot, fingerprint, reported)

        self._broadcast(message)

    def _broadcast_end(self, endpoint: Endpoint, runs: list[EndedRun]) -> None:
        ended_at = max(each.run.ended_at for each in runs)

        def message() -> Message:
            now = self.clock()
            reported = (
                ReportedRun(each.fingerprint, now - each.run.sent_at) for each in runs
            )
            return EndpointEndedMessage(
                self.boot,
                boot_name(endpoint),
                now - ended_at,
                tuple(reported),
                tuple(self._details(each, now) for each in runs),
            )

        self._broadcast(message)

    def _details(self, ended: EndedRun, now: float) -> RunDetails:
        first_event_at = ended.run.first_event_at
        event_ago = None if first_event_at is None else now - first_event_at
        return self._details_of(ended.fingerprint, event_ago)

    def _details_of(self, fingerprint: str, event_ago: float | None) -> RunDetails:
        known = self.quarantine.requests.history.recent(fingerprint)
        if known is None:
            return RunDetails(event_ago)
        return RunDetails(event_ago, known.total, self.clock() - known.last_at)

    def _report_good_runs(
        self, message: EndpointEndedMessage, reported: ReportedRun
    ) -> None:
        """Repeat a report with the good runs that its sender does not know of.

        A few entries do so for all that could.
        """
        fingerprint, now = reported.fingerprint, self.clock()
        last_at = self.good_runs_reported_at.pop(fingerprint, -inf)
        self.good_runs_reported_at[fingerprint] = now
        if len(self.good_runs_reported_at) > MAX_REPORTED_REQUESTS:
            del self.good_runs_reported_at[next(iter(self.good_runs_reported_at))]
        is_repeated = now - last_at < REPORTED_SECONDS
        if is_repeated or not self.quarantine.knows_good_runs(fingerprint):
            return
        others = len(self.directory.others(self.boot))
        if random() * others >= GOOD_RUN_REPORTERS:
            return
        received_at = now

        def build() -> Message:
            age = self.clock() - received_at
            return EndpointEndedMessage(
                self.boot,
                message.endpoint,
                message.ended_ago + age,
                (ReportedRun(fingerprint, reported.sent_ago + age),),
                (self._details_of(fingerprint, None),),
            )

        self._broadcast(build)

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
        request = self.quarantine.quarantined.get(fingerprint)
        if (request is not None) == (fingerprint in self.recorded):
            return True
        value = b""
        if request is not None:
            reported = tuple(sorted(request.endpoints)[:MAX_ENDPOINTS_LISTED])
            value = encode(QuarantineRecord(self.boot, time(), reported))
        outcome = await self.log.append(((fingerprint, value),), None)
        if isinstance(outcome, StoreFailure):
            return False
        (self.recorded.add if value else self.recorded.discard)(fingerprint)
        return True


def _recorded_endpoints(record: KeyedRecord) -> tuple[str, ...]:
    """Return the endpoints listed in a record, none if it cannot be decoded."""
    try:
        return decode(record.value, type=QuarantineRecord).endpoints
    except (DecodeError, ValidationError) as error:
        log_decision("quarantine record refused", key=record.key, problem=str(error))
        return ()
