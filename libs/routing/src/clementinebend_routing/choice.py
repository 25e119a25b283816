"""Selection of the endpoint with the lowest expected time to first token.

The score of an endpoint is its expected queueing delay plus the prefill time of the
prompt tokens that it has not cached, scaled up during slow start, plus a penalty for
another availability zone. Only endpoints sampled at random and those with the longest
cached prefix are scored. Random sampling prevents routers that share a lagging view
from all sending to the same endpoint. Sources: Mitzenmacher, "The Power of Two Choices
in Randomized Load Balancing" (2001); Wydrowski et al., "Load is not what you should
balance: Introducing Prequal" (NSDI 2024).

All functions take ``now`` in monotonic seconds. They consume the state passed in: use
only the state they return. The sampling is deterministic for a given seed.
"""

from collections.abc import Iterable, Sequence
from itertools import chain
from typing import NamedTuple

from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.draws import sample_names
from clementinebend_routing.endpoints import (
    Candidate,
    EndpointState,
    add_report,
    add_run,
    end_run,
    expected_wait,
    new_endpoint,
    prefill_time,
)
from clementinebend_routing.models import Choice, NoEndpoint, RoutingRequest
from clementinebend_routing.outliers import ejection_allowed, is_ejected, on_result
from clementinebend_routing.prefix import (
    apply_event,
    apply_snapshot,
    cached_blocks,
    record_dispatch,
)
from clementinebend_routing.slow_start import slow_start_share

__all__ = [
    "Candidate",
    "Choice",
    "NoEndpoint",
    "RoutingState",
    "RoutingRequest",
    "choose",
    "empty_routing",
    "on_cache_event",
    "on_cache_snapshot",
    "on_dispatch",
    "on_finish",
    "on_load_report",
    "set_endpoints",
    "endpoints_to_resync",
]

RANDOM_CANDIDATES = 8
"""Number of endpoints sampled at random for each request."""

PREFIX_CANDIDATES = 2
"""Number of endpoints with the longest cached prefix that are scored as well."""

CROSS_ZONE_SECONDS = 0.002
"""Seconds added to the score of an endpoint in another availability zone."""

UNAVAILABLE_RETRY_MS = 1_000
"""Retry delay that is returned when no endpoint is eligible."""


class RoutingState(NamedTuple):
    """State of one router.

    ``random_state`` is the state of the random number generator. ``names`` maps each
    service to the names of its endpoints.
    """

    random_state: int
    endpoints: dict[str, EndpointState]
    names: dict[str, tuple[str, ...]]


class ScoredEndpoint(NamedTuple):
    """An endpoint and its expected time to first token.

    The field order is the sort order: ``position`` precedes the name so that ties go to
    the endpoint that was sampled first.
    """

    seconds: float
    position: int
    endpoint: str
    uncached: int


def empty_routing(seed: int) -> RoutingState:
    """Return the state of a router without endpoints."""
    return RoutingState(seed, {}, {})


def set_endpoints(
    state: RoutingState, candidates: Iterable[Candidate], now: float
) -> RoutingState:
    """Replace the endpoints and keep the state of those that remain."""
    endpoints = {
        candidate.endpoint: _with_candidate(state, candidate, now)
        for candidate in candidates
    }
    services = sorted({item.candidate.service for item in endpoints.values()})
    names = {
        service: tuple(
            name
            for name, item in sorted(endpoints.items())
            if item.candidate.service == service
        )
        for service in services
    }
    return state._replace(endpoints=endpoints, names=names)


def choose(
    state: RoutingState, request: RoutingRequest, now: float
) -> tuple[RoutingState, Choice | NoEndpoint]:
    """Select an endpoint; call ``on_dispatch`` as soon as it is used.

    Leaving, unusable and excluded endpoints are never selected. An ejected endpoint is
    selected only if every eligible endpoint is ejected.
    """
    eligible = _eligible_endpoints(state, request)
    not_ejected = [
        name for name in eligible if not is_ejected(state.endpoints[name].health, now)
    ]
    names = not_ejected or eligible
    if not names:
        return state, NoEndpoint(UNAVAILABLE_RETRY_MS)
    cached = {
        name: cached_blocks(state.endpoints[name].prefix, request.prefix_blocks, now)
        for name in names
    }
    other_runs = _mean_other_runs(state, names)
    state, selected = _select_candidates(state, names, cached)
    best = min(
        _score(state, position, name, request, cached[name], other_runs, now)
        for position, name in enumerate(selected)
    )
    chosen = state.endpoints[best.endpoint]
    record_dispatch(chosen.prefix, request.prefix_blocks, now)
    return state, Choice(best.endpoint, best.seconds, best.uncached)


