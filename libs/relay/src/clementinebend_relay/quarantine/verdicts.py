"""Decides which subjects are fatal, once all entries' reports can have arrived."""

from collections.abc import Callable
from math import ceil
from random import random

from clementinebend_relay.quarantine.evidence import EvidenceTable
from clementinebend_relay.quarantine.runs import RunsInProgress
from clementinebend_relay.quarantine.subjects import is_part
from clementinebend_routing.fatal_runs import (
    CONCLUSIVE_ENDS,
    MIN_FATAL_ENDS,
    MIN_SUSPECT_ENDS,
    endpoints_of,
)

DECISION_DELAY = 0.15
"""Seconds between the report of an end and the decision about quarantines. Entries
report the same end within a few milliseconds of each other, and the cause can only be
told from all suspects together."""

SHARED_DECISION_DELAY = 1.3
"""The same delay if another subject shares enough of the ends to be the cause. Its
report of the last end may have to be repeated, or its proof is the next boot."""

MAX_DEFERRED_ENDS = 10
"""Ends after which a part no longer waits for the decision about another subject."""

DECISION_JITTER = 0.1
"""Maximum random addition to that delay in seconds: the first entry to decide informs
the others."""


class Verdicts:
    """Decisions that are due about the subjects in two tables of evidence."""

    def __init__(
        self,
        requests: EvidenceTable,
        parts: EvidenceTable,
        runs: RunsInProgress,
        clock: Callable[[], float],
    ) -> None:
        self.requests = requests
        self.parts = parts
        self.runs = runs
        self.clock = clock
        self.due_at: dict[str, float] = {}

    def table(self, subject: str) -> EvidenceTable:
        """Return the table that has the evidence against a subject."""
        return self.parts if is_part(subject) else self.requests

    def schedule(self, subject: str) -> None:
        """Set when to decide about a subject under which enough endpoints ended.

        Parts do not wait for repeated reports: many requests go on to endpoints
        meanwhile, and one good run of any of them takes a wrong verdict back.
        """
        sharing = self.table(subject).sharing(subject, MIN_SUSPECT_ENDS)
        is_shared = not is_part(subject) and any(sharing)
        delay = SHARED_DECISION_DELAY if is_shared else DECISION_DELAY
        delay += random() * DECISION_JITTER
        self.due_at[subject] = self.clock() + delay

    def next_at(self) -> float | None:
        """Return when the next decision is due, if one is."""
        return min(self.due_at.values(), default=None)

    def due(self) -> list[str]:
        """Return the subjects to decide about now, requests before parts.

        Requests with most ends come first, and parts that fewest runs had: they explain
        ends more narrowly. All entries judge in the same order, so that the same ends
        are held against the same subject.
        """
        self._drop_due()
        requests = sorted(
            self._candidates(self.requests),
            key=lambda name: (-len(self.requests.get(name)), name),
        )
        parts = sorted(
            self._candidates(self.parts),
            key=lambda name: (self.runs.begun[name], -len(self.parts.get(name)), name),
        )
        return [*requests, *parts]

    def is_fatal(self, subject: str) -> bool:
        """Return whether a subject crashes endpoints.

        A part explains ends better than one that more runs had, which waits for the
        decision about it. A request explains the ends of its parts better than these.
        """
        table = self.table(subject)
        if not table.get(subject):
            return False
        if not is_part(subject):
            return table.is_fatal(subject)
        if self._has_narrower_suspect(subject) or self._is_explained(subject):
            return False
        begun = self.runs.begun
        return table.is_fatal(subject, lambda other: begun[other] <= begun[subject])

    def _has_narrower_suspect(self, part: str) -> bool:
        """Return whether a suspect that fewer runs had was at half of a part's ends.

        An entry that ran neither can't tell, and leaves the decision to others.
        """
        ends = len(self.parts.get(part))
        if ends >= MAX_DEFERRED_ENDS:
            return False
        sharing = self.parts.sharing(part, ceil(ends / 2))
        suspects = filter(self.parts.is_suspected, sharing)
        fewer_than = max(1, self.runs.begun[part])
        return any(self.runs.begun[name] < fewer_than for name in suspects)

    def _is_explained(self, part: str) -> bool:
        """Return whether a suspected request was at all of a part's ends.

        Once these are conclusive, only if the decision about the request is due.
        """
        ends = endpoints_of(self.parts.get(part))
        if len(ends) >= MAX_DEFERRED_ENDS:
            return False
        present = self.requests.present_at(ends, len(ends))
        suspects = filter(self.requests.is_suspected, present)
        if len(ends) < CONCLUSIVE_ENDS:
            return any(suspects)
        return any(name in self.due_at for name in suspects)

    def requests_at(self, endpoints: frozenset[str]) -> frozenset[str]:
        """Return the requests that were at two or more ends of some endpoints."""
        return frozenset(self.requests.present_at(endpoints, MIN_SUSPECT_ENDS))

    def companions(self, part: str) -> frozenset[str]:
        """Return the parts that fewer runs had and that were at an end of a part."""
        begun = self.runs.begun
        sharing = self.parts.sharing(part, 1)
        return frozenset(name for name in sharing if begun[name] < begun[part])

    def _candidates(self, table: EvidenceTable) -> list[str]:
        return [
            name
            for name, evidence in table.runs.items()
            if len(evidence) >= MIN_FATAL_ENDS and name not in self.due_at
        ]

    def _drop_due(self) -> None:
        """Remove due decisions, unless one about a subject with shared ends is not."""
        now = self.clock()
        pending = {name: at for name, at in self.due_at.items() if at > now}
        for name in self.due_at.keys() - pending.keys():
            sharing = pending.keys() & set(self.table(name).sharing(name, 1))
            if sharing:
                pending[name] = max(pending[each] for each in sharing)
        self.due_at = pending
