"""The world of a fault: reach, attempts, events and callers' entries.

Times are in seconds of virtual time.
"""

from itertools import count
from typing import NamedTuple
from zlib import crc32

from clementinebend_bench.models.engine import Engine
from clementinebend_bench.models.outage_entries import DEADLINE, Entry
from clementinebend_bench.models.timeline import Timeline
from clementinebend_bench.models.traces import Request
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import LoadReport
from clementinebend_routing.choice import Candidate

CONNECT_TIMEOUT = 0.5
"""Seconds until an attempt at an endpoint out of reach is given up."""

ATTEMPT_TIMEOUT = 2.0
"""Seconds without a first token after which the naive entry tries again."""

TICK = 0.25
NOTICED_AFTER = 2.0
"""Seconds after which the fleet's membership has noticed a change of reach."""

HOP = 0.001


class Fault(NamedTuple):
    """Endpoints and entries of ``zones`` are out of reach for a time.

    With ``entries_lost`` the callers of these zones' entries go to others.
    """

    start: float
    end: float
    zones: tuple[str, ...]
    entries_lost: bool


class Attempt(NamedTuple):
    """One dispatch; ``first_token_at`` is ``None`` until the engine starts it."""

    number: int
    request: Request
    endpoint: str
    first_token_at: float | None = None


class Arrive(NamedTuple):
    """A caller sends its request, for the first time or again."""

    request: Request


class Fail(NamedTuple):
    """An attempt gets no answer."""

    attempt: int


class End(NamedTuple):
    """An engine ends an attempt's last token."""

    attempt: int


class GiveUp(NamedTuple):
    """A caller's deadline."""

    request: str


class FaultStarts(NamedTuple):
    """All attempts in reach of the fault are lost."""


class Tick(NamedTuple):
    """Reports, and what membership knows."""


Event = Arrive | Fail | End | GiveUp | FaultStarts | Tick


class World(NamedTuple):
    """All of a simulation; ``good`` holds the requests answered in time."""

    timeline: Timeline[Event]
    engines: dict[str, Engine]
    entries: dict[tuple[str, str], Entry]
    fault: Fault
    naive: bool
    numbers: "count[int]"
    attempts: dict[int, Attempt]
    current: dict[str, int]
    requests: dict[str, Request]
    good: set[str]
    dispatches: list[tuple[float, str]]


def is_current(world: World, attempt: Attempt) -> bool:
    """Tell whether the attempt is the one that its entry waits for."""
    return world.current.get(attempt.request.request) == attempt.number


def in_reach(world: World, endpoint: str, now: float) -> bool:
    """Tell whether entries reach the endpoint at ``now``."""
    fault = world.fault
    zone = world.engines[endpoint].zone
    return zone not in fault.zones or not fault.start <= now < fault.end


def entry_key(world: World, request: Request, now: float) -> tuple[str, str]:
    """Return the entry of a request, another one if its own is lost.

    Requests just before the loss go to the other one too, so that no entry is
    lost with a request in it.
    """
    fault = world.fault
    lost = fault.entries_lost and request.entry in fault.zones
    if not lost or request.time < fault.start - DEADLINE:
        return request.entry, request.service
    left = [key for key in world.entries if key[0] not in fault.zones]
    names = [key for key in left if key[1] == request.service]
    return names[crc32(request.request.encode()) % len(names)]


def slots_of(
    world: World, service: str, candidates: tuple[Candidate, ...], now: float
) -> int:
    """Return one entry's part of the slots that are usable for a service."""
    slots = sum(
        world.engines[candidate.endpoint].size.slots
        for candidate in candidates
        if candidate.usable and candidate.service == service
    )
    entries = {zone for zone, _ in world.entries}
    lost = world.fault.entries_lost and world.fault.start <= now
    return slots // (len(entries) - (len(world.fault.zones) if lost else 0))


def report_of(engine: Engine, now: float) -> LoadReport:
    """Return the load of an engine now."""
    return LoadReport(
        engine.name,
        Incarnation(f"{engine.name}#1"),
        round(now / TICK),
        len(engine.running),
        len(engine.queue),
        engine.size.slots,
        False,
        engine.size.step * 1000,
        ("m",),
    )
