"""Routing policies under one interface: the fleet's own and its baselines.

``pick`` names the endpoint for a request, ``observe`` takes what an entry sees.
Each entry has a policy state of its own; states are consumed.
"""

from functools import singledispatch
from random import Random
from typing import NamedTuple

from clementinebend_bench.models.traces import Request
from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.choice import (
    Candidate,
    NoEndpoint,
    RoutingRequest,
    RoutingState,
    choose,
    empty_routing,
    endpoints_to_resync,
    on_cache_event,
    on_cache_snapshot,
    on_dispatch,
    on_finish,
    on_load_report,
    set_endpoints,
)


class RoundRobin(NamedTuple):
    """Baseline: each endpoint of the service in turn."""

    names: dict[str, tuple[str, ...]]
    turns: dict[str, int]


class LeastInFlight(NamedTuple):
    """Baseline: the endpoint with the fewest own requests in flight."""

    names: dict[str, tuple[str, ...]]
    in_flight: dict[str, int]
    random: Random


class PowerOfTwo(NamedTuple):
    """Baseline: of two drawn at random the one with the lower load.

    The load is that of the last report and the own dispatches since.
    """

    names: dict[str, tuple[str, ...]]
    load: dict[str, int]
    random: Random


class FleetRouting(NamedTuple):
    """The fleet's routing library, at one entry."""

    state: RoutingState
    zone: str


Policy = RoundRobin | LeastInFlight | PowerOfTwo | FleetRouting


class Dispatched(NamedTuple):
    """The entry sent a request to an endpoint."""

    endpoint: str
    request: Request


class Finished(NamedTuple):
    """A request of the entry ended after ``latency`` seconds."""

    endpoint: str
    run: str
    ok: bool
    latency: float
    to_first_token: float = 0.0


class Snapshot(NamedTuple):
    """The whole content of an endpoint's cache, asked for after a gap."""

    endpoint: str
    sequence: int
    blocks: tuple[str, ...]


Observation = Dispatched | Finished | LoadReport | CacheEvent | Snapshot


def round_robin(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Policy:
    """Return the baseline, starting at a random endpoint."""
    random = Random(seed)
    names = _names(candidates)
    turns = {service: random.randrange(len(group)) for service, group in names.items()}
    return RoundRobin(names, turns)


def least_in_flight(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Policy:
    """Return the baseline with nothing in flight."""
    in_flight = {candidate.endpoint: 0 for candidate in candidates}
    return LeastInFlight(_names(candidates), in_flight, Random(seed))


def power_of_two(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Policy:
    """Return the baseline before the first report."""
    load = {candidate.endpoint: 0 for candidate in candidates}
    return PowerOfTwo(_names(candidates), load, Random(seed))


def fleet_routing(candidates: tuple[Candidate, ...], zone: str, seed: int) -> Policy:
    """Return the fleet's routing before the first report."""
    return FleetRouting(set_endpoints(empty_routing(seed), candidates, 0.0), zone)


@singledispatch
def pick(policy: Policy, request: Request, now: float) -> tuple[Policy, str | None]:
    """Return the endpoint for ``request``, or ``None`` if there is none."""
    raise TypeError(f"no policy: {policy!r}")


@pick.register
def _(policy: RoundRobin, request: Request, now: float) -> tuple[Policy, str | None]:
    names = policy.names[request.service]
    turn = policy.turns[request.service]
    policy.turns[request.service] = (turn + 1) % len(names)
    return policy, names[turn]


@pick.register
def _(policy: LeastInFlight, request: Request, now: float) -> tuple[Policy, str | None]:
    names = policy.names[request.service]
    least = min(policy.in_flight[name] for name in names)
    equal = [name for name in names if policy.in_flight[name] == least]
    return policy, policy.random.choice(equal)


@pick.register
def _(policy: PowerOfTwo, request: Request, now: float) -> tuple[Policy, str | None]:
    drawn = policy.random.sample(policy.names[request.service], 2)
    return policy, min(drawn, key=lambda name: policy.load[name])


@pick.register
def _(policy: FleetRouting, request: Request, now: float) -> tuple[Policy, str | None]:
    wanted = RoutingRequest(
        request.service, "m", policy.zone, request.blocks, request.prompt
    )
    state, outcome = choose(policy.state, wanted, now)
    if isinstance(outcome, NoEndpoint):
        return policy._replace(state=state), None
    state = on_dispatch(state, outcome.endpoint, request.request, now, outcome.uncached)
    return policy._replace(state=state), outcome.endpoint


@singledispatch
def observe(policy: Policy, observation: Observation, now: float) -> Policy:
    """Return the policy after an observation; by default it learns nothing."""
    return policy


@observe.register
def _(policy: LeastInFlight, observation: Observation, now: float) -> Policy:
    if isinstance(observation, Dispatched):
        policy.in_flight[observation.endpoint] += 1
    elif isinstance(observation, Finished):
        policy.in_flight[observation.endpoint] -= 1
    return policy


@observe.register
def _(policy: PowerOfTwo, observation: Observation, now: float) -> Policy:
    if isinstance(observation, Dispatched):
        policy.load[observation.endpoint] += 1
    elif isinstance(observation, LoadReport):
        policy.load[observation.endpoint] = observation.running + observation.queued
    return policy


@observe.register
def _(policy: FleetRouting, observation: Observation, now: float) -> Policy:
    state = policy.state
    match observation:
        case Finished(endpoint, run, ok, latency):
            state = on_finish(state, endpoint, run, ok, latency, now)
        case LoadReport():
            state = on_load_report(state, observation, now)
        case CacheEvent():
            state = on_cache_event(state, observation, now)
        case Snapshot(endpoint, sequence, blocks):
            state = on_cache_snapshot(state, endpoint, sequence, blocks)
        case Dispatched():
            pass
    return policy._replace(state=state)


def maps_to_resync(policy: Policy) -> tuple[str, ...]:
    """Return the endpoints whose cache the policy wants to be told of anew."""
    return endpoints_to_resync(policy.state) if isinstance(policy, FleetRouting) else ()


def _names(candidates: tuple[Candidate, ...]) -> dict[str, tuple[str, ...]]:
    services = dict.fromkeys(candidate.service for candidate in candidates)
    return {
        service: tuple(
            candidate.endpoint
            for candidate in candidates
            if candidate.service == service
        )
        for service in services
    }
