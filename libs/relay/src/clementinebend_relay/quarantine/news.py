"""Shares evidence and quarantines between entries.

Entries broadcast both by datagrams, repeatedly since datagrams may be lost. A
quarantine is also recorded in the store (``records``).
"""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable, Iterable
from itertools import chain, repeat

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Directory
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    FatalityMessage,
    Message,
    QuarantineMessage,
    ReportedRun,
    RunDetails,
    SoundMessage,
)
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.good_run_reports import GoodRunReports
from clementinebend_relay.quarantine.history import MIN_GOOD_RUNS, GoodRuns
from clementinebend_relay.quarantine.part_reports import PartReports
from clementinebend_relay.quarantine.records import (
    MAX_ENDPOINTS_LISTED,
    QuarantineRecords,
    listed_endpoints,
)
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.quarantine.subjects import is_part, is_valid_subject
from clementinebend_routing.fatal_runs import FatalRun
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

MAX_NAME_LENGTH = 200
"""Maximum length of an endpoint's name, in characters."""

SendAll = Callable[[Message, Iterable[Address]], None]


class QuarantineSync:
    """Exchanges reports with other entries, and schedules decisions.

    ``records`` maintains the records in the store.
    """

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
        self.send_all = send_all
        self.clock = clock
        self.decision_timer: TimerHandle | None = None
        self.records = QuarantineRecords(boot, quarantine, log)
        self.part_reports = PartReports(
            boot, quarantine, self._broadcast, self._broadcast_sound, clock
        )
        self.good_run_reports = GoodRunReports(
            boot, quarantine, directory, self._broadcast, clock
        )
        quarantine.is_trial_entry = self._is_trial_entry

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
        self.part_reports.report(endpoint, runs)
        self._schedule_decision()

    def on_sound(self, subject: str) -> None:
        """Clear a subject that ran well; report it if there was evidence against it."""
        if self.quarantine.on_sound(subject):
            self._broadcast_sound(subject)

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
                self._apply_sound(message)

    def _apply_sound(self, message: SoundMessage) -> None:
        if is_part(message.fingerprint):
            self.part_reports.on_sound(message)
        else:
            self.quarantine.clear(message.fingerprint, "it ran well elsewhere")

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
        self.part_reports.on_message(message)
        self._schedule_decision()

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
            self.good_run_reports.repeat(message, reported)
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
        self.records.on_changed(fingerprint)

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
            self.records.on_changed(fingerprint)
            self._broadcast_quarantine(fingerprint)
        self._schedule_decision()

    def _broadcast_sound(self, subject: str) -> None:
        def message() -> Message:
            ago = self.clock() - self.quarantine.good_run_at(subject)
            return SoundMessage(self.boot, subject, ago)

        self._broadcast(message)

    def _broadcast_quarantine(self, fingerprint: str) -> None:
        def message() -> Message | None:
            request = self.quarantine.quarantined.get(fingerprint)
            if request is None:
                return None
            reported = listed_endpoints(request.endpoints)
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
                tuple(self.good_run_reports.details(each, now) for each in runs),
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
