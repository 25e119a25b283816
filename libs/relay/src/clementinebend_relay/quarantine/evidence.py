"""Evidence against requests and parts of prompts: runs that ended with endpoints."""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from clementinebend_relay.quarantine.history import RunHistory
from clementinebend_routing.fatal_runs import (
    MIN_PART_REQUESTS,
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

PART_GRACE_SECONDS = 1.0
"""The same for a part of prompts. Shorter, as a part may turn fatal while many requests
have it, and ends under a part are proved sooner."""

MAX_SUSPECTS = 2_000
MAX_SOUND = 5_000
"""Maximum numbers of suspected and of cleared requests kept, about 1 MB in total."""

EVICTION_CANDIDATES = 50
"""Number of oldest suspects from which the one to evict is chosen. The one with the
least evidence is evicted, so that many requests that ended one endpoint each do not
displace those that ended several."""


class SubjectRules(NamedTuple):
    """How subjects of one kind are judged.

    ``min_requests`` is the number of different requests whose ends make up evidence.
    Ends that are reported within ``grace_seconds`` after a good run are no evidence.
    """

    kind: str
    min_requests: int
    grace_seconds: float


REQUEST_RULES = SubjectRules("request", 1, SOUND_SECONDS)
PART_RULES = SubjectRules("part", MIN_PART_REQUESTS, PART_GRACE_SECONDS)


class EvidenceTable:
    """Evidence of this entry against subjects of one kind.

    ``runs`` holds the fatal runs of subjects that are not quarantined, ``sound_at``
    when a subject last ran well or was cleared, and ``history`` the subjects that have
    run well.
    """

    def __init__(self, clock: Callable[[], float], rules: SubjectRules) -> None:
        self.clock = clock
        self.rules = rules
        self.runs: dict[str, Evidence] = {}
        self.sound_at: dict[str, float] = {}
        self.history = RunHistory(clock)

    def get(self, subject: str) -> Evidence:
        """Return the evidence against a subject, which may be empty."""
        return self.runs.get(subject, ())

    def add(self, subject: str, run: FatalRun) -> Evidence:
        """Add a run to the evidence against a subject, and return the evidence."""
        evidence = with_run(self.runs.pop(subject, ()), run)
        self.runs[subject] = evidence
        self._evict()
        return evidence

    def pop(self, subject: str) -> Evidence:
        """Remove and return the evidence against a subject."""
        return self.runs.pop(subject, ())

    def set(self, subject: str, evidence: Evidence) -> None:
        """Replace the evidence against a subject."""
        if evidence:
            self.runs[subject] = evidence
        else:
            self.runs.pop(subject, None)

    def drop_endpoints(self, endpoints: Iterable[str]) -> None:
        """Remove the ends of some endpoints from all evidence."""
        dropped = frozenset(endpoints)
        for name, evidence in list(self.runs.items()):
            self.set(name, without_endpoints(evidence, dropped))

    def drop_runs_after(self, endpoint: str, latest: float) -> None:
        """Remove the runs that were sent to an endpoint after ``latest``."""
        for name, evidence in list(self.runs.items()):
            self.set(name, without_runs_after(evidence, endpoint, latest))

    def sharing(self, subject: str, min_ends: int) -> Iterator[str]:
        """Yield the subjects that were present at so many ends of another one."""
        present = self.present_at(endpoints_of(self.get(subject)), min_ends)
        return (name for name in present if name != subject)

    def present_at(self, endpoints: frozenset[str], min_ends: int) -> Iterator[str]:
        """Yield the subjects that were present at so many ends of some endpoints."""
        for name, evidence in self.runs.items():
            if len(endpoints & endpoints_of(evidence)) >= min_ends:
                yield name

    def is_suspected(self, subject: str) -> bool:
        """Return whether endpoints have ended in sequence under a subject."""
        return is_suspected(self.get(subject), self.rules.min_requests)

    def is_fatal(
        self, subject: str, is_rival: Callable[[str], bool] = lambda name: True
    ) -> bool:
        """Return whether a subject crashes endpoints, by the rules.

        Another one may be the cause of the same ends if it ``is_rival``.
        """
        names = (name for name in self.runs if name != subject)
        others = (self.runs[name] for name in names if is_rival(name))
        has_run_well = self.history.has_run_well(subject)
        min_requests = self.rules.min_requests
        return is_fatal(self.runs[subject], others, has_run_well, min_requests)

    def set_sound(self, subject: str, at: float) -> None:
        """Record that a subject ran well, or was cleared, at some time."""
        self.sound_at.pop(subject, None)
        self.sound_at[subject] = at
        if len(self.sound_at) > MAX_SOUND:
            del self.sound_at[next(iter(self.sound_at))]

    def since(self, subject: str, at: float) -> Evidence:
        """Return the runs whose endpoints ended well after a good run at some time."""
        later = at + self.rules.grace_seconds
        return tuple(run for run in self.get(subject) if run.ended_at > later)

    def is_sound(self, subject: str) -> bool:
        """Return whether a subject was recently answered completely, or cleared."""
        at = self.sound_at.get(subject)
        return at is not None and self.clock() - at < self.rules.grace_seconds

    def _evict(self) -> None:
        """Evict the suspect with the least evidence among the oldest, if too many."""
        if len(self.runs) > MAX_SUSPECTS:
            oldest = islice(self.runs, EVICTION_CANDIDATES)
            del self.runs[min(oldest, key=lambda name: len(self.runs[name]))]
