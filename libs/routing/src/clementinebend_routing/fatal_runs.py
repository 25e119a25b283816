"""Detection of requests that crash endpoints (queries of death). Pure functions.

Load pattern: a request crashes every endpoint that starts to run it and is retried
through any entry. All runs beside it are lost as well. Endpoints also end for other
reasons, many at once or one after the other, while they run harmless requests.

A harmless request is answered in full sooner or later, which clears it. Concurrent runs
of a request are no stronger evidence than a single one, since endpoints also end
together. Only sequential ends count: each run must have begun after the end before it.
An end that is explained by one request is no evidence against the others that ran
there.

A fatal request ends each endpoint at the same point of its run. A harmless request that
many callers send is present wherever it is routed, and is interrupted at any point.
Ends at different points are therefore conclusive only if there are more of them.

What is judged may also be a part that prompts share. Many requests have it, at several
endpoints at once, so a run counts only for the moment at which the endpoint began to
write. Endpoints that end at the same moment are one end: they were lost together. Ends
under a single request are no evidence against its parts.

Times are in seconds on the monotonic clock of the process that keeps the evidence.
"""

from collections.abc import Iterable
from itertools import accumulate
from math import inf
from typing import NamedTuple

MIN_SUSPECT_ENDS = 2
"""Sequential ends after which a request is a suspect: its runs stay at one endpoint."""

MIN_FATAL_ENDS = 3
"""Sequential ends at the same point after which a request is no longer sent to
endpoints."""

MIN_MIXED_ENDS = 4
"""The same number for ends at different points."""

CONCLUSIVE_ENDS = 5
"""Sequential ends that are conclusive even if the request has run well before, or if
another request was present at all of them."""

MIN_PART_REQUESTS = 2
"""Number of different requests whose runs must have ended with their endpoints before
a part of their prompts is suspected. Otherwise the request is the cause."""

PART_RISK_SECONDS = 0.15
"""Seconds after its first event in which a run counts against the parts of its prompt,
and by which the ends under a part must be apart to count as sequential."""

PART_SOUND_SECONDS = 0.25
"""Seconds after its first event for which the endpoint of a run must live to clear the
parts of its prompt."""

POINT_TOLERANCE = 0.1
"""Seconds by which two ends at the same point of a run may differ."""

EARLY_SECONDS = 0.3
"""Seconds after it was sent within which a run without an event is at the same point as
other such runs, however long it waited at its endpoint."""

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
    """A run that was cut off because one boot of its endpoint ended.

    ``first_event_at`` is when the first event of its stream arrived, None if none did.
    ``request`` is the fingerprint of its request if it is evidence against a part.
    """

    endpoint: str
    sent_at: float
    ended_at: float
    first_event_at: float | None = None
    request: str = ""


Evidence = tuple[FatalRun, ...]
"""The runs of one request, or of one part of prompts, that were cut off this way: at
most one for each endpoint."""


def part_run(run: FatalRun, request: str) -> FatalRun | None:
    """Return a run of a request as evidence against the parts of its prompt.

    None if the endpoint had been writing for longer. ``sent_at`` is when the time began
    in which the endpoint can have begun to write.
    """
    began_at = run.ended_at if run.first_event_at is None else run.first_event_at
    if run.ended_at - began_at > PART_RISK_SECONDS:
        return None
    sent_at = max(run.sent_at, run.ended_at - PART_RISK_SECONDS)
    return run._replace(sent_at=sent_at, first_event_at=None, request=request)


def with_run(evidence: Evidence, run: FatalRun) -> Evidence:
    """Return the evidence with another run.

    Of several runs at one endpoint only the first is kept, with the earliest first
    event of them all. If the request crashes endpoints, the others were only waiting
    there.
    """
    others = [known for known in evidence if known.endpoint != run.endpoint]
    same = [known for known in evidence if known.endpoint == run.endpoint]
    first = min((*same, run), key=lambda known: (known.sent_at, known.ended_at))
    events = [known.first_event_at for known in (*same, run)]
    first_event_at = min((at for at in events if at is not None), default=None)
    return (*others, first._replace(first_event_at=first_event_at))[-MAX_RUNS:]


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


def is_suspected(evidence: Evidence, min_requests: int = 1) -> bool:
    """Return whether a request, or a part of ``min_requests``, is a suspect."""
    is_sequence = sequential_ends(evidence) >= MIN_SUSPECT_ENDS
    return is_sequence and len(requests_of(evidence)) >= min_requests


def requests_of(evidence: Evidence) -> frozenset[str]:
    """Return the requests under which the endpoints ended."""
    return frozenset(run.request for run in evidence)


def is_same_point(one: FatalRun, other: FatalRun) -> bool:
    """Return whether two runs were interrupted at the same point.

    Equally long after their first events or, if one of them has none, both within a
    short time or equally long after they were sent.
    """
    if one.first_event_at is not None and other.first_event_at is not None:
        streamed = (
            one.ended_at - one.first_event_at,
            other.ended_at - other.first_event_at,
        )
        return _are_close(*streamed)
    ages = (one.ended_at - one.sent_at, other.ended_at - other.sent_at)
    return max(ages) <= EARLY_SECONDS or _are_close(*ages)


def _are_close(one: float, other: float) -> bool:
    return abs(one - other) <= POINT_TOLERANCE


def runs_at_same_point(evidence: Evidence) -> Evidence:
    """Return the runs at the point that has the most sequential ends."""
    groups = [
        tuple(run for run in evidence if is_same_point(run, reference))
        for reference in evidence
    ]
    return max(groups, key=sequential_ends, default=())


def is_fatal(
    evidence: Evidence,
    others: Iterable[Evidence],
    has_run_well: bool = False,
    min_requests: int = 1,
) -> bool:
    """Return whether a request, or a part of ``min_requests``, crashes endpoints.

    ``others`` is the evidence of all other requests. If another request was present at
    all the same ends, and at the same point as well, either may be the cause, and the
    decision waits for ``CONCLUSIVE_ENDS``. So it does if the request has run well
    before.
    """
    ends = sequential_ends(evidence)
    if ends < MIN_FATAL_ENDS or len(requests_of(evidence)) < min_requests:
        return False
    if ends >= CONCLUSIVE_ENDS:
        return True
    if has_run_well:
        return False
    same = runs_at_same_point(evidence)
    if sequential_ends(same) < MIN_FATAL_ENDS:
        same = evidence
        if ends < MIN_MIXED_ENDS:
            return False
    own = endpoints_of(same)
    shared = (each for each in others if own <= endpoints_of(each))
    return not any(own <= endpoints_of(runs_at_same_point(each)) for each in shared)


def counts_as_evidence(streamed_seconds: float) -> bool:
    """Return whether an end so long after a run's first event is evidence."""
    return streamed_seconds <= MAX_FATAL_STREAM
