"""Detection of requests that crash endpoints (queries of death). Pure functions.

Load pattern: a request crashes every endpoint that starts to run it and is retried
through any entry. All runs beside it are lost as well. Endpoints also end for other
reasons, many at once or one after the other, while they run harmless requests.

A harmless request is answered in full sooner or later, which clears it. Concurrent runs
of a request are no stronger evidence than a single one, since endpoints also end
together. Only sequential ends count: each run must have begun after the end before it.
An end that is explained by one request is no evidence against the others that ran
there.

Times are in seconds on the monotonic clock of the process that keeps the evidence.
"""

from collections.abc import Iterable
from itertools import accumulate
from math import inf
from typing import NamedTuple

MIN_SUSPECT_ENDS = 2
"""Sequential ends after which a request runs alone and one run at a time."""

MIN_FATAL_ENDS = 3
"""Sequential ends after which a request is no longer sent to endpoints."""

CONCLUSIVE_ENDS = 5
"""Sequential ends that are conclusive even if another request was present at all of
them."""

MAX_RUNS = 16
"""Maximum number of runs kept as evidence for one request, the newest ones."""

SKEW_SECONDS = 0.02
"""How much earlier than the previous end a run may appear to begin. Times from
different entries differ by up to the delay of a datagram."""

MAX_FATAL_STREAM = 1.0
"""Seconds after the first event of a stream beyond which the end of its endpoint is no
evidence against the request. By then the request has run without harm, and long streams
are present at more ends than others."""


class FatalRun(NamedTuple):
    """A run that was cut off because one boot of its endpoint ended."""

    endpoint: str
    sent_at: float
    ended_at: float


Evidence = tuple[FatalRun, ...]
"""The runs of one request that were cut off this way, at most one for each endpoint."""


def with_run(evidence: Evidence, run: FatalRun) -> Evidence:
    """Return the evidence with another run.

    Of several runs at one endpoint only the first is kept. If the request crashes
    endpoints, the others were only waiting there.
    """
    others = [known for known in evidence if known.endpoint != run.endpoint]
    same = [known for known in evidence if known.endpoint == run.endpoint]
    first = min((*same, run), key=lambda known: (known.sent_at, known.ended_at))
    return (*others, first)[-MAX_RUNS:]


def without_endpoints(evidence: Evidence, endpoints: Iterable[str]) -> Evidence:
    """Return the evidence without the ends of the given endpoints."""
    dropped = frozenset(endpoints)
    return tuple(run for run in evidence if run.endpoint not in dropped)


def without_runs_after(evidence: Evidence, endpoint: str, latest: float) -> Evidence:
    """Return the evidence without runs sent to ``endpoint`` after ``latest``."""
    return tuple(
        run for run in evidence if run.endpoint != endpoint or run.sent_at <= latest
    )


def endpoints_of(evidence: Evidence) -> frozenset[str]:
    """Return the endpoints that ended."""
    return frozenset(run.endpoint for run in evidence)


def sequential_ends(evidence: Evidence) -> int:
    """Return the length of the longest sequence of runs that did not overlap."""
    by_end = sorted(evidence, key=lambda run: run.ended_at)
    last_ends = accumulate(by_end, _last_end, initial=-inf)
    return len(set(last_ends)) - 1


def _last_end(last: float, run: FatalRun) -> float:
    """Return the last end of the sequence, extended by ``run`` if it follows."""
    is_next = run.sent_at >= last - SKEW_SECONDS and run.ended_at > last
    return run.ended_at if is_next else last


def is_suspected(evidence: Evidence) -> bool:
    """Return whether a request should run alone and one run at a time."""
    return sequential_ends(evidence) >= MIN_SUSPECT_ENDS


def is_fatal(evidence: Evidence, others: Iterable[Evidence]) -> bool:
    """Return whether a request crashes endpoints.

    ``others`` is the evidence of all other requests. If another request was present at
    all the same ends, either may be the cause, and the decision waits for
    ``CONCLUSIVE_ENDS``.
    """
    ends = sequential_ends(evidence)
    if ends < MIN_FATAL_ENDS:
        return False
    if ends >= CONCLUSIVE_ENDS:
        return True
    own = endpoints_of(evidence)
    return not any(own <= endpoints_of(other) for other in others)


def counts_as_evidence(streamed_seconds: float) -> bool:
    """Return whether an end so long after a run's first event is evidence."""
    return streamed_seconds <= MAX_FATAL_STREAM
