"""Quarantine of requests that are suspected of crashing the endpoints that run them.

The rules are those of ``clementinebend_routing.fatal_runs``; this module keeps the
evidence that they are applied to, by the fingerprint of the request.
"""

from asyncio import timeout_at
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import suppress
from itertools import islice, takewhile
from math import inf
from random import random

from clementinebend_relay.confinement import Confinement
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.end_detector import LATE_DATA_SECONDS
from clementinebend_relay.metrics import quarantined_requests
from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.quarantine_trials import (
    TRIAL_SECONDS,
    QuarantinedRequest,
    is_on_trial,
    quarantined_request,
    retry_delay,
    with_end,
)
from clementinebend_relay.run_history import GoodRuns, RunHistory
from clementinebend_relay.runs_in_progress import RunsInProgress
from clementinebend_routing.fatal_runs import (
    MIN_FATAL_ENDS,
    MIN_SUSPECT_ENDS,
    Evidence,
    FatalRun,
    endpoints_of,
    is_fatal,
    is_suspected,
    sequential_ends,
    with_run,
    without_endpoints,
    without_runs_after,
)

QUARANTINE_RETRY_DELAY = 30.0
"""Seconds after which a caller of a quarantined request may retry: the request or the
endpoints have to be fixed first."""

SUSPECT_RETRY_DELAY = 1.0
"""Seconds after which a caller may retry while another run of its suspected request is
in progress."""

SUSPECT_WAIT_SECONDS = 2.0
"""Maximum seconds that a call waits for a check, a decision or another run."""

SUSPECT_WAIT_SHARE = 0.25
"""Maximum share of its remaining time that a call waits. The rest is left for its
run."""

SOUND_SECONDS = 3.0
"""Seconds after a complete answer during which ends are not held against its request:
the report of an earlier end may arrive that much later than the answer."""

REPORT_SKEW_SECONDS = 0.1
"""How much later than the end of its endpoint a run may appear to be sent: the times of
two reports differ by the delays of their datagrams."""

ALIVE_SECONDS = 2.0
"""Seconds after an endpoint's supposed end from which on an announcement proves that it
is running: one that is read sooner may have been written before the end."""

DECISION_DELAY = 0.15
"""Seconds between the report of an end and the decision about quarantines. Entries
report the same end within a few milliseconds of each other, and the cause can only be
told from all suspects together."""

SHARED_DECISION_DELAY = 1.3
"""The same delay if another request shares enough of the ends to be the cause. Its
report of the last end may have to be repeated, or its proof is the next boot."""

DECISION_JITTER = 0.1
"""Maximum random addition to that delay in seconds: the first entry to decide informs
the others."""

MAX_DECISION_LATENESS = 0.05
"""Seconds after which a call no longer waits for a decision that is overdue."""

REPORT_WAIT = 0.35
"""Seconds for which calls of a confined request wait for the report of an end, if its
endpoint refuses connections: longer than the first repetition of a report takes."""

MAX_RIVALS = 8
"""Maximum number of other suspects whose endpoints a suspected request avoids."""

MAX_SUSPECTS = 2_000
MAX_SOUND = 5_000
"""Maximum numbers of suspected and of cleared requests kept, about 1 MB in total."""

EVICTION_CANDIDATES = 50
"""Number of oldest suspects from which the one to evict is chosen. The one with the
least evidence is evicted, so that many requests that ended one endpoint each do not
displace those that ended several."""

MAX_ALIVE = 10_000
"""Maximum number of endpoints for which the time of their last answer is kept, about
1 MB."""

MAX_QUARANTINED = 1_000
"""Maximum number of quarantined requests kept. Each of them has ended endpoints, so
that a caller cannot displace others by merely sending different requests."""


