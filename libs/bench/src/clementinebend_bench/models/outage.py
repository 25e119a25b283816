"""Faults in virtual time: entries, engines that cannot be reached, callers.

A caller that is told "not run" comes back when it was told to, until its
deadline has passed; then it leaves. In a cut no entry reaches any engine and
runs in progress are lost to their callers; in a zone loss the zone's engines
and its entry are gone.
"""

from collections.abc import Callable
from functools import singledispatch
from itertools import count

from clementinebend_bench.models.deployments import Deployment, engines_of
from clementinebend_bench.models.engine import Job, Started, end, submit
from clementinebend_bench.models.outage_entries import (
    DEADLINE,
    Dispatch,
    Effect,
    Entry,
    Refuse,
    Step,
    on_arrival,
    on_caller_left,
    on_done,
    on_failure,
    on_reports,
    on_tick,
)
from clementinebend_bench.models.outage_world import (
    ATTEMPT_TIMEOUT,
    CONNECT_TIMEOUT,
    HOP,
    NOTICED_AFTER,
    TICK,
    Arrive,
    Attempt,
    End,
    Event,
    Fail,
    Fault,
    FaultStarts,
    GiveUp,
    Tick,
    World,
    entry_key,
    in_reach,
    is_current,
    report_of,
    slots_of,
)
from clementinebend_bench.models.simulation import candidates_of
from clementinebend_bench.models.timeline import Timeline, events_until, schedule
from clementinebend_bench.models.traces import Request
from clementinebend_routing.choice import Candidate

EntryFactory = Callable[[tuple[Candidate, ...], str, int], Entry]


def simulate_fault(
    deployment: Deployment,
    trace: tuple[Request, ...],
    fault: Fault,
    factory: EntryFactory,
    naive: bool,
    seed: int,
    seconds: float,
) -> World:
    """Run a trace through a fault and return the world after it."""
    engines = engines_of(deployment)
    candidates = candidates_of(engines)
    entries = {
        (zone, pool.service): factory(candidates, zone, seed + number)
        for number, zone in enumerate(deployment.zones)
        for pool in deployment.pools
    }
    requests = {request.request: request for request in trace}
    timeline: Timeline[Event] = Timeline([], count())
    world = World(
        timeline, engines, entries, fault, naive, count(), {}, {}, requests, set(), []
    )
    for request in trace:
        schedule(timeline, request.time, Arrive(request))
        schedule(timeline, request.time + DEADLINE, GiveUp(request.request))
    schedule(timeline, 0.0, Tick())
    schedule(timeline, fault.start, FaultStarts())
    for now, event in events_until(timeline, seconds):
        handle(event, world, now)
    return world


@singledispatch
def handle(event: Event, world: World, now: float) -> None:
    """Apply one event to the world."""
    raise TypeError(f"no event: {event!r}")


@handle.register
def _(event: Arrive, world: World, now: float) -> None:
    if now < event.request.time + DEADLINE:
        key = entry_key(world, event.request, now)
        _step(world, key, on_arrival(world.entries[key], event.request, now), now)


@handle.register
def _(event: Fail, world: World, now: float) -> None:
    attempt = world.attempts.get(event.attempt)
    if attempt is None or not is_current(world, attempt):
        return
    reached = in_reach(world, attempt.endpoint, now)
    first = attempt.first_token_at
    if reached and first is not None and first <= now:
        return
    if reached:
        _stop(world, attempt, now)
    del world.current[attempt.request.request]
    key = entry_key(world, attempt.request, now)
    step = on_failure(world.entries[key], attempt.request, attempt.endpoint, now)
    _step(world, key, step, now)


@handle.register
def _(event: End, world: World, now: float) -> None:
    attempt = world.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    _free(world, attempt, now)
    if not is_current(world, attempt) or not in_reach(world, attempt.endpoint, now):
        return
    request = attempt.request
    del world.current[request.request]
    first = attempt.first_token_at
    if first is not None and first <= request.time + DEADLINE:
        world.good.add(request.request)
    key = entry_key(world, request, now)
    _step(world, key, on_done(world.entries[key], request, attempt.endpoint, now), now)


@handle.register
def _(event: GiveUp, world: World, now: float) -> None:
    request = world.requests[event.request]
    number = world.current.get(event.request)
    attempt = None if number is None else world.attempts.get(number)
    if attempt is not None and (attempt.first_token_at or now + 1) <= now:
        return
    world.current.pop(event.request, None)
    if attempt is not None and in_reach(world, attempt.endpoint, now):
        _stop(world, attempt, now)
    endpoint = None if attempt is None else attempt.endpoint
    key = entry_key(world, request, now)
    step = on_caller_left(world.entries[key], request, endpoint, now)
    _step(world, key, step, now)


@handle.register
def _(event: FaultStarts, world: World, now: float) -> None:
    lost = [
        number
        for number in world.current.values()
        if not in_reach(world, world.attempts[number].endpoint, now)
    ]
    for number in lost:
        handle(Fail(number), world, now)


@handle.register
def _(event: Tick, world: World, now: float) -> None:
    seen = max(0.0, now - NOTICED_AFTER)
    candidates = tuple(
        candidate._replace(usable=in_reach(world, candidate.endpoint, seen))
        for candidate in candidates_of(world.engines)
    )
    reports = tuple(
        report_of(engine, now)
        for engine in world.engines.values()
        if in_reach(world, engine.name, now)
    )
    for key in world.entries:
        entry = on_reports(world.entries[key], reports, now)
        slots = slots_of(world, key[1], candidates, seen)
        _step(world, key, on_tick(entry, candidates, slots, now), now)
    schedule(world.timeline, now + TICK, Tick())


@singledispatch
def apply(effect: Effect, world: World, now: float) -> None:
    """Carry out one effect of an entry."""
    raise TypeError(f"no effect: {effect!r}")


@apply.register
def _(effect: Dispatch, world: World, now: float) -> None:
    number = next(world.numbers)
    request = effect.request
    world.dispatches.append((now, request.request))
    world.current[request.request] = number
    attempt = Attempt(number, request, effect.endpoint)
    world.attempts[number] = attempt
    if not in_reach(world, effect.endpoint, now):
        schedule(world.timeline, now + CONNECT_TIMEOUT, Fail(number))
        return
    if world.naive:
        schedule(world.timeline, now + ATTEMPT_TIMEOUT, Fail(number))
    job = Job(str(number), request.blocks, request.prompt, request.output)
    engine, started = submit(world.engines[effect.endpoint], job, now + HOP)
    world.engines[effect.endpoint] = engine
    _note_start(world, started)


@apply.register
def _(effect: Refuse, world: World, now: float) -> None:
    request = world.requests[effect.request]
    schedule(world.timeline, now + effect.retry_after_ms / 1000, Arrive(request))


def _step(world: World, key: tuple[str, str], step: Step, now: float) -> None:
    world.entries[key], effects = step
    for effect in effects:
        apply(effect, world, now)


def _stop(world: World, attempt: Attempt, now: float) -> None:
    """Close the connection of an attempt: its engine stops it."""
    del world.attempts[attempt.number]
    _free(world, attempt, now)


def _free(world: World, attempt: Attempt, now: float) -> None:
    engine, started = end(world.engines[attempt.endpoint], str(attempt.number), now)
    world.engines[attempt.endpoint] = engine
    _note_start(world, started)


def _note_start(world: World, started: Started | None) -> None:
    if started is None:
        return
    number = int(started.run)
    attempt = world.attempts[number]
    world.attempts[number] = attempt._replace(first_token_at=started.first_token_at)
    schedule(world.timeline, started.end_at + HOP, End(number))
