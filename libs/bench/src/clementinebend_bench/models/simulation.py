"""Routing in virtual time: several entries before one set of engines.

The entries decide alone. Load reports and cache events reach each of them late,
and some cache events are lost on the way.
"""

from collections.abc import Callable
from functools import singledispatch
from itertools import count
from random import Random
from typing import NamedTuple

from clementinebend_bench.models.deployments import Deployment, engines_of
from clementinebend_bench.models.engine import Engine, Job, Started, end, submit
from clementinebend_bench.models.policies import (
    Dispatched,
    Finished,
    Observation,
    Policy,
    Snapshot,
    maps_to_resync,
    observe,
    pick,
)
from clementinebend_bench.models.timeline import Timeline, events_until, schedule
from clementinebend_bench.models.traces import Request
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import CacheEvent, LoadReport
from clementinebend_routing.choice import Candidate

REPORT_SECONDS = 0.5
"""Time between the reports of an engine."""

REPORT_LAG = (0.1, 0.5)
CACHE_LAG = (0.3, 1.0)
CACHE_LOSS = 0.02
"""Share of cache events that do not reach an entry."""

SAME_ZONE_HOP = 0.0005
OTHER_ZONE_HOP = 0.0015
"""Seconds one way between an entry and an engine."""

DRAIN_SECONDS = 60.0

PolicyFactory = Callable[[tuple[Candidate, ...], str, int], Policy]


class Arrive(NamedTuple):
    """A request reaches its entry."""

    request: Request


class Submit(NamedTuple):
    """A request reaches an engine."""

    endpoint: str
    request: Request


class End(NamedTuple):
    """A run's last token leaves the engine."""

    endpoint: str
    run: str


class Deliver(NamedTuple):
    """An observation reaches an entry."""

    entry: str
    observation: Observation


class ReportAll(NamedTuple):
    """All engines send their reports and cache events."""

    number: int


Event = Arrive | Submit | End | Deliver | ReportAll


class Measured(NamedTuple):
    """What one request got; ``to_first_token`` is in seconds."""

    request: Request
    to_first_token: float
    cached: int


class World(NamedTuple):
    """All of a simulation."""

    timeline: Timeline[Event]
    engines: dict[str, Engine]
    policies: dict[str, Policy]
    requests: dict[str, Request]
    measured: dict[str, Measured]
    latest_delivery: dict[tuple[str, str], float]
    random: Random
    until: float


def simulate(
    deployment: Deployment,
    trace: tuple[Request, ...],
    factory: PolicyFactory,
    seed: int,
) -> tuple[Measured, ...]:
    """Run a trace through one policy; return what each request got."""
    world = _new_world(deployment, trace, factory, seed)
    for request in trace:
        schedule(world.timeline, request.time, Arrive(request))
    schedule(world.timeline, 0.0, ReportAll(1))
    for now, event in events_until(world.timeline, world.until):
        handle(event, world, now)
    return tuple(world.measured.values())


def candidates_of(engines: dict[str, Engine]) -> tuple[Candidate, ...]:
    """Return the engines as routing sees them."""
    return tuple(
        Candidate(name, engine.service, engine.zone, ("m",), True)
        for name, engine in engines.items()
    )


def _new_world(
    deployment: Deployment,
    trace: tuple[Request, ...],
    factory: PolicyFactory,
    seed: int,
) -> World:
    engines = engines_of(deployment)
    candidates = candidates_of(engines)
    policies = {
        zone: factory(candidates, zone, seed + number)
        for number, zone in enumerate(deployment.zones)
    }
    requests = {request.request: request for request in trace}
    until = trace[-1].time + DRAIN_SECONDS
    timeline: Timeline[Event] = Timeline([], count())
    return World(timeline, engines, policies, requests, {}, {}, Random(seed), until)


@singledispatch
def handle(event: Event, world: World, now: float) -> None:
    """Apply one event to the world."""
    raise TypeError(f"no event: {event!r}")


@handle.register
def _(event: Arrive, world: World, now: float) -> None:
    request = event.request
    policy, endpoint = pick(world.policies[request.entry], request, now)
    if endpoint is None:
        raise ValueError("no endpoint although all are usable")
    policy = observe(policy, Dispatched(endpoint, request), now)
    world.policies[request.entry] = policy
    hop = _hop(world, request, endpoint)
    schedule(world.timeline, now + hop, Submit(endpoint, request))


@handle.register
def _(event: Submit, world: World, now: float) -> None:
    request = event.request
    job = Job(request.request, request.blocks, request.prompt, request.output)
    engine, started = submit(world.engines[event.endpoint], job, now)
    world.engines[event.endpoint] = engine
    _note_start(world, event.endpoint, started)


@handle.register
def _(event: End, world: World, now: float) -> None:
    engine, started = end(world.engines[event.endpoint], event.run, now)
    world.engines[event.endpoint] = engine
    _note_start(world, event.endpoint, started)
    request = world.requests[event.run]
    hop = _hop(world, request, event.endpoint)
    measured = world.measured[event.run]
    finished = Finished(
        event.endpoint,
        event.run,
        True,
        now + hop - request.time,
        measured.to_first_token,
    )
    schedule(world.timeline, now + hop, Deliver(request.entry, finished))


@handle.register
def _(event: Deliver, world: World, now: float) -> None:
    policy = observe(world.policies[event.entry], event.observation, now)
    world.policies[event.entry] = policy


@handle.register
def _(event: ReportAll, world: World, now: float) -> None:
    for name, engine in world.engines.items():
        for entry in world.policies:
            _send_report(world, entry, engine, event.number, now)
            _send_cache_event(world, entry, engine, event.number, now)
        engine.stored.clear()
        engine.evicted.clear()
        world.engines[name] = engine
    schedule(world.timeline, now + REPORT_SECONDS, ReportAll(event.number + 1))


def _send_report(
    world: World, entry: str, engine: Engine, number: int, now: float
) -> None:
    report = LoadReport(
        engine.name,
        Incarnation(f"{engine.name}#1"),
        number,
        len(engine.running),
        len(engine.queue),
        engine.size.slots,
        False,
        engine.size.step * 1000,
        ("m",),
    )
    arrives_at = now + world.random.uniform(*REPORT_LAG)
    schedule(world.timeline, arrives_at, Deliver(entry, report))


def _send_cache_event(
    world: World, entry: str, engine: Engine, number: int, now: float
) -> None:
    lag = world.random.uniform(*CACHE_LAG)
    lost = world.random.random() < CACHE_LOSS
    link = (entry, engine.name)
    arrives_at = max(now + lag, world.latest_delivery.get(link, 0.0))
    world.latest_delivery[link] = arrives_at
    if engine.name in maps_to_resync(world.policies[entry]):
        snapshot = Snapshot(engine.name, number, tuple(engine.cache))
        schedule(world.timeline, arrives_at, Deliver(entry, snapshot))
    elif not lost:
        event = CacheEvent(
            engine.name, number, tuple(engine.stored), tuple(engine.evicted)
        )
        schedule(world.timeline, arrives_at, Deliver(entry, event))


def _note_start(world: World, endpoint: str, started: Started | None) -> None:
    if started is None:
        return
    request = world.requests[started.run]
    seen_at = started.first_token_at + _hop(world, request, endpoint)
    measured = Measured(request, seen_at - request.time, started.cached)
    world.measured[started.run] = measured
    schedule(world.timeline, started.end_at, End(endpoint, started.run))


def _hop(world: World, request: Request, endpoint: str) -> float:
    same = world.engines[endpoint].zone == request.entry
    return SAME_ZONE_HOP if same else OTHER_ZONE_HOP
