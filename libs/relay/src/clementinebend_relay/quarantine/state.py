"""Quarantine of requests that are suspected of crashing the endpoints that run them.

The rules are those of ``clementinebend_routing.fatal_runs``; this module applies them
to the evidence, and keeps the quarantined requests by their fingerprints.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice, takewhile
from math import inf
from random import random

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.metrics import quarantined_requests
from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.quarantine.confinement import Confinement
from clementinebend_relay.quarantine.endpoint_ends import EndpointEnds
from clementinebend_relay.quarantine.evidence import SOUND_SECONDS, EvidenceTable
from clementinebend_relay.quarantine.history import GoodRuns
from clementinebend_relay.quarantine.runs import RunsInProgress
from clementinebend_relay.quarantine.trials import (
    TRIAL_SECONDS,
    QuarantinedRequest,
    is_on_trial,
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
    is_suspected,
    sequential_ends,
)

QUARANTINE_RETRY_DELAY = 30.0
"""Seconds after which a caller of a quarantined request may retry: the request or the
endpoints have to be fixed first."""

REPORT_SKEW_SECONDS = 0.1
"""How much later than the end of its endpoint a run may appear to be sent: the times of
two reports differ by the delays of their datagrams."""

MAX_RIVALS = 8
"""Maximum number of other suspects whose endpoints a suspected request avoids."""

MAX_QUARANTINED = 1_000
"""Maximum number of quarantined requests kept. Each of them has ended endpoints, so
that a caller cannot displace others by merely sending different requests."""


class Quarantine:
    """Evidence of this entry against requests, and the quarantined requests.

    ``requests`` is the evidence against requests that are not quarantined, ``ends`` is
    what is known of endpoints, ``runs`` the runs in progress, ``turns`` the calls that
    wait.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.requests = EvidenceTable(clock)
        self.verdicts = Verdicts(self.requests, clock)
        self.quarantined: dict[str, QuarantinedRequest] = {}
        self.ends = EndpointEnds(clock)
        self.runs = RunsInProgress()
        self.turns = Turns(self.requests, self.verdicts, self.runs, clock)
        self.on_lift: Callable[[str], None] | None = None

    def refusal(self, fingerprint: str) -> Rejection | None:
        """Return the rejection of a quarantined request, None for other requests.

        None as well for a trial run, of which this entry has one at a time.
        """
        request = self.quarantined.get(fingerprint)
        if request is None:
            return None
        now = self.clock()
        is_idle = not self.runs.in_flight[fingerprint]
        if is_idle and is_on_trial(request, now):
            return None
        return self.rejection(fingerprint)

    def rejection(self, fingerprint: str) -> Rejection:
        """Return the rejection of a request that is quarantined.

        Retry-after delays until a trial are spread, so that callers return in turn.
        """
        message = "endpoints have ended under this request; mend it, or its endpoints"
        request, now = self.quarantined[fingerprint], self.clock()
        pause = retry_delay(request, now, QUARANTINE_RETRY_DELAY)
        if request.trial_at < inf:
            pause += random() * TRIAL_SECONDS
        return Rejection(Reason.QUARANTINED, message, pause)

    def confinement(self, fingerprint: str) -> Confinement | None:
        """Return how the runs of a request are confined, None if they are not."""
        request = self.quarantined.get(fingerprint)
        if request is not None:
            return Confinement(request.since)
        evidence = self.requests.get(fingerprint)
        if not evidence:
            return None
        since = max(run.ended_at for run in evidence)
        is_strict = self.is_suspected(fingerprint)
        return Confinement(since, is_strict, tuple(self._rivals(fingerprint)))

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether endpoints have ended in sequence under a request."""
        return self.requests.is_suspected(fingerprint)

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether a request was recently answered completely, or cleared."""
        return self.requests.is_sound(fingerprint)

    def knows_good_runs(self, fingerprint: str) -> bool:
        """Return whether other entries should hear of good runs of a request."""
        requests = self.requests
        has_run_well = requests.history.has_run_well(fingerprint)
        return requests.is_sound(fingerprint) or has_run_well

    async def wait_for_turn(
        self, fingerprint: str, deadline: float, may_repeat: bool = False
    ) -> Rejection | None:
        """Wait until a call may be sent; return its rejection if it may not.

        A request waits while an endpoint that broke off a run of it is checked. A
        suspected request also waits for the decision about it and, if it may not be
        repeated, until its previous run has ended; a confined one for the report of an
        end that its refused connection shows. A caller that is admitted must enter
        ``running`` immediately.
        """
        refusal = await self.turns.wait(fingerprint, deadline, may_repeat)
        return refusal or self.refusal(fingerprint)

    def on_run_ended(self, fingerprint: str, run: FatalRun) -> bool:
        """Record that an endpoint ended under a request; return if that is evidence.

        It is not evidence before, or shortly after, a complete answer to the request,
        if the end is explained by a quarantined request, or if the endpoint has
        answered since. Nor is it if the run was sent after the end as observed by
        another entry.
        """
        if self.ends.has_answered_since(run):
            return False
        run = run._replace(ended_at=self._earliest_end(run))
        if run.sent_at > run.ended_at + REPORT_SKEW_SECONDS:
            return False
        if run.ended_at <= self.requests.sound_at.get(fingerprint, -inf):
            return False
        if fingerprint in self.quarantined:
            self._on_end_in_quarantine(fingerprint, run)
            return True
        if self.is_sound(fingerprint) or self._is_explained(run.endpoint):
            return False
        before = self.requests.get(fingerprint)
        evidence = self.requests.add(fingerprint, run)
        if not is_suspected(before) and is_suspected(evidence):
            reason = "endpoints ended under it, and it was not answered"
            self._log("request suspected", fingerprint, endpoints_of(evidence), reason)
        is_new = endpoints_of(before) != endpoints_of(evidence)
        if is_new:
            self.turns.on_report(fingerprint)
        if is_new and sequential_ends(evidence) >= MIN_FATAL_ENDS:
            self.verdicts.schedule(fingerprint)
        return True

    def on_sound(self, fingerprint: str) -> bool:
        """Clear a request that ran well; return if there was anything against it."""
        self.requests.history.on_good_run(fingerprint)
        return self.clear(fingerprint, "it ran well")

    def clear(self, fingerprint: str, reason: str) -> bool:
        """Remove evidence and quarantine of a request; return if there was any.

        For ``SOUND_SECONDS`` late reports of other entries are ignored as well.
        """
        self.requests.set_sound(fingerprint, self.clock())
        self.turns.report_due_at.pop(fingerprint, None)
        evidence = self.requests.pop(fingerprint)
        if is_suspected(evidence):
            log_decision("request cleared", fingerprint=fingerprint, reason=reason)
        lifted = self.quarantined.pop(fingerprint, None)
        if lifted is not None:
            self._log("quarantine lifted", fingerprint, lifted.endpoints, reason)
            self._update_gauge()
            if self.on_lift is not None:
                self.on_lift(fingerprint)
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
            self.requests.drop_endpoints((endpoint,))

    def on_announced(self, endpoint: str) -> None:
        """Record a new announcement of an endpoint."""
        if self.ends.proves_life(endpoint):
            self.on_alive(endpoint)

    def decide(self) -> list[str]:
        """Quarantine the requests found to be fatal; return the new ones.

        Requests whose decision is not due yet are left out.
        """
        found = [name for name in self.verdicts.due() if self._put_if_fatal(name)]
        self.runs.notify()
        return found

    def _put_if_fatal(self, fingerprint: str) -> bool:
        """Quarantine a request if it is fatal, also after others were quarantined."""
        requests = self.requests
        if not requests.get(fingerprint) or not requests.is_fatal(fingerprint):
            return False
        self.put(fingerprint, "endpoints ended under it")
        return True

    def put(self, fingerprint: str, reason: str, endpoints: Iterable[str] = ()) -> None:
        """Quarantine a request; its ends no longer count against other requests.

        ``endpoints`` are boots that ended under it, besides those known here.
        """
        if fingerprint in self.quarantined:
            return
        self.turns.report_due_at.pop(fingerprint, None)
        evidence = self.requests.pop(fingerprint)
        ended = endpoints_of(evidence).union(endpoints)
        self.quarantined[fingerprint] = quarantined_request(
            ended, self.clock(), self.requests.history.has_run_well(fingerprint)
        )
        if len(self.quarantined) > MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._log("request quarantined", fingerprint, ended, reason)
        self._update_gauge()
        self.requests.drop_endpoints(ended)
        self.runs.notify()

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
        return run.ended_at

    def _rivals(self, fingerprint: str) -> Iterator[str]:
        """Return the suspects that choose an endpoint before a suspected request."""
        if self.is_suspected(fingerprint):
            sharing = sorted(self.requests.sharing(fingerprint, MIN_SUSPECT_ENDS))
            before = takewhile(lambda name: name < fingerprint, sharing)
            yield from islice(filter(self.is_suspected, before), MAX_RIVALS)

    def _on_end_in_quarantine(self, fingerprint: str, run: FatalRun) -> None:
        before = self.quarantined[fingerprint]
        after = with_end(before, run.endpoint, run.sent_at, self.clock())
        self.quarantined[fingerprint] = after
        self.requests.drop_endpoints((run.endpoint,))
        if after.failed_trials > before.failed_trials:
            reason = "an endpoint ended under a trial run"
            self._log("request quarantined", fingerprint, after.endpoints, reason)

    def _is_explained(self, endpoint: str) -> bool:
        return any(endpoint in each.endpoints for each in self.quarantined.values())

    def _update_gauge(self) -> None:
        quarantined_requests.set(len(self.quarantined))

    def _log(
        self, decision: str, fingerprint: str, ended: frozenset[str], reason: str
    ) -> None:
        log_decision(
            decision,
            fingerprint=fingerprint,
            reason=reason,
            endpoints=sorted(ended),
            in_flight=self.runs.in_flight[fingerprint],
        )
