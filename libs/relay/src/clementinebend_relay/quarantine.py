"""Requests that are kept from endpoints because these end under them.

The decisions are those of ``clementinebend_routing.fatal_runs``; here is what this
entry knows of each request, by its fingerprint.
"""

from asyncio import Event, timeout_at
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from itertools import islice
from math import inf

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoint_ends import HEARD_LATE
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

QUARANTINE_PAUSE = 30.0
"""Seconds after which a caller of a quarantined request may come back: somebody has to
mend the request or the endpoints first."""

SUSPECT_PAUSE = 1.0
"""Seconds after which a caller may come back while another run of a suspected request
is awaited."""

SUSPECT_WAIT = 2.0
"""Seconds that a call waits for it: by then a run has ended its endpoint, or is whole,
or a stream has gone well for long enough to clear the request."""

SOUND_SECONDS = 3.0
"""How long the last whole answer to a request speaks for it: word of an end may come
that much later than the answer."""

ALIVE_SECONDS = 2.0
"""Seconds after its supposed end from which on an endpoint's announcement shows that it
lives: one that is read sooner may have been written before."""

JUDGEMENT_SECONDS = 0.3
"""How long a request under which enough endpoints ended is held for the judgement."""

MOST_SUSPECTS = 2_000
MOST_SOUND = 5_000
"""Requests that are remembered, some 1 MB in all."""

OLDEST_COMPARED = 50
"""Suspects compared when one must be forgotten: a flood of requests that ended one
endpoint each does not push out those that ended several."""

MOST_ALIVE = 10_000
"""Endpoints of which it is remembered when they were heard last, some 1 MB."""

MOST_QUARANTINED = 1_000
"""Quarantined requests that are remembered; each has ended endpoints, so that nobody
can push others out by sending different ones."""


