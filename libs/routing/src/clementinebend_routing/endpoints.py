"""What a router knows of one endpoint, and its expected time to first token.

Load reports lag, so they are joined with what the router did itself: runs in
flight that it dispatched are known exactly, and of a report only the part
that others caused is used. That part loses weight as the report ages and
gives way to the mean over all endpoints, so a stale report neither attracts
nor repels. Durations are in seconds.
"""

from typing import NamedTuple

from clementinebend_records.messages import LoadReport
from clementinebend_routing.outliers import Health
from clementinebend_routing.prefix import PrefixMap, empty_prefix_map, reset_prefix_map

REPORT_HALF_LIFE = 0.1
"""Age at which half of a report's weight is gone, in seconds.

Reports reach all routers alike, so a router that believes them for long sends
where the others send: shorter is better until reports stop mattering at all.
"""

ASSUMED_REPORT_LAG = 0.25
"""Dispatches this long before a report arrives are taken as not yet in it."""

DEFAULT_SLOTS = 16
DEFAULT_STEP_SECONDS = 0.01
DEFAULT_LATENCY_SECONDS = 1.0

TOKENS_PER_STEP = 256
"""Prompt tokens that an engine works through in one step."""

LATENCY_SMOOTHING = 0.05


class Candidate(NamedTuple):
    """An endpoint that may be chosen while it is ``usable``."""

    endpoint: str
    service: str
    zone: str
    models: tuple[str, ...]
    usable: bool


class OwnRun(NamedTuple):
    """A run this router has in flight."""

    dispatched_at: float
    uncached: int


class EndpointState(NamedTuple):
    """Knowledge of one endpoint.

    ``other_runs`` is the number of runs that others had there at the last report;
    ``prefill_until`` is when the own prompts dispatched so far are worked
    through; ``latency`` is a moving average over whole runs.
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
    """Return an endpoint of which nothing is known yet."""
    return EndpointState(candidate, now, empty_prefix_map(), {})


def add_run(
    endpoint: EndpointState, run: str, uncached: int, now: float
) -> EndpointState:
    """Return the endpoint with one more own run in flight."""
    endpoint.own[run] = OwnRun(now, uncached)
    start = max(now, endpoint.prefill_until)
    return endpoint._replace(prefill_until=start + prefill_time(endpoint, uncached))


def end_run(
    endpoint: EndpointState, run: str, ok: bool, latency: float
) -> EndpointState:
    """Return the endpoint with an own run ended after ``latency`` seconds."""
    if endpoint.own.pop(run, None) is None or not ok:
        return endpoint
    samples = endpoint.latency_samples + 1
    weight = max(LATENCY_SMOOTHING, 1 / samples)
    average = endpoint.latency + weight * (latency - endpoint.latency)
    return endpoint._replace(latency=average, latency_samples=samples)


def add_report(
    endpoint: EndpointState, report: LoadReport, now: float
) -> EndpointState:
    """Return the endpoint with a newer report; older ones change nothing."""
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
    """Return how many requests the endpoint runs at one time."""
    if endpoint.report is None or endpoint.report.slots < 1:
        return DEFAULT_SLOTS
    return endpoint.report.slots


def step_seconds(endpoint: EndpointState) -> float:
    """Return the seconds that one step of the endpoint takes."""
    if endpoint.report is None or endpoint.report.step_ms <= 0:
        return DEFAULT_STEP_SECONDS
    return endpoint.report.step_ms / 1000


def prefill_time(endpoint: EndpointState, uncached: int) -> float:
    """Return the seconds that ``uncached`` prompt tokens take."""
    return uncached / TOKENS_PER_STEP * step_seconds(endpoint)


def expected_runs(endpoint: EndpointState, mean_other_runs: float, now: float) -> float:
    """Return the runs expected on the endpoint now, own ones and others."""
    if endpoint.report is None:
        return len(endpoint.own) + mean_other_runs
    weight: float = 0.5 ** ((now - endpoint.reported_at) / REPORT_HALF_LIFE)
    other_runs = weight * endpoint.other_runs + (1 - weight) * mean_other_runs
    return len(endpoint.own) + other_runs


def expected_wait(endpoint: EndpointState, mean_other_runs: float, now: float) -> float:
    """Return the seconds until a new request would get its first step."""
    runs = expected_runs(endpoint, mean_other_runs, now)
    slots = slot_count(endpoint)
    slot_wait = max(0.0, runs + 1 - slots) * endpoint.latency / slots
    prefill_wait = max(0.0, endpoint.prefill_until - now)
    return max(slot_wait, prefill_wait) + runs / slots * step_seconds(endpoint)
