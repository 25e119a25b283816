"""Two kinds of entry under faults: the fleet's decisions, and naive retries.

Each function takes an entry and what happened, and gives back the entry and
effects. An entry serves one service; there is one for each zone.
"""

from functools import singledispatch
from typing import NamedTuple

from clementinebend_admission.estimates import retry_after_ms
from clementinebend_admission.queue import (
    AdmissionState,
    Admitted,
    Arrival,
    Refused,
    arrive,
    cancel,
    empty_admission,
    expire,
    finish,
    set_capacity,
)
from clementinebend_admission.retries import (
    RetryState,
    may_retry,
    new_retry_state,
    on_request,
)
from clementinebend_bench.models.policies import (
    Dispatched,
    Finished,
    Policy,
    least_in_flight,
    observe,
    pick,
)
from clementinebend_bench.models.traces import OUTPUT_LIMIT, Request
from clementinebend_records.messages import LoadReport
from clementinebend_routing.choice import (
    Candidate,
    NoEndpoint,
    RoutingRequest,
    RoutingState,
    choose,
    empty_routing,
    on_dispatch,
    on_finish,
    on_load_report,
    set_endpoints,
)

DEADLINE = 5.0
"""Seconds from its arrival in which a request's first token is good."""

FAILED_RETRY_AFTER = 1.0
"""Seconds told to a caller whose attempt failed and may not be retried here."""


class Dispatch(NamedTuple):
    """Effect: send the request to an endpoint."""

    request: Request
    endpoint: str


class Refuse(NamedTuple):
    """Effect: tell the caller that the request did not run."""

    request: str
    retry_after_ms: int


Effect = Dispatch | Refuse


class NaiveEntry(NamedTuple):
    """No admission; a failed attempt is retried at once until the deadline."""

    policy: Policy


class FleetEntry(NamedTuple):
    """Admission, routing and retry budgets as in the fleet's entry."""

    zone: str
    admission: AdmissionState
    retries: RetryState
    routing: RoutingState
    requests: dict[str, Request]


Entry = NaiveEntry | FleetEntry
Step = tuple[Entry, tuple[Effect, ...]]