class Quarantine:
    """What this entry believes of requests, and which of them it keeps back."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.evidence: dict[str, Evidence] = {}
        self.quarantined: dict[str, frozenset[str]] = {}
        self.sound_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.alive_at: dict[str, float] = {}
        self.judged_at: dict[str, float] = {}
        self.in_flight: Counter[str] = Counter()
        self.changed = Event()
        self.on_lift: Callable[[str], None] | None = None

    def refusal(self, fingerprint: str) -> Rejection | None:
        """Return why a request may not go to any endpoint, if it may not."""
        if fingerprint not in self.quarantined:
            return None
        message = "endpoints have ended under this request; mend it, or its endpoints"
        return Rejection(Reason.QUARANTINED, message, QUARANTINE_PAUSE)

    def is_suspected(self, fingerprint: str) -> bool:
        """Tell whether a request should run one at a time and apart from others."""
        return is_suspected(self.evidence.get(fingerprint, ()))

    async def turn(self, fingerprint: str, deadline: float) -> Rejection | None:
        """Return once a call may be sent, or why it may not.

        A suspected request waits until its run before has ended. Whoever is let go
        enters ``running`` at once.
        """
        until = min(deadline, self.clock() + SUSPECT_WAIT)
        while self._must_wait(fingerprint):
            if self.clock() >= until:
                message = "another run of this request must end first"
                return Rejection(Reason.OVERLOADED, message, SUSPECT_PAUSE)
            with suppress(TimeoutError):
                async with timeout_at(until):
                    await self.changed.wait()
        return self.refusal(fingerprint)

    def _must_wait(self, fingerprint: str) -> bool:
        """Tell whether a run of a suspect goes on, or whether it is being judged."""
        if not self.is_suspected(fingerprint):
            return False
        is_judged = self.clock() >= self.judged_at.get(fingerprint, 0.0)
        return not is_judged or self.in_flight[fingerprint] > 0

    @contextmanager
    def running(self, fingerprint: str) -> Iterator[None]:
        """Count a run of a request while it lasts."""
        self.in_flight[fingerprint] += 1
        try:
            yield
        finally:
            self.in_flight[fingerprint] -= 1
            if not self.in_flight[fingerprint]:
                del self.in_flight[fingerprint]
            self._wake()

    def on_run_ended(self, fingerprint: str, run: FatalRun) -> bool:
        """Take that an endpoint ended under a request; return if that is evidence.

        It is none shortly after a whole answer to the request, if the end is explained
        by a request that is quarantined, or if the endpoint was heard since. Nor is it
        if the run was sent after the end, as another entry saw it.
        """
        if self.alive_at.get(run.endpoint, -inf) > run.ended_at + HEARD_LATE:
            return False
        run = run._replace(ended_at=self._first_end(run))
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
            self.judged_at.setdefault(fingerprint, self.clock() + JUDGEMENT_SECONDS)
        self._bound()
        return True

    def on_sound(self, fingerprint: str) -> bool:
        """Take that a request ran well; return if that changes what is believed."""
        return self.clear(fingerprint, "it ran well")

    def clear(self, fingerprint: str, reason: str) -> bool:
        """Hold nothing against a request any more; return if something was held.

        For a while nothing that others tell late is held against it either.
        """
        self.sound_at.pop(fingerprint, None)
        self.sound_at[fingerprint] = self.clock()
        if len(self.sound_at) > MOST_SOUND:
            del self.sound_at[next(iter(self.sound_at))]
        evidence = self.evidence.pop(fingerprint, ())
        if is_suspected(evidence):
            log_decision("request cleared", fingerprint=fingerprint, reason=reason)
        lifted = self.quarantined.pop(fingerprint, None)
        if lifted is not None:
            self._log("quarantine lifted", fingerprint, lifted, reason)
            self._count()
            if self.on_lift is not None:
                self.on_lift(fingerprint)
        self._wake()
        return bool(evidence) or lifted is not None

    def is_sound(self, fingerprint: str) -> bool:
        """Tell whether a request was answered whole, or cleared, a moment ago."""
        at = self.sound_at.get(fingerprint)
        return at is not None and self.clock() - at < SOUND_SECONDS

    def on_alive(self, endpoint: str) -> None:
        """Take that an endpoint has answered: it has not ended."""
        self.alive_at.pop(endpoint, None)
        self.alive_at[endpoint] = self.clock()
        if len(self.alive_at) > MOST_ALIVE:
            del self.alive_at[next(iter(self.alive_at))]
        if self.clock() - self.ended_at.get(endpoint, inf) <= HEARD_LATE:
            return
        del self.ended_at[endpoint]
        log_decision("endpoint not ended", endpoint=endpoint)
        for fingerprint, evidence in list(self.evidence.items()):
            self._keep(fingerprint, without_endpoints(evidence, (endpoint,)))

    def on_announced(self, endpoint: str) -> None:
        """Take that an endpoint has announced itself again."""
        at = self.ended_at.get(endpoint)
        if at is not None and self.clock() - at > ALIVE_SECONDS:
            self.on_alive(endpoint)

    def judge(self) -> list[str]:
        """Quarantine requests that end endpoints; return those that are new."""
        found = [
            name
            for name, evidence in self.evidence.items()
            if len(evidence) >= MIN_FATAL_ENDS and self._is_fatal(name)
        ]
        for fingerprint in found:
            self.put(fingerprint, "endpoints ended under it")
        now = self.clock()
        self.judged_at = {name: at for name, at in self.judged_at.items() if at > now}
        self._wake()
        return found

    def put(self, fingerprint: str, reason: str, endpoints: Iterable[str] = ()) -> None:
        """Keep a request from endpoints; its ends are no evidence against others.

        ``endpoints`` are boots that ended under it, beside those known here.
        """
        if fingerprint in self.quarantined:
            return
        own = endpoints_of(self.evidence.pop(fingerprint, ()))
        ended = self.quarantined[fingerprint] = own.union(endpoints)
        if len(self.quarantined) > MOST_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._log("request quarantined", fingerprint, ended, reason)
        self._count()
        for name, other in list(self.evidence.items()):
            self._keep(name, without_endpoints(other, ended))
        self._wake()

    def _first_end(self, run: FatalRun) -> float:
        """Return when an endpoint ended by all that is told of it.

        What is told first may be of runs that were sent when it had ended already.
        """
        known = self.ended_at.get(run.endpoint, inf)
        if run.ended_at >= known:
            return known
        self.ended_at[run.endpoint] = run.ended_at
        if known < inf:
            latest = run.ended_at + SKEW_SECONDS
            for name, evidence in list(self.evidence.items()):
                self._keep(name, without_runs_after(evidence, run.endpoint, latest))
        return run.ended_at

    def _is_fatal(self, fingerprint: str) -> bool:
        others = (self.evidence[name] for name in self.evidence if name != fingerprint)
        return is_fatal(self.evidence[fingerprint], others)

    def _is_explained(self, endpoint: str) -> bool:
        return any(endpoint in ended for ended in self.quarantined.values())

    def _keep(self, fingerprint: str, evidence: Evidence) -> None:
        if evidence:
            self.evidence[fingerprint] = evidence
        else:
            self.evidence.pop(fingerprint, None)

    def _bound(self) -> None:
        """Forget the one with least evidence of the oldest, if there are too many."""
        if len(self.evidence) > MOST_SUSPECTS:
            oldest = islice(self.evidence, OLDEST_COMPARED)
            del self.evidence[min(oldest, key=lambda name: len(self.evidence[name]))]
        if len(self.ended_at) > MOST_SUSPECTS:
            del self.ended_at[next(iter(self.ended_at))]

    def _wake(self) -> None:
        self.changed.set()
        self.changed.clear()

    def _count(self) -> None:
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
