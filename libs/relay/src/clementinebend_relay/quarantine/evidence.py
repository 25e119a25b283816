"""Evidence against requests: the runs that ended with their endpoints."""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from clementinebend_relay.quarantine.history import RunHistory
from clementinebend_routing.fatal_runs import (
    Evidence,
    FatalRun,
    endpoints_of,
    is_fatal,
    is_suspected,
    with_run,
    without_endpoints,
    without_runs_after,
)

SOUND_SECONDS = 3.0
"""Seconds after a complete answer during which ends are not held against its request:
the report of an earlier end may arrive that much later than the answer."""

MAX_SUSPECTS = 2_000
MAX_SOUND = 5_000
"""Maximum numbers of suspected and of cleared requests kept, about 1 MB in total."""

EVICTION_CANDIDATES = 50
"""Number of oldest suspects from which the one to evict is chosen. The one with the
least evidence is evicted, so that many requests that ended one endpoint each do not
displace those that ended several."""


class EvidenceTable:
    """Evidence of this entry, by the fingerprint of the request.

    ``runs`` holds the fatal runs of requests that are not quarantined, ``sound_at``
    when a request last ran well or was cleared, and ``history`` the requests that have
    run well.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.runs: dict[str, Evidence] = {}
        self.sound_at: dict[str, float] = {}
        self.history = RunHistory(clock)

    def get(self, fingerprint: str) -> Evidence:
        """Return the evidence against a request, which may be empty."""
        return self.runs.get(fingerprint, ())

    def add(self, fingerprint: str, run: FatalRun) -> Evidence:
        """Add a run to the evidence against a request, and return the evidence."""
        evidence = with_run(self.runs.pop(fingerprint, ()), run)
        self.runs[fingerprint] = evidence
        self._evict()
        return evidence

    def pop(self, fingerprint: str) -> Evidence:
        """Remove and return the evidence against a request."""
        return self.runs.pop(fingerprint, ())

    def set(self, fingerprint: str, evidence: Evidence) -> None:
        """Replace the evidence against a request."""
        if evidence:
            self.runs[fingerprint] = evidence
        else:
            self.runs.pop(fingerprint, None)

    def drop_endpoints(self, endpoints: Iterable[str]) -> None:
        """Remove the ends of some endpoints from all evidence."""
        dropped = frozenset(endpoints)
        for name, evidence in list(self.runs.items()):
            self.set(name, without_endpoints(evidence, dropped))

    def drop_runs_after(self, endpoint: str, latest: float) -> None:
        """Remove the runs that were sent to an endpoint after ``latest``."""
        for name, evidence in list(self.runs.items()):
            self.set(name, without_runs_after(evidence, endpoint, latest))

    def sharing(self, fingerprint: str, min_ends: int) -> Iterator[str]:
        """Yield the requests that were present at so many ends of another one."""
        own = endpoints_of(self.get(fingerprint))
        for name, evidence in self.runs.items():
            if name != fingerprint and len(own & endpoints_of(evidence)) >= min_ends:
                yield name

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether endpoints have ended in sequence under a request."""
        return is_suspected(self.get(fingerprint))

    def is_fatal(self, fingerprint: str) -> bool:
        """Return whether a request crashes endpoints, by the rules."""
        others = (self.runs[name] for name in self.runs if name != fingerprint)
        has_run_well = self.history.has_run_well(fingerprint)
        return is_fatal(self.runs[fingerprint], others, has_run_well)

    def set_sound(self, fingerprint: str, at: float) -> None:
        """Record that a request ran well, or was cleared, at some time."""
        self.sound_at.pop(fingerprint, None)
        self.sound_at[fingerprint] = at
        if len(self.sound_at) > MAX_SOUND:
            del self.sound_at[next(iter(self.sound_at))]

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether a request was recently answered completely, or cleared."""
        at = self.sound_at.get(fingerprint)
        return at is not None and self.clock() - at < SOUND_SECONDS

    def _evict(self) -> None:
        """Evict the suspect with the least evidence among the oldest, if too many."""
        if len(self.runs) > MAX_SUSPECTS:
            oldest = islice(self.runs, EVICTION_CANDIDATES)
            del self.runs[min(oldest, key=lambda name: len(self.runs[name]))]
