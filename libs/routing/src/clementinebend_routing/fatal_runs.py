"""Which request ends the endpoints that run it (a query of death). Pure.

Load pattern: a request ends each endpoint that begins to run it, is repeated at any
entry, and all that ran beside it is lost as well. Endpoints also end by themselves,
many at once or in turn, under requests that harm nothing.

What tells them apart: a request that harms nothing is answered whole sooner or later,
which clears it. Several of its runs at one time prove no more than one, as endpoints
also end together: only runs that began after the end before count, one after the
other. And an end that one request explains is no evidence against the others there.

Times are in seconds on the steady clock of who keeps the evidence.
"""

from collections.abc import Iterable
from itertools import accumulate
from math import inf
from typing import NamedTuple

MIN_SUSPECT_ENDS = 2
"""Ends in series after which a request runs one at a time, apart from others."""

MIN_FATAL_ENDS = 3
"""Ends in series after which a request is kept from endpoints."""

CONCLUSIVE_ENDS = 5
"""Ends in series that decide also while another request has shared all of them."""

MAX_RUNS = 16
"""Runs of one request that are remembered, the newest ones."""

SKEW_SECONDS = 0.02
"""How much earlier than the end before a run may seem to begin: times of different
entries differ by what a datagram takes."""

MAX_FATAL_STREAM = 1.0
"""Seconds after the first event of a stream from which on the end of its endpoint is no
evidence against it: it ran well that long, and long streams are at more ends than
others."""


class FatalRun(NamedTuple):
    """A run that was broken off as its endpoint, one boot of it, ended."""

    endpoint: str
    sent_at: float
    ended_at: float


Evidence = tuple[FatalRun, ...]
"""The runs of one request that were broken off so; each endpoint stands in it once."""


def with_run(evidence: Evidence, run: FatalRun) -> Evidence:
    """Return the evidence with one run more.

    Of several at one endpoint the first one counts: if the request ends endpoints, the
    others only waited there.
    """
    others = [known for known in evidence if known.endpoint != run.endpoint]
    same = [known for known in evidence if known.endpoint == run.endpoint]
    first = min((*same, run), key=lambda known: (known.sent_at, known.ended_at))
    return (*others, first)[-MAX_RUNS:]


def without_endpoints(evidence: Evidence, endpoints: Iterable[str]) -> Evidence:
    """Return the evidence without the ends of some endpoints."""
    dropped = frozenset(endpoints)
    return tuple(run for run in evidence if run.endpoint not in dropped)


def without_runs_after(evidence: Evidence, endpoint: str, latest: float) -> Evidence:
    """Return the evidence without what was sent to ``endpoint`` after some time."""
    return tuple(
        run for run in evidence if run.endpoint != endpoint or run.sent_at <= latest
    )


def endpoints_of(evidence: Evidence) -> frozenset[str]:
    """Return the endpoints that ended."""
    return frozenset(run.endpoint for run in evidence)


def sequential_ends(evidence: Evidence) -> int:
    """Return how many of the runs came one after the other, at the most."""
    by_end = sorted(evidence, key=lambda run: run.ended_at)
    last_ends = accumulate(by_end, _last_end, initial=-inf)
    return len(set(last_ends)) - 1


def _last_end(last: float, run: FatalRun) -> float:
    """Return the end of the last run of the series, which ``run`` may prolong."""
    is_next = run.sent_at >= last - SKEW_SECONDS and run.ended_at > last
    return run.ended_at if is_next else last


def is_suspected(evidence: Evidence) -> bool:
    """Tell whether a request should run one at a time and apart from others."""
    return sequential_ends(evidence) >= MIN_SUSPECT_ENDS


def is_fatal(evidence: Evidence, others: Iterable[Evidence]) -> bool:
    """Tell whether a request ends endpoints; ``others`` is that of all others.

    While another one was at all the same ends, either may be the cause.
    """
    ends = sequential_ends(evidence)
    if ends < MIN_FATAL_ENDS:
        return False
    if ends >= CONCLUSIVE_ENDS:
        return True
    own = endpoints_of(evidence)
    return not any(own <= endpoints_of(other) for other in others)


def counts_as_evidence(streamed_seconds: float) -> bool:
    """Tell whether an end is evidence, so long after a run's first event."""
    return streamed_seconds <= MAX_FATAL_STREAM