def naive_entry(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Entry:
    """Return a naive entry that sends to the endpoint with least in flight."""
    return NaiveEntry(least_in_flight(candidates, zone, seed))


def fleet_entry(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Entry:
    """Return the fleet's entry before its first request."""
    routing = set_endpoints(empty_routing(seed), candidates, 0.0)
    return FleetEntry(zone, empty_admission(), new_retry_state(), routing, {})


@singledispatch
def on_arrival(entry: Entry, request: Request, now: float) -> Step:
    """Take a request from a caller."""
    raise TypeError(f"no entry: {entry!r}")


@on_arrival.register
def _(entry: NaiveEntry, request: Request, now: float) -> Step:
    policy, endpoint = pick(entry.policy, request, now)
    if endpoint is None:
        raise ValueError("the baseline always names an endpoint")
    policy = observe(policy, Dispatched(endpoint, request), now)
    return entry._replace(policy=policy), (Dispatch(request, endpoint),)


@on_arrival.register
def _(entry: FleetEntry, request: Request, now: float) -> Step:
    arrival = Arrival(
        request.request,
        request.team,
        1.0,
        0,
        request.prompt + OUTPUT_LIMIT,
        request.time + DEADLINE,
    )
    retries = on_request(entry.retries, request.team, now)
    admission, verdict = arrive(entry.admission, arrival, now)
    entry = entry._replace(retries=retries, admission=admission)
    if isinstance(verdict, Refused):
        return entry, (Refuse(request.request, verdict.retry_after_ms),)
    entry.requests[request.request] = request
    if not isinstance(verdict, Admitted):
        return entry, ()
    return _dispatch(entry, request, frozenset(), now)


@singledispatch
def on_failure(entry: Entry, request: Request, endpoint: str, now: float) -> Step:
    """Take the failure of an attempt that did not run."""
    raise TypeError(f"no entry: {entry!r}")


@on_failure.register
def _(entry: NaiveEntry, request: Request, endpoint: str, now: float) -> Step:
    finished = Finished(endpoint, request.request, False, 0.0)
    entry = entry._replace(policy=observe(entry.policy, finished, now))
    if now >= request.time + DEADLINE:
        return entry, ()
    return on_arrival(entry, request, now)


@on_failure.register
def _(entry: FleetEntry, request: Request, endpoint: str, now: float) -> Step:
    routing = on_finish(entry.routing, endpoint, request.request, False, 0.0, now)
    retries, allowed = may_retry(entry.retries, request.team, now)
    entry = entry._replace(routing=routing, retries=retries)
    if allowed:
        return _dispatch(entry, request, frozenset({endpoint}), now)
    after = retry_after_ms(FAILED_RETRY_AFTER, request.request)
    return _give_back(entry, request.request, after, now)


@singledispatch
def on_done(entry: Entry, request: Request, endpoint: str, now: float) -> Step:
    """Take the end of a whole answer."""
    raise TypeError(f"no entry: {entry!r}")


@on_done.register
def _(entry: NaiveEntry, request: Request, endpoint: str, now: float) -> Step:
    finished = Finished(endpoint, request.request, True, 0.0)
    return entry._replace(policy=observe(entry.policy, finished, now)), ()


@on_done.register
def _(entry: FleetEntry, request: Request, endpoint: str, now: float) -> Step:
    latency = now - entry.admission.running[request.request].started_at
    routing = on_finish(entry.routing, endpoint, request.request, True, latency, now)
    tokens = request.prompt + request.output
    admission, admitted = finish(entry.admission, request.request, tokens, now)
    entry.requests.pop(request.request)
    entry = entry._replace(routing=routing, admission=admission)
    return _dispatch_all(entry, admitted, now)


@singledispatch
def on_caller_left(
    entry: Entry, request: Request, endpoint: str | None, now: float
) -> Step:
    """Take the news that nobody waits for the request any more."""
    raise TypeError(f"no entry: {entry!r}")


@on_caller_left.register
def _(entry: NaiveEntry, request: Request, endpoint: str | None, now: float) -> Step:
    if endpoint is None:
        return entry, ()
    finished = Finished(endpoint, request.request, False, 0.0)
    return entry._replace(policy=observe(entry.policy, finished, now)), ()


@on_caller_left.register
def _(entry: FleetEntry, request: Request, endpoint: str | None, now: float) -> Step:
    if endpoint is not None:
        routing = on_finish(entry.routing, endpoint, request.request, True, 0.0, now)
        entry = entry._replace(routing=routing)
    entry.requests.pop(request.request, None)
    admission, admitted = cancel(entry.admission, request.request, now)
    return _dispatch_all(entry._replace(admission=admission), admitted, now)


def on_reports(entry: Entry, reports: tuple[LoadReport, ...], now: float) -> Entry:
    """Take load reports; the naive entry makes no use of them."""
    if isinstance(entry, NaiveEntry):
        return entry
    for report in reports:
        entry = entry._replace(routing=on_load_report(entry.routing, report, now))
    return entry


def on_tick(
    entry: Entry, candidates: tuple[Candidate, ...], slots: int, now: float
) -> Step:
    """Take what is usable now and this entry's part of its slots."""
    if isinstance(entry, NaiveEntry):
        return entry, ()
    routing = set_endpoints(entry.routing, candidates, now)
    admission, refused = expire(entry.admission, now)
    admission, admitted = set_capacity(admission, slots)
    for one in refused:
        entry.requests.pop(one.request)
    entry = entry._replace(routing=routing, admission=admission)
    stepped, effects = _dispatch_all(entry, admitted, now)
    refusals = (Refuse(one.request, one.retry_after_ms) for one in refused)
    return stepped, (*refusals, *effects)


def _dispatch_all(
    entry: FleetEntry, admitted: tuple[Admitted, ...], now: float
) -> Step:
    stepped: Entry = entry
    effects: tuple[Effect, ...] = ()
    for one in admitted:
        request = entry.requests[one.request]
        stepped, more = _dispatch(stepped, request, frozenset(), now)
        effects = (*effects, *more)
    return stepped, effects


def _dispatch(
    entry: Entry, request: Request, exclude: frozenset[str], now: float
) -> Step:
    if not isinstance(entry, FleetEntry):
        raise TypeError(f"no fleet entry: {entry!r}")
    wanted = RoutingRequest(
        request.service, "m", entry.zone, request.blocks, request.prompt, exclude
    )
    routing, outcome = choose(entry.routing, wanted, now)
    entry = entry._replace(routing=routing)
    if isinstance(outcome, NoEndpoint):
        return _give_back(entry, request.request, outcome.retry_after_ms, now)
    routing = on_dispatch(
        routing, outcome.endpoint, request.request, now, outcome.uncached
    )
    return entry._replace(routing=routing), (Dispatch(request, outcome.endpoint),)


def _give_back(entry: FleetEntry, request: str, after_ms: int, now: float) -> Step:
    """Refuse an admitted request; its slot goes to the next one."""
    entry.requests.pop(request)
    admission, admitted = cancel(entry.admission, request, now)
    stepped, effects = _dispatch_all(entry._replace(admission=admission), admitted, now)
    return stepped, (Refuse(request, after_ms), *effects)
