"""Tells entries that report an end under a request of its earlier good runs."""

from collections.abc import Callable
from math import inf
from random import random

from clementinebend_relay.discovery import Directory
from clementinebend_relay.messages import (
    EndpointEndedMessage,
    Message,
    ReportedRun,
    RunDetails,
)
from clementinebend_relay.quarantine.end_detector import EndedRun
from clementinebend_relay.quarantine.part_reports import Broadcast
from clementinebend_relay.quarantine.state import Quarantine

GOOD_RUN_REPORTERS = 4
"""Mean number of entries that tell others of the good runs of a request under which an
endpoint has ended. More would send more datagrams than the report itself."""

REPORTED_SECONDS = 2.0
"""Seconds for which good runs of a request are not reported again: longer than an end
of an endpoint is reported repeatedly."""

MAX_REPORTED_REQUESTS = 1_000
"""Maximum number of requests for which the time of the last such report is kept."""


class GoodRunReports:
    """What this entry knows of the good runs of requests under which endpoints end.

    ``broadcast`` sends what a function builds to all entries, several times.
    """

    def __init__(
        self,
        boot: str,
        quarantine: Quarantine,
        directory: Directory,
        broadcast: Broadcast,
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.quarantine = quarantine
        self.directory = directory
        self.broadcast = broadcast
        self.clock = clock
        self.reported_at: dict[str, float] = {}

    def details(self, ended: EndedRun, now: float) -> RunDetails:
        """Return what is reported of a run beside its request and its time."""
        first_event_at = ended.run.first_event_at
        event_ago = None if first_event_at is None else now - first_event_at
        return self._details_of(ended.fingerprint, event_ago)

    def repeat(self, message: EndpointEndedMessage, reported: ReportedRun) -> None:
        """Repeat a report with the good runs that its sender does not know of.

        A few entries do so for all that could.
        """
        fingerprint, now = reported.fingerprint, self.clock()
        last_at = self.reported_at.pop(fingerprint, -inf)
        self.reported_at[fingerprint] = now
        if len(self.reported_at) > MAX_REPORTED_REQUESTS:
            del self.reported_at[next(iter(self.reported_at))]
        is_repeated = now - last_at < REPORTED_SECONDS
        if is_repeated or not self.quarantine.knows_good_runs(fingerprint):
            return
        others = len(self.directory.others(self.boot))
        if random() * others < GOOD_RUN_REPORTERS:
            self._broadcast(message, reported, now)

    def _broadcast(
        self, message: EndpointEndedMessage, reported: ReportedRun, received_at: float
    ) -> None:
        def build() -> Message:
            age = self.clock() - received_at
            return EndpointEndedMessage(
                self.boot,
                message.endpoint,
                message.ended_ago + age,
                (ReportedRun(reported.fingerprint, reported.sent_ago + age),),
                (self._details_of(reported.fingerprint, None),),
            )

        self.broadcast(build)

    def _details_of(self, fingerprint: str, event_ago: float | None) -> RunDetails:
        known = self.quarantine.requests.history.recent(fingerprint)
        if known is None:
            return RunDetails(event_ago)
        return RunDetails(event_ago, known.total, self.clock() - known.last_at)
