"""Decides which requests are fatal, once all entries' reports can have arrived."""

from collections.abc import Callable
from random import random

from clementinebend_relay.quarantine.evidence import EvidenceTable
from clementinebend_routing.fatal_runs import MIN_FATAL_ENDS, MIN_SUSPECT_ENDS

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


class Verdicts:
    """Decisions that are due about the requests in a table of evidence."""

    def __init__(self, table: EvidenceTable, clock: Callable[[], float]) -> None:
        self.table = table
        self.clock = clock
        self.due_at: dict[str, float] = {}

    def schedule(self, fingerprint: str) -> None:
        """Set when to decide about a request under which enough endpoints ended."""
        is_shared = any(self.table.sharing(fingerprint, MIN_SUSPECT_ENDS))
        delay = SHARED_DECISION_DELAY if is_shared else DECISION_DELAY
        delay += random() * DECISION_JITTER
        self.due_at[fingerprint] = self.clock() + delay

    def next_at(self) -> float | None:
        """Return when the next decision is due, if one is."""
        return min(self.due_at.values(), default=None)

    def due(self) -> list[str]:
        """Return the requests to decide about now, those with most ends first.

        All entries judge in the same order, so that the same ends are held against the
        same request.
        """
        self._drop_due()
        candidates = [
            name
            for name, evidence in self.table.runs.items()
            if len(evidence) >= MIN_FATAL_ENDS and name not in self.due_at
        ]
        runs = self.table.runs
        return sorted(candidates, key=lambda name: (-len(runs[name]), name))

    def _drop_due(self) -> None:
        """Remove due decisions, unless one about a request with shared ends is not."""
        now = self.clock()
        pending = {name: at for name, at in self.due_at.items() if at > now}
        for name in self.due_at.keys() - pending.keys():
            sharing = pending.keys() & set(self.table.sharing(name, 1))
            if sharing:
                pending[name] = max(pending[each] for each in sharing)
        self.due_at = pending
