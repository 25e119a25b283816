"""Remembers which requests have run well, by their fingerprints."""

from collections.abc import Callable
from typing import NamedTuple

HISTORY_SECONDS = 60.0
"""Seconds for which good runs count as the history of their request."""

MIN_GOOD_RUNS = 3
"""Number of good runs that make up a history. Fewer may be chance, if a request crashes
most endpoints but not all."""

MAX_REQUESTS = 5_000
"""Maximum number of requests remembered, about 1 MB."""


class GoodRuns(NamedTuple):
    """Good runs of one request: how many there were, and when the last one was good."""

    total: int
    last_at: float


class RunHistory:
    """Good runs of requests, as seen by this entry or reported by others."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.good_runs: dict[str, GoodRuns] = {}

    def on_good_run(self, fingerprint: str) -> None:
        """Record that a run was answered in full, or streamed long enough."""
        known = self.recent(fingerprint)
        total = 1 if known is None else known.total + 1
        self._put(fingerprint, GoodRuns(total, self.clock()))

    def on_reported(self, fingerprint: str, reported: GoodRuns) -> None:
        """Record good runs that another entry knows of."""
        known = self.recent(fingerprint)
        if known is not None:
            total = max(known.total, reported.total)
            reported = GoodRuns(total, max(known.last_at, reported.last_at))
        self._put(fingerprint, reported)

    def has_run_well(self, fingerprint: str) -> bool:
        """Return whether a request has a history of good runs."""
        known = self.recent(fingerprint)
        return known is not None and known.total >= MIN_GOOD_RUNS

    def recent(self, fingerprint: str) -> GoodRuns | None:
        """Return the good runs of a request, None if the last one is too old."""
        known = self.good_runs.get(fingerprint)
        if known is None or self.clock() - known.last_at >= HISTORY_SECONDS:
            return None
        return known

    def _put(self, fingerprint: str, runs: GoodRuns) -> None:
        """Keep the good runs of a request, as the most recently updated one."""
        self.good_runs.pop(fingerprint, None)
        self.good_runs[fingerprint] = runs
        if len(self.good_runs) > MAX_REQUESTS:
            del self.good_runs[next(iter(self.good_runs))]
