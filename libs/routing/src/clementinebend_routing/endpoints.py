"""State that a router keeps for one endpoint, and its expected time to first token.

Load reports lag, so they are combined with the router's own runs: runs that this router
has in flight are known exactly, and only the runs of other routers are taken from a
report. The weight of that number decays with the age of the report in favour of the
mean over all endpoints, so that a stale report neither attracts nor repels requests.
Durations are in seconds.
"""

from typing import NamedTuple

from clementinebend_records.messages import LoadReport
from clementinebend_routing.outliers import Health
from clementinebend_routing.prefix import PrefixMap, empty_prefix_map, reset_prefix_map

REPORT_HALF_LIFE = 0.1
"""Half-life of the weight of a load report, in seconds. All routers receive the same
reports, so a router that relies on them for long sends where the others send. A shorter
half-life is better until reports no longer have any effect."""

ASSUMED_REPORT_LAG = 0.25
"""Runs dispatched less than this many seconds before a report arrives are assumed not
to be included in it."""

DEFAULT_SLOTS = 16
DEFAULT_STEP_SECONDS = 0.01
DEFAULT_LATENCY_SECONDS = 1.0

TOKENS_PER_STEP = 256
"""Prompt tokens that an engine prefills in one step."""

LATENCY_SMOOTHING = 0.05


class Candidate(NamedTuple):
    """An endpoint; it may be selected only while it is ``usable``."""

    endpoint: str
    service: str
    zone: str
    models: tuple[str, ...]
    usable: bool


class OwnRun(NamedTuple):
    """A run that this router has in flight."""

    dispatched_at: float
    uncached: int


class EndpointState(NamedTuple):
    """State of one endpoint.

    ``other_runs`` is the number of runs of other routers as of the last report.
    ``prefill_until`` is the time at which the prompts dispatched by this router are
    expected to be prefilled. ``latency`` is a moving average over whole runs.
    """

    candidate: Candidate
    started_at: float
    prefix: PrefixMap
    own: dict[str, OwnRun]
    health: Health = Health()
    report: LoadReport | None = None
    reported_at: float = 0.0
    other_runs: float = 0.0
    latency: float = DEFAULT_LATENCY_SECONDS
    latency_samples: int = 0
    prefill_until: float = 0.0


def new_endpoint(candidate: Candidate, now: float) -> EndpointState:
    """Return the initial state of an endpoint."""
    return EndpointState(candidate, now, empty_prefix_map(), {})


def add_run(
    endpoint: EndpointState, run: str, uncached: int, now: float
) -> EndpointState:
    """Add a run of this router and the prefill time of its prompt."""
    endpoint.own[run] = OwnRun(now, uncached)
    start = max(now, endpoint.prefill_until)
    return endpoint._replace(prefill_until=start + prefill_time(endpoint, uncached))


def end_run(
    endpoint: EndpointState, run: str, ok: bool, latency: float
) -> EndpointState:
    """Remove a run of this router; a successful one updates the average latency."""
    if endpoint.own.pop(run, None) is None or not ok:
        return endpoint
    samples = endpoint.latency_samples + 1
    weight = max(LATENCY_SMOOTHING, 1 / samples)
    average = endpoint.latency + weight * (latency - endpoint.latency)
    return endpoint._replace(latency=average, latency_samples=samples)


def add_report(
    endpoint: EndpointState, report: LoadReport, now: float
) -> EndpointState:
    """Apply a load report unless it is older than the last one.

    A new incarnation has an empty cache: its prefix map is cleared, and slow start
    begins again.
    """
    last = endpoint.report
    if last is not None and last.incarnation == report.incarnation:
        if report.sequence <= last.sequence:
            return endpoint
    elif last is not None:
        endpoint = endpoint._replace(
            prefix=reset_prefix_map(endpoint.prefix), started_at=now
        )
    already_reported = sum(
        1
        for own in endpoint.own.values()
        if own.dispatched_at < now - ASSUMED_REPORT_LAG
    )
    other_runs = max(0.0, float(report.running + report.queued - already_reported))
    return endpoint._replace(report=report, reported_at=now, other_runs=other_runs)


def slot_count(endpoint: EndpointState) -> int:
    """Return how many requests the endpoint runs concurrently."""
    if endpoint.report is None or endpoint.report.slots < 1:
        return DEFAULT_SLOTS
    return endpoint.report.slots


def step_seconds(endpoint: EndpointState) -> float:
    """Return the duration of one engine step."""
    if endpoint.report is None or endpoint.report.step_ms <= 0:
        return DEFAULT_STEP_SECONDS
    return endpoint.report.step_ms / 1000


def prefill_time(endpoint: EndpointState, uncached: int) -> float:
    """Return the seconds needed to prefill ``uncached`` prompt tokens."""
    return uncached / TOKENS_PER_STEP * step_seconds(endpoint)


def expected_runs(endpoint: EndpointState, mean_other_runs: float, now: float) -> float:
    """Return the expected number of runs on the endpoint, from all routers."""
    if endpoint.report is None:
        return len(endpoint.own) + mean_other_runs
    weight: float = 0.5 ** ((now - endpoint.reported_at) / REPORT_HALF_LIFE)
    other_runs = weight * endpoint.other_runs + (1 - weight) * mean_other_runs
    return len(endpoint.own) + other_runs


def expected_wait(endpoint: EndpointState, mean_other_runs: float, now: float) -> float:
    """Return the expected seconds until a new request gets its first step."""
    runs = expected_runs(endpoint, mean_other_runs, now)
    slots = slot_count(endpoint)
    slot_wait = max(0.0, runs + 1 - slots) * endpoint.latency / slots
    prefill_wait = max(0.0, endpoint.prefill_until - now)
    return max(slot_wait, prefill_wait) + runs / slots * step_seconds(endpoint)
