"""Quarantine of requests, and of parts of prompts, that crash endpoints.

The rules are those of ``clementinebend_routing.fatal_runs``; this module applies them
to the evidence, and keeps the quarantined subjects.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import islice, takewhile
from math import inf
from random import random

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.metrics import quarantined_parts, quarantined_requests
from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.quarantine.confinement import Confinement
from clementinebend_relay.quarantine.endpoint_ends import EndpointEnds
from clementinebend_relay.quarantine.evidence import (
    PART_RULES,
    REQUEST_RULES,
    SOUND_SECONDS,
    EvidenceTable,
)
from clementinebend_relay.quarantine.history import GoodRuns
from clementinebend_relay.quarantine.runs import RunsInProgress
from clementinebend_relay.quarantine.subjects import is_part
from clementinebend_relay.quarantine.trials import (
    TRIAL_DELAYS,
    TRIAL_SECONDS,
    QuarantinedRequest,
    is_on_trial,
    quarantined_part,
    quarantined_request,
    retry_delay,
    with_end,
)
from clementinebend_relay.quarantine.verdicts import Verdicts
from clementinebend_relay.quarantine.waits import Turns
from clementinebend_routing.fatal_runs import (
    MIN_FATAL_ENDS,
    MIN_SUSPECT_ENDS,
    FatalRun,
    endpoints_of,
    requests_of,
    sequential_ends,
)

QUARANTINE_RETRY_DELAY = 30.0
"""Seconds after which a caller of a quarantined subject may retry: the request or the
endpoints have to be fixed first."""

REPORT_SKEW_SECONDS = 0.1
"""How much later than the end of its endpoint a run may appear to be sent: the times of
two reports differ by the delays of their datagrams."""

MAX_RIVALS = 8
"""Maximum number of other suspects whose endpoints a suspected request avoids."""

MAX_QUARANTINED = 1_000
"""Maximum number of quarantined subjects kept. Each of them has ended endpoints, so
that a caller cannot displace others by merely sending different requests."""


class Quarantine:
    """Evidence of this entry against requests and parts, and what is quarantined.

    ``requests`` and ``parts`` are the evidence against what is not quarantined,
    ``ends`` is what is known of endpoints, ``runs`` the runs in progress, ``turns`` the
    calls that wait. ``is_trial_entry`` tells whether this entry tries a quarantined
    part; ``on_lift`` is called with what is no longer quarantined.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.requests = EvidenceTable(clock, REQUEST_RULES)
        self.parts = EvidenceTable(clock, PART_RULES)
        self.quarantined: dict[str, QuarantinedRequest] = {}
        self.ends = EndpointEnds(clock)
        self.runs = RunsInProgress()
        self.verdicts = Verdicts(self.requests, self.parts, self.runs, clock)
        self.turns = Turns(self.verdicts, self.runs, clock)
        self.is_trial_entry: Callable[[str], bool] = lambda subject: True
        self.on_lift: Callable[[str], None] | None = None

    def refusal(
        self, fingerprint: str, parts: Collection[str] = ()
    ) -> Rejection | None:
        """Return the rejection of a quarantined request or part, None for others.

        None as well for a trial run, of which this entry has one at a time.
        """
        if not self.quarantined:
            return None
        known = [each for each in (fingerprint, *parts) if each in self.quarantined]
        refused = (each for each in known if self._is_refused(each, fingerprint, parts))
        return next(map(self.rejection, refused), None)

    def refusal_since(
        self, since: float, fingerprint: str, parts: Iterable[str] = ()
    ) -> Rejection | None:
        """Return the rejection of what was quarantined after some time, if anything."""
        if not self.quarantined:
            return None
        known = (each for each in (fingerprint, *parts) if each in self.quarantined)
        later = (each for each in known if self.quarantined[each].since > since)
        return next(map(self.rejection, later), None)

    def _is_refused(
        self, subject: str, fingerprint: str, parts: Collection[str]
    ) -> bool:
        """Return whether a call with ``parts`` does not try a quarantined subject."""
        quarantined, now = self.quarantined[subject], self.clock()
        if self.runs.in_flight[subject]:
            return True
        if not is_on_trial(quarantined, now, fingerprint):
            return True
        if not quarantined.companions.isdisjoint(parts):
            return True
        return is_part(subject) and not self.is_trial_entry(subject)

    def rejection(self, subject: str) -> Rejection:
        """Return the rejection of a call by what is quarantined of it.

        Retry-after delays until a trial are spread, so that callers return in turn.
        """
        quarantined, now = self.quarantined[subject], self.clock()
        pause = retry_delay(quarantined, now, QUARANTINE_RETRY_DELAY)
        if quarantined.trial_at < inf:
            pause += random() * TRIAL_SECONDS
        if not is_part(subject):
            message = "endpoints have ended under this request"
            reason = Reason.QUARANTINED
        else:
            message = f"endpoints have ended under {subject} of this prompt"
            reason = Reason.PART_QUARANTINED
            if now > quarantined.trial_at:
                pause = QUARANTINE_RETRY_DELAY
        return Rejection(reason, f"{message}; mend it, or the endpoints", pause)

    def confinement(self, fingerprint: str) -> Confinement | None:
        """Return how the runs of a request are confined, None if they are not."""
        quarantined = self.quarantined.get(fingerprint)
        if quarantined is not None:
            return Confinement(quarantined.since)
        evidence = self.requests.get(fingerprint)
        if not evidence:
            return None
        since = max(run.ended_at for run in evidence)
        is_strict = self.requests.is_suspected(fingerprint)
        return Confinement(since, is_strict, tuple(self._rivals(fingerprint)))

    def _rivals(self, fingerprint: str) -> Iterator[str]:
        """Return the suspects that choose an endpoint before a suspected request."""
        requests = self.requests
        if requests.is_suspected(fingerprint):
            sharing = sorted(requests.sharing(fingerprint, MIN_SUSPECT_ENDS))
            before = takewhile(lambda name: name < fingerprint, sharing)
            yield from islice(filter(requests.is_suspected, before), MAX_RIVALS)

    def is_suspected(self, subject: str) -> bool:
        """Return whether endpoints have ended in sequence under a subject."""
        return self.verdicts.table(subject).is_suspected(subject)

    def is_sound(self, subject: str) -> bool:
        """Return whether a subject recently ran well, or was cleared."""
        return self.verdicts.table(subject).is_sound(subject)

    def has_run_well_since(self, subject: str, endpoints: Iterable[str]) -> bool:
        """Return whether a subject has run well since the first of some ends.

        Recently, if none of these ends is known.
        """
        first = min(map(self.ends.known_end, endpoints), default=inf)
        if first == inf:
            return self.is_sound(subject)
        return self.good_run_at(subject) > first

    def good_run_at(self, subject: str) -> float:
        """Return when a subject last ran well or was cleared, as far as is known."""
        return self.verdicts.table(subject).sound_at.get(subject, -inf)

    def knows_good_runs(self, fingerprint: str) -> bool:
        """Return whether other entries should hear of good runs of a request."""
        requests = self.requests
        has_run_well = requests.history.has_run_well(fingerprint)
        return requests.is_sound(fingerprint) or has_run_well

    async def wait_for_turn(
        self,
        fingerprint: str,
        deadline: float,
        may_repeat: bool = False,
        parts: Collection[str] = (),
    ) -> Rejection | None:
        """Wait until a call may be sent; return its rejection if it may not.

        A request waits while an endpoint that broke off a run of it is checked. A
        suspected request also waits for the decision about it and, if it may not be
        repeated, until its previous run has ended; a confined one for the report of an
        end that its refused connection shows. A call with a suspected part waits for
        the decision about the part. A caller that is admitted must enter ``running``
        immediately.
        """
        refusal = await self.turns.wait(fingerprint, deadline, may_repeat, parts)
        return refusal or self.refusal(fingerprint, parts)

    def on_run_ended(self, subject: str, run: FatalRun) -> bool:
        """Record that an endpoint ended under a subject; return if that is evidence.

        It is not evidence before, or shortly after, a complete answer to the request,
        if the end is explained by what is quarantined, or if the endpoint has answered
        since. Nor is it if the run was sent after the end as observed by another entry.
        """
        if self.ends.has_answered_since(run):
            return False
        run = run._replace(ended_at=self._earliest_end(run))
        if run.sent_at > run.ended_at + REPORT_SKEW_SECONDS:
            return False
        table = self.verdicts.table(subject)
        if run.ended_at <= self.good_run_at(subject):
            return False
        if subject in self.quarantined:
            self._on_end_in_quarantine(subject, run)
            return True
        if table.is_sound(subject) or self._is_explained(run.endpoint):
            return False
        self._add_evidence(table, subject, run)
        return True

    def _add_evidence(self, table: EvidenceTable, subject: str, run: FatalRun) -> None:
        before, was_suspected = table.get(subject), table.is_suspected(subject)
        evidence = table.add(subject, run)
        if not was_suspected and table.is_suspected(subject):
            reason = "endpoints ended under it, and it was not answered"
            self._log("suspected", subject, endpoints_of(evidence), reason)
        if endpoints_of(before) == endpoints_of(evidence):
            return
        self.turns.on_report(subject)
        is_conclusive = len(requests_of(evidence)) >= table.rules.min_requests
        if is_conclusive and sequential_ends(evidence) >= MIN_FATAL_ENDS:
            self.verdicts.schedule(subject)

    def on_sound(self, subject: str) -> bool:
        """Clear a subject that ran well; return if there was anything against it."""
        table = self.verdicts.table(subject)
        table.history.on_good_run(subject)
        has_evidence = bool(table.get(subject)) or subject in self.quarantined
        if is_part(subject) and not has_evidence:
            # Each run has several parts, against which there is hardly ever anything.
            table.set_sound(subject, self.clock())
            return False
        return self.clear(subject, "it ran well")

    def on_part_reported_sound(self, part: str, at: float) -> None:
        """Record that a part ran well at another entry at some time.

        Ends before that are no evidence. A quarantine ends if the part ran well since
        its first end.
        """
        if at <= self.good_run_at(part):
            return
        quarantined = self.quarantined.get(part)
        if quarantined is not None and at <= self._first_end(quarantined):
            return
        later = self.parts.since(part, at)
        if not later:
            self.clear(part, "it ran well elsewhere", at)
            return
        self.parts.set(part, later)
        self.parts.set_sound(part, at)

    def _first_end(self, quarantined: QuarantinedRequest) -> float:
        """Return when the first known end under a quarantined subject was."""
        ends = map(self.ends.known_end, quarantined.endpoints)
        return min(quarantined.since, min(ends, default=inf))

    def clear(self, subject: str, reason: str, at: float | None = None) -> bool:
        """Remove evidence and quarantine of a subject; return if there was any.

        It was cleared ``at`` some time, or now. For some time late reports of other
        entries are ignored as well.
        """
        table = self.verdicts.table(subject)
        table.set_sound(subject, self.clock() if at is None else at)
        self.turns.report_due_at.pop(subject, None)
        was_suspected = table.is_suspected(subject)
        evidence = table.pop(subject)
        if was_suspected:
            kind = table.rules.kind
            log_decision(f"{kind} cleared", fingerprint=subject, reason=reason)
        lifted = self.quarantined.pop(subject, None)
        if lifted is not None:
            log_decision(
                "quarantine lifted",
                fingerprint=subject,
                reason=reason,
                endpoints=sorted(lifted.endpoints),
            )
            self._update_gauges()
            if self.on_lift is not None:
                self.on_lift(subject)
        self.runs.notify()
        return bool(evidence) or lifted is not None

    def on_good_runs_reported(self, fingerprint: str, reported: GoodRuns) -> None:
        """Record good runs that another entry knows of, and drop earlier ends."""
        requests = self.requests
        requests.history.on_reported(fingerprint, reported)
        if reported.last_at <= requests.sound_at.get(fingerprint, -inf):
            return
        requests.set_sound(fingerprint, reported.last_at)
        later = reported.last_at + SOUND_SECONDS
        evidence = requests.get(fingerprint)
        remaining = tuple(run for run in evidence if run.ended_at >= later)
        requests.set(fingerprint, remaining)

    def on_alive(self, endpoint: str) -> None:
        """Record that an endpoint has answered and so has not ended."""
        if self.ends.on_alive(endpoint):
            self._drop_endpoints((endpoint,))

    def on_announced(self, endpoint: str) -> None:
        """Record a new announcement of an endpoint."""
        if self.ends.proves_life(endpoint):
            self.on_alive(endpoint)

    def decide(self) -> list[str]:
        """Quarantine the subjects found to be fatal; return the new ones.

        Those whose decision is not due yet are left out.
        """
        found: list[str] = []
        for name in self.verdicts.due():
            if self.verdicts.is_fatal(name):
                self.put(name, "endpoints ended under it")
                found.append(name)
        self.runs.notify()
        return found

    def put(self, subject: str, reason: str, endpoints: Iterable[str] = ()) -> None:
        """Quarantine a subject; its ends no longer count against others.

        ``endpoints`` are boots that ended under it, besides those known here.
        """
        if subject in self.quarantined:
            return
        table = self.verdicts.table(subject)
        self.turns.report_due_at.pop(subject, None)
        ended = endpoints_of(table.get(subject)).union(endpoints)
        self.quarantined[subject] = self._quarantined(subject, ended)
        table.pop(subject)
        if len(self.quarantined) > MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._log("quarantined", subject, ended, reason)
        self._update_gauges()
        self._drop_endpoints(ended)
        self.runs.notify()

    def _quarantined(self, subject: str, ended: frozenset[str]) -> QuarantinedRequest:
        """Return a subject that is quarantined now, with what its trials must avoid."""
        now, verdicts = self.clock(), self.verdicts
        if is_part(subject):
            companions = verdicts.companions(subject)
            return quarantined_part(ended, now, companions, verdicts.requests_at(ended))
        has_run_well = verdicts.requests.history.has_run_well(subject)
        return quarantined_request(ended, now, TRIAL_DELAYS if has_run_well else ())

    def _drop_endpoints(self, ended: Collection[str]) -> None:
        """Remove ends that are explained, or did not happen, from all evidence."""
        self.requests.drop_endpoints(ended)
        self.parts.drop_endpoints(ended)

    def _earliest_end(self, run: FatalRun) -> float:
        """Return the earliest known end of an endpoint, and update it.

        The first report may be of runs that were sent after the endpoint had ended.
        """
        known = self.ends.known_end(run.endpoint)
        if run.ended_at >= known:
            return known
        self.ends.on_ended(run.endpoint, run.ended_at)
        if known < inf:
            latest = run.ended_at + REPORT_SKEW_SECONDS
            self.requests.drop_runs_after(run.endpoint, latest)
            self.parts.drop_runs_after(run.endpoint, latest)
        return run.ended_at

    def _on_end_in_quarantine(self, subject: str, run: FatalRun) -> None:
        before = self.quarantined[subject]
        after = with_end(before, run, self.clock())
        self.quarantined[subject] = after
        self._drop_endpoints((run.endpoint,))
        if after.failed_trials > before.failed_trials:
            reason = "an endpoint ended under a trial run"
            self._log("quarantined", subject, after.endpoints, reason)

    def _is_explained(self, endpoint: str) -> bool:
        return any(endpoint in each.endpoints for each in self.quarantined.values())

    def _update_gauges(self) -> None:
        parts = sum(map(is_part, self.quarantined))
        quarantined_parts.set(parts)
        quarantined_requests.set(len(self.quarantined) - parts)

    def _log(
        self, verdict: str, subject: str, ended: frozenset[str], reason: str
    ) -> None:
        log_decision(
            f"{self.verdicts.table(subject).rules.kind} {verdict}",
            fingerprint=subject,
            reason=reason,
            endpoints=sorted(ended),
            in_flight=self.runs.in_flight[subject],
        )
