"""Quarantine of requests that are suspected of crashing the endpoints that run them.

The rules are those of ``clementinebend_routing.fatal_runs``; this module keeps the
evidence that they are applied to, by the fingerprint of the request.
"""

from asyncio import Event, timeout_at
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from itertools import islice
from math import inf

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.end_detector import LATE_DATA_SECONDS
from clementinebend_relay.metrics import quarantined_requests
from clementinebend_relay.models import Reason, Rejection
from clementinebend_routing.fatal_runs import (
    MIN_FATAL_ENDS,
    SKEW_SECONDS,
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
"""Maximum seconds that a call waits for that run. By then the run has ended its
endpoint or is complete, or its stream has lasted long enough to clear the request."""

SOUND_SECONDS = 3.0
"""Seconds after a complete answer during which ends are not held against its request:
the report of an earlier end may arrive that much later than the answer."""

ALIVE_SECONDS = 2.0
"""Seconds after an endpoint's supposed end from which on an announcement proves that it
is running: one that is read sooner may have been written before the end."""

DECISION_SECONDS = 0.3
"""Maximum seconds for which calls of a request under which enough endpoints have ended
wait for the decision about a quarantine."""

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
    ``quarantined`` the endpoints that ended under each quarantined request,
    ``sound_at`` when a request last ran well or was cleared, ``ended_at`` and
    ``alive_at`` when an endpoint ended and when it last answered.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.evidence: dict[str, Evidence] = {}
        self.quarantined: dict[str, frozenset[str]] = {}
        self.sound_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.alive_at: dict[str, float] = {}
        self.decision_due_at: dict[str, float] = {}
        self.in_flight: Counter[str] = Counter()
        self.changed = Event()
        self.on_lift: Callable[[str], None] | None = None

    def refusal(self, fingerprint: str) -> Rejection | None:
        """Return the rejection of a quarantined request, None for other requests."""
        if fingerprint not in self.quarantined:
            return None
        message = "endpoints have ended under this request; mend it, or its endpoints"
        return Rejection(Reason.QUARANTINED, message, QUARANTINE_RETRY_DELAY)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request should run one at a time, apart from others."""
        return is_suspected(self.evidence.get(fingerprint, ()))

    async def wait_for_turn(
        self, fingerprint: str, deadline: float
    ) -> Rejection | None:
        """Wait until a call may be sent; return its rejection if it may not.

        A suspected request waits until its previous run has ended. A caller that is
        admitted must enter ``running`` immediately.
        """
        until = min(deadline, self.clock() + SUSPECT_WAIT_SECONDS)
        while self._must_wait(fingerprint):
            if self.clock() >= until:
                message = "another run of this request must end first"
                return Rejection(Reason.OVERLOADED, message, SUSPECT_RETRY_DELAY)
            with suppress(TimeoutError):
                async with timeout_at(until):
                    await self.changed.wait()
        return self.refusal(fingerprint)

    def _must_wait(self, fingerprint: str) -> bool:
        """Return whether a suspect has a run in progress or a decision pending."""
        if not self.is_suspected(fingerprint):
            return False
        is_judged = self.clock() >= self.decision_due_at.get(fingerprint, 0.0)
        return not is_judged or self.in_flight[fingerprint] > 0

    @contextmanager
    def running(self, fingerprint: str) -> Iterator[None]:
        """Count a run of a request as in progress during the context."""
        self.in_flight[fingerprint] += 1
        try:
            yield
        finally:
            self.in_flight[fingerprint] -= 1
            if not self.in_flight[fingerprint]:
                del self.in_flight[fingerprint]
            self._notify_waiters()

    def on_run_ended(self, fingerprint: str, run: FatalRun) -> bool:
        """Record that an endpoint ended under a request; return if that is evidence.

        It is not evidence shortly after a complete answer to the request, if the end is
        explained by a quarantined request, or if the endpoint has answered since. Nor
        is it if the run was sent after the end as observed by another entry.
        """
        if self.alive_at.get(run.endpoint, -inf) > run.ended_at + LATE_DATA_SECONDS:
            return False
        run = run._replace(ended_at=self._earliest_end(run))
        if run.sent_at > run.ended_at + SKEW_SECONDS:
            return False
        if fingerprint in self.quarantined:
            self.quarantined[fingerprint] |= {run.endpoint}
            return True
        if self.is_sound(fingerprint) or self._is_explained(run.endpoint):
            return False
        before = self.evidence.pop(fingerprint, ())
        evidence = self.evidence[fingerprint] = with_run(before, run)
        if not is_suspected(before) and is_suspected(evidence):
            reason = "endpoints ended under it, and it was not answered"
            self._log("request suspected", fingerprint, endpoints_of(evidence), reason)
        if sequential_ends(evidence) >= MIN_FATAL_ENDS:
            self.decision_due_at.setdefault(
                fingerprint, self.clock() + DECISION_SECONDS
            )
        self._evict()
        return True

    def on_sound(self, fingerprint: str) -> bool:
        """Clear a request that ran well; return if there was anything against it."""
        return self.clear(fingerprint, "it ran well")

    def clear(self, fingerprint: str, reason: str) -> bool:
        """Remove evidence and quarantine of a request; return if there was any.

        For ``SOUND_SECONDS`` late reports of other entries are ignored as well.
        """
        self.sound_at.pop(fingerprint, None)
        self.sound_at[fingerprint] = self.clock()
        if len(self.sound_at) > MAX_SOUND:
            del self.sound_at[next(iter(self.sound_at))]
        evidence = self.evidence.pop(fingerprint, ())
        if is_suspected(evidence):
            log_decision("request cleared", fingerprint=fingerprint, reason=reason)
        lifted = self.quarantined.pop(fingerprint, None)
        if lifted is not None:
            self._log("quarantine lifted", fingerprint, lifted, reason)
            self._update_gauge()
            if self.on_lift is not None:
                self.on_lift(fingerprint)
        self._notify_waiters()
        return bool(evidence) or lifted is not None

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
        """Quarantine the requests found to be fatal; return the new ones."""
        found = [
            name
            for name, evidence in self.evidence.items()
            if len(evidence) >= MIN_FATAL_ENDS and self._is_fatal(name)
        ]
        for fingerprint in found:
            self.put(fingerprint, "endpoints ended under it")
        now = self.clock()
        self.decision_due_at = {
            name: at for name, at in self.decision_due_at.items() if at > now
        }
        self._notify_waiters()
        return found

    def put(self, fingerprint: str, reason: str, endpoints: Iterable[str] = ()) -> None:
        """Quarantine a request; its ends no longer count against other requests.

        ``endpoints`` are boots that ended under it, besides those known here.
        """
        if fingerprint in self.quarantined:
            return
        own = endpoints_of(self.evidence.pop(fingerprint, ()))
        ended = self.quarantined[fingerprint] = own.union(endpoints)
        if len(self.quarantined) > MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._log("request quarantined", fingerprint, ended, reason)
        self._update_gauge()
        for name, other in list(self.evidence.items()):
            self._set_evidence(name, without_endpoints(other, ended))
        self._notify_waiters()

    def _earliest_end(self, run: FatalRun) -> float:
        """Return the earliest known end of an endpoint, and update it.

        The first report may be of runs that were sent after the endpoint had ended.
        """
        known = self.ended_at.get(run.endpoint, inf)
        if run.ended_at >= known:
            return known
        self.ended_at[run.endpoint] = run.ended_at
        if known < inf:
            latest = run.ended_at + SKEW_SECONDS
            for name, evidence in list(self.evidence.items()):
                self._set_evidence(
                    name, without_runs_after(evidence, run.endpoint, latest)
                )
        return run.ended_at

    def _is_fatal(self, fingerprint: str) -> bool:
        others = (self.evidence[name] for name in self.evidence if name != fingerprint)
        return is_fatal(self.evidence[fingerprint], others)

    def _is_explained(self, endpoint: str) -> bool:
        return any(endpoint in ended for ended in self.quarantined.values())

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
            del self.evidence[min(oldest, key=lambda name: len(self.evidence[name]))]
        if len(self.ended_at) > MAX_SUSPECTS:
            del self.ended_at[next(iter(self.ended_at))]

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed.clear()

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
            in_flight=self.in_flight[fingerprint],
        )