def on_dispatch(
    state: RoutingState, endpoint: str, run: str, now: float, uncached: int = 0
) -> RoutingState:
    """Record a run that was sent to ``endpoint``."""
    known = state.endpoints.get(endpoint)
    if known is not None:
        state.endpoints[endpoint] = add_run(known, run, uncached, now)
    return state


def on_finish(
    state: RoutingState, endpoint: str, run: str, ok: bool, latency: float, now: float
) -> RoutingState:
    """Record the end of a run; ``ok`` is false if the endpoint is at fault."""
    known = state.endpoints.get(endpoint)
    if known is None:
        return state
    ended = end_run(known, run, ok, latency)
    allowed = _may_eject(state, known.candidate.service, now)
    health = on_result(ended.health, ok, allowed, now)
    back_at = max(ended.started_at, health.ejected_until)
    state.endpoints[endpoint] = ended._replace(health=health, started_at=back_at)
    return state


def on_load_report(state: RoutingState, report: LoadReport, now: float) -> RoutingState:
    """Apply a load report.

    A report of a new incarnation clears the cache map and restarts slow start.
    """
    known = state.endpoints.get(report.endpoint)
    if known is not None:
        state.endpoints[report.endpoint] = add_report(known, report, now)
    return state


def on_cache_event(state: RoutingState, event: CacheEvent, now: float) -> RoutingState:
    """Apply a cache event; see ``endpoints_to_resync`` for gaps in the sequence."""
    known = state.endpoints.get(event.endpoint)
    if known is not None:
        prefix = apply_event(known.prefix, event.sequence, event.stored, event.evicted)
        state.endpoints[event.endpoint] = known._replace(prefix=prefix)
    return state


def on_cache_snapshot(
    state: RoutingState, endpoint: str, sequence: int, blocks: Iterable[str]
) -> RoutingState:
    """Apply the full content of an endpoint's cache as of event ``sequence``."""
    known = state.endpoints.get(endpoint)
    if known is not None:
        prefix = apply_snapshot(known.prefix, sequence, blocks)
        state.endpoints[endpoint] = known._replace(prefix=prefix)
    return state


def endpoints_to_resync(state: RoutingState) -> tuple[str, ...]:
    """Return the endpoints whose cache map is incomplete after an event gap."""
    return tuple(
        name for name, item in state.endpoints.items() if item.prefix.needs_resync
    )


def _with_candidate(
    state: RoutingState, candidate: Candidate, now: float
) -> EndpointState:
    known = state.endpoints.get(candidate.endpoint)
    if known is None:
        return new_endpoint(candidate, now)
    return known._replace(candidate=candidate)


def _eligible_endpoints(state: RoutingState, request: RoutingRequest) -> list[str]:
    return [
        name
        for name in state.names.get(request.service, ())
        if name not in request.exclude and _serves(state.endpoints[name], request.model)
    ]


def _serves(endpoint: EndpointState, model: str) -> bool:
    report = endpoint.report
    if not endpoint.candidate.usable or (report is not None and report.leaving):
        return False
    if not model or model in endpoint.candidate.models:
        return True
    return report is not None and model in report.models


def _mean_other_runs(state: RoutingState, names: Sequence[str]) -> float:
    other_runs = [
        state.endpoints[name].other_runs
        for name in names
        if state.endpoints[name].report is not None
    ]
    return sum(other_runs) / len(other_runs) if other_runs else 0.0


def _select_candidates(
    state: RoutingState, names: Sequence[str], cached: dict[str, int]
) -> tuple[RoutingState, tuple[str, ...]]:
    random_state, random_names = sample_names(
        state.random_state, names, RANDOM_CANDIDATES
    )
    holders = sorted(names, key=lambda name: -cached[name])[:PREFIX_CANDIDATES]
    cached_at = (name for name in holders if cached[name])
    selected = dict.fromkeys(chain(random_names, cached_at))
    return state._replace(random_state=random_state), tuple(selected)


def _score(
    state: RoutingState,
    position: int,
    name: str,
    request: RoutingRequest,
    cached: int,
    mean_other_runs: float,
    now: float,
) -> ScoredEndpoint:
    endpoint = state.endpoints[name]
    blocks = max(1, len(request.prefix_blocks))
    uncached = round(request.tokens * (1 - cached / blocks))
    seconds = expected_wait(endpoint, mean_other_runs, now)
    seconds += prefill_time(endpoint, uncached)
    seconds /= slow_start_share(endpoint.started_at, now)
    if endpoint.candidate.zone != request.zone:
        seconds += CROSS_ZONE_SECONDS
    return ScoredEndpoint(seconds, position, name, uncached)


def _may_eject(state: RoutingState, service: str, now: float) -> bool:
    names = state.names.get(service, ())
    ejected = sum(is_ejected(state.endpoints[name].health, now) for name in names)
    return ejection_allowed(ejected, len(names))