class Quarantine:
    """Evidence of this entry against requests, and the quarantined requests.

    ``evidence`` holds the fatal runs of requests that are not quarantined,
    ``sound_at`` when a request last ran well or was cleared, ``ended_at`` and
    ``alive_at`` when an endpoint ended and when it last answered. ``history`` holds the
    requests that have run well, ``runs`` the runs in progress.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.evidence: dict[str, Evidence] = {}
        self.quarantined: dict[str, QuarantinedRequest] = {}
        self.sound_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.alive_at: dict[str, float] = {}
        self.decision_due_at: dict[str, float] = {}
        self.report_due_at: dict[str, float] = {}
        self.history = RunHistory(clock)
        self.runs = RunsInProgress()
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

    def knows_good_runs(self, fingerprint: str) -> bool:
        """Return whether other entries should hear of good runs of a request."""
        return self.is_sound(fingerprint) or self.history.has_run_well(fingerprint)

    def confinement(self, fingerprint: str) -> Confinement | None:
        """Return how the runs of a request are confined, None if they are not."""
        request = self.quarantined.get(fingerprint)
        if request is not None:
            return Confinement(request.since)
        evidence = self.evidence.get(fingerprint)
        if not evidence:
            return None
        since = max(run.ended_at for run in evidence)
        is_strict = self.is_suspected(fingerprint)
        return Confinement(since, is_strict, tuple(self._rivals(fingerprint)))

    def _rivals(self, fingerprint: str) -> Iterator[str]:
        """Return the suspects that choose an endpoint before a suspected request."""
        if self.is_suspected(fingerprint):
            sharing = sorted(self._sharing(fingerprint, MIN_SUSPECT_ENDS))
            before = takewhile(lambda name: name < fingerprint, sharing)
            yield from islice(filter(self.is_suspected, before), MAX_RIVALS)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether endpoints have ended in sequence under a request."""
        return is_suspected(self.evidence.get(fingerprint, ()))

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
        now = self.clock()
        max_wait = min(SUSPECT_WAIT_SECONDS, (deadline - now) * SUSPECT_WAIT_SHARE)
        until = now + max_wait
        while (blocked_until := self._blocked_until(fingerprint, may_repeat)) > now:
            if now >= until and not self.is_suspected(fingerprint):
                break
            if now >= until:
                message = "another run of this request must end first"
                pause = min(SUSPECT_RETRY_DELAY, blocked_until - now)
                return Rejection(Reason.OVERLOADED, message, pause)
            with suppress(TimeoutError):
                async with timeout_at(min(until, blocked_until)):
                    await self.runs.changed.wait()
            now = self.clock()
        return self.refusal(fingerprint)

    def _blocked_until(self, fingerprint: str, may_repeat: bool) -> float:
        """Return until when a call waits for a check, a run or a decision at most."""
        if self.runs.in_check[fingerprint]:
            return inf
        if fingerprint not in self.evidence:
            return -inf
        is_first = may_repeat or not self.is_suspected(fingerprint)
        is_busy = self.runs.in_flight[fingerprint] > 0 and not is_first
        if is_busy:
            return inf
        decided_at = self.decision_due_at.get(fingerprint, -inf) + MAX_DECISION_LATENESS
        return max(decided_at, self.report_due_at.get(fingerprint, -inf))

    def on_unreachable(self, fingerprint: str) -> None:
        """Record that the endpoint of a call refused its connection.

        If the request is confined, that may be one more end under it whose report is on
        its way.
        """
        if fingerprint in self.evidence:
            self.report_due_at[fingerprint] = self.clock() + REPORT_WAIT

    def on_run_ended(self, fingerprint: str, run: FatalRun) -> bool:
        """Record that an endpoint ended under a request; return if that is evidence.

        It is not evidence before, or shortly after, a complete answer to the request,
        if the end is explained by a quarantined request, or if the endpoint has
        answered since. Nor is it if the run was sent after the end as observed by
        another entry.
        """
        if self.alive_at.get(run.endpoint, -inf) > run.ended_at + LATE_DATA_SECONDS:
            return False
        run = run._replace(ended_at=self._earliest_end(run))
        if run.sent_at > run.ended_at + REPORT_SKEW_SECONDS:
            return False
        if run.ended_at <= self.sound_at.get(fingerprint, -inf):
            return False
        if fingerprint in self.quarantined:
            self._on_end_in_quarantine(fingerprint, run)
            return True
        if self.is_sound(fingerprint) or self._is_explained(run.endpoint):
            return False
        before = self.evidence.pop(fingerprint, ())
        evidence = self.evidence[fingerprint] = with_run(before, run)
        if not is_suspected(before) and is_suspected(evidence):
            reason = "endpoints ended under it, and it was not answered"
            self._log("request suspected", fingerprint, endpoints_of(evidence), reason)
        is_new = endpoints_of(before) != endpoints_of(evidence)
        if is_new and self.report_due_at.pop(fingerprint, None) is not None:
            self.runs.notify()
        if is_new and sequential_ends(evidence) >= MIN_FATAL_ENDS:
            self._schedule_decision(fingerprint)
        self._evict()
        return True

    def on_sound(self, fingerprint: str) -> bool:
        """Clear a request that ran well; return if there was anything against it."""
        self.history.on_good_run(fingerprint)
        return self.clear(fingerprint, "it ran well")

    def clear(self, fingerprint: str, reason: str) -> bool:
        """Remove evidence and quarantine of a request; return if there was any.

        For ``SOUND_SECONDS`` late reports of other entries are ignored as well.
        """
        self._set_sound(fingerprint, self.clock())
        self.report_due_at.pop(fingerprint, None)
        evidence = self.evidence.pop(fingerprint, ())
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
        self.history.on_reported(fingerprint, reported)
        if reported.last_at <= self.sound_at.get(fingerprint, -inf):
            return
        self._set_sound(fingerprint, reported.last_at)
        later = reported.last_at + SOUND_SECONDS
        evidence = self.evidence.get(fingerprint, ())
        remaining = tuple(run for run in evidence if run.ended_at >= later)
        self._set_evidence(fingerprint, remaining)

    def _set_sound(self, fingerprint: str, at: float) -> None:
        self.sound_at.pop(fingerprint, None)
        self.sound_at[fingerprint] = at
        if len(self.sound_at) > MAX_SOUND:
            del self.sound_at[next(iter(self.sound_at))]

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether a request was recently answered completely, or cleared."""
        at = self.sound_at.get(fingerprint)
        return at is not None and self.clock() - at < SOUND_SECONDS

    def on_alive(self, endpoint: str) -> None:
        """Record that an endpoint has answered and so has not ended."""
        self.alive_at.pop(endpoint, None)
        self.alive_at[endpoint] = self.clock()
        if len(self.alive_at) > MAX_ALIVE:
            del self.alive_at[next(iter(self.alive_at))]
        if self.clock() - self.ended_at.get(endpoint, inf) <= LATE_DATA_SECONDS:
            return
        del self.ended_at[endpoint]
        log_decision("endpoint not ended", endpoint=endpoint)
        for fingerprint, evidence in list(self.evidence.items()):
            self._set_evidence(fingerprint, without_endpoints(evidence, (endpoint,)))

    def on_announced(self, endpoint: str) -> None:
        """Record a new announcement of an endpoint."""
        at = self.ended_at.get(endpoint)
        if at is not None and self.clock() - at > ALIVE_SECONDS:
            self.on_alive(endpoint)

    def decide(self) -> list[str]:
        """Quarantine the requests found to be fatal; return the new ones.

        Requests whose decision is not due yet are left out. All entries judge in the
        same order, so that the same ends are held against the same request.
        """
        self._drop_due_decisions()
        candidates = [
            name
            for name, evidence in self.evidence.items()
            if len(evidence) >= MIN_FATAL_ENDS and name not in self.decision_due_at
        ]
        candidates.sort(key=lambda name: (-len(self.evidence[name]), name))
        found = [name for name in candidates if self._put_if_fatal(name)]
        self.runs.notify()
        return found

    def _schedule_decision(self, fingerprint: str) -> None:
        """Set when to decide about a request under which enough endpoints ended."""
        is_shared = any(self._sharing(fingerprint, MIN_SUSPECT_ENDS))
        delay = SHARED_DECISION_DELAY if is_shared else DECISION_DELAY
        delay += random() * DECISION_JITTER
        self.decision_due_at[fingerprint] = self.clock() + delay

    def _drop_due_decisions(self) -> None:
        """Remove due decisions, unless one about a request with shared ends is not."""
        now = self.clock()
        pending = {name: at for name, at in self.decision_due_at.items() if at > now}
        for name in self.decision_due_at.keys() - pending.keys():
            sharing = pending.keys() & set(self._sharing(name, 1))
            if sharing:
                pending[name] = max(pending[each] for each in sharing)
        self.decision_due_at = pending

    def _sharing(self, fingerprint: str, min_ends: int) -> Iterator[str]:
        """Return the requests that were present at so many ends of another one."""
        own = endpoints_of(self.evidence.get(fingerprint, ()))
        for name, evidence in self.evidence.items():
            if name != fingerprint and len(own & endpoints_of(evidence)) >= min_ends:
                yield name

    def next_decision_at(self) -> float | None:
        """Return when the next decision is due, if one is."""
        return min(self.decision_due_at.values(), default=None)

    def _put_if_fatal(self, fingerprint: str) -> bool:
        """Quarantine a request if it is fatal, also after others were quarantined."""
        if fingerprint not in self.evidence or not self._is_fatal(fingerprint):
            return False
        self.put(fingerprint, "endpoints ended under it")
        return True

    def put(self, fingerprint: str, reason: str, endpoints: Iterable[str] = ()) -> None:
        """Quarantine a request; its ends no longer count against other requests.

        ``endpoints`` are boots that ended under it, besides those known here.
        """
        if fingerprint in self.quarantined:
            return
        self.report_due_at.pop(fingerprint, None)
        evidence = self.evidence.pop(fingerprint, ())
        ended = endpoints_of(evidence).union(endpoints)
        self.quarantined[fingerprint] = quarantined_request(
            ended, self.clock(), self.history.has_run_well(fingerprint)
        )
        if len(self.quarantined) > MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._log("request quarantined", fingerprint, ended, reason)
        self._update_gauge()
        self._explain(ended)
        self.runs.notify()

    def _explain(self, ended: Collection[str]) -> None:
        """Remove ends that a quarantined request explains from all evidence."""
        for name, other in list(self.evidence.items()):
            self._set_evidence(name, without_endpoints(other, ended))

    def _earliest_end(self, run: FatalRun) -> float:
        """Return the earliest known end of an endpoint, and update it.

        The first report may be of runs that were sent after the endpoint had ended.
        """
        known = self.ended_at.get(run.endpoint, inf)
        if run.ended_at >= known:
            return known
        self.ended_at[run.endpoint] = run.ended_at
        if known < inf:
            latest = run.ended_at + REPORT_SKEW_SECONDS
            for name, evidence in list(self.evidence.items()):
                self._set_evidence(
                    name, without_runs_after(evidence, run.endpoint, latest)
                )
        return run.ended_at

    def _is_fatal(self, fingerprint: str) -> bool:
        others = (self.evidence[name] for name in self.evidence if name != fingerprint)
        has_run_well = self.history.has_run_well(fingerprint)
        return is_fatal(self.evidence[fingerprint], others, has_run_well)

    def _on_end_in_quarantine(self, fingerprint: str, run: FatalRun) -> None:
        before = self.quarantined[fingerprint]
        after = with_end(before, run.endpoint, run.sent_at, self.clock())
        self.quarantined[fingerprint] = after
        self._explain((run.endpoint,))
        if after.failed_trials > before.failed_trials:
            reason = "an endpoint ended under a trial run"
            self._log("request quarantined", fingerprint, after.endpoints, reason)

    def _is_explained(self, endpoint: str) -> bool:
        return any(endpoint in each.endpoints for each in self.quarantined.values())

    def _set_evidence(self, fingerprint: str, evidence: Evidence) -> None:
        if evidence:
            self.evidence[fingerprint] = evidence
        else:
            self.evidence.pop(fingerprint, None)

    def _evict(self) -> None:
        """Evict one suspect and one known end if there are too many.

        The evicted suspect is the one with the least evidence among the oldest.
        """
        if len(self.evidence) > MAX_SUSPECTS:
            oldest = islice(self.evidence, EVICTION_CANDIDATES)
            evicted = min(oldest, key=lambda name: len(self.evidence[name]))
            del self.evidence[evicted]
            self.report_due_at.pop(evicted, None)
        if len(self.ended_at) > MAX_SUSPECTS:
            del self.ended_at[next(iter(self.ended_at))]

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
