"""What the gate remembers. Reducers consume the state and update it in place.

Times are monotonic seconds and are used for policy only.
"""

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple, TypedDict

from clementinebend_declarations.models import ServiceKind
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import (
    Receipt,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
    RunStart,
)

REMEMBERED_RUNS = 65_536
"""Ids of ended runs that are still known; at 13 runs/s more than an hour."""


class Identity(NamedTuple):
    """Who this process is; ``name`` is the endpoint's."""

    name: str
    zone: str
    incarnation: Incarnation
    schema_version: int
    kind: ServiceKind


class GateLimits(NamedTuple):
    """Bounds from the settings, in seconds, bytes and runs."""

    slots: int
    queue_bound: int
    answer_retention_s: float
    answer_retention_bytes: int
    drain_timeout_s: float


class Phase(StrEnum):
    """How far a run is."""

    QUEUED = "queued"
    EXECUTING = "executing"
    ENDED = "ended"


class Listener(NamedTuple):
    """A connection, and the run id under which it hears of a run."""

    connection: int
    run: RunId


class Run(NamedTuple):
    """A run that was accepted here, and its answer as far as it came.

    ``listeners`` maps each one to whether it still waits for the answer.
    ``chunks`` is None once the answer is evicted.
    """

    start: RunStart
    deadline: float
    listeners: dict[Listener, bool]
    chunks: list[bytes] | None
    phase: Phase = Phase.QUEUED
    began: float = 0.0
    ended: float = 0.0
    head: RunHead | None = None
    end: RunEnd | RunFailed | None = None
    stopping: bool = False


class Place(NamedTuple):
    """A place in the queue: higher priorities first, then first come."""

    rank: int
    arrival: int
    run: RunId


class Load(NamedTuple):
    """What the last load report said that entries need to hear at once."""

    busy: bool
    waiting: bool
    leaving: bool
    models: tuple[str, ...]


class Figures(TypedDict):
    """Single values of the state, changed in place."""

    arrivals: int
    bytes_kept: int
    idle_since: float | None
    leaving: bool
    mean_run_s: float
    models: tuple[str, ...]
    reports: int
    revision: int
    step_ms: float
    told: Load


class GateState(NamedTuple):
    """All runs, receipts and closed holders of this incarnation.

    ``ended`` lists ended runs with kept answers, oldest first. ``remembered``
    holds ids that must not start again: with their refusal, or None if they
    were executed and are forgotten but for their id.
    """

    identity: Identity
    limits: GateLimits
    runs: dict[RunId, Run]
    run_by_key: dict[RequestKey, RunId]
    queue: list[Place]
    executing: set[RunId]
    ended: dict[RunId, None]
    remembered: OrderedDict[RunId, RunRefused | None]
    receipts: dict[RunId, Receipt]
    closed: set[Incarnation]
    connections: set[int]
    figures: Figures


def empty_gate(identity: Identity, limits: GateLimits) -> GateState:
    """Return the gate of a process that has just begun."""
    figures = Figures(
        arrivals=0,
        bytes_kept=0,
        idle_since=None,
        leaving=False,
        mean_run_s=0.0,
        models=(),
        reports=0,
        revision=0,
        step_ms=0.0,
        told=Load(busy=False, waiting=False, leaving=False, models=()),
    )
    return GateState(
        identity=identity,
        limits=limits,
        runs={},
        run_by_key={},
        queue=[],
        executing=set(),
        ended={},
        remembered=OrderedDict(),
        receipts={},
        closed=set(),
        connections=set(),
        figures=figures,
    )


def waiting_listeners(run: Run) -> Iterator[Listener]:
    """Return the listeners that still wait for the run's answer."""
    return (listener for listener, waits in run.listeners.items() if waits)


def active_runs(state: GateState) -> int:
    """Return how many accepted runs have not ended."""
    return len(state.queue) + len(state.executing)


def remember(state: GateState, run: RunId, refusal: RunRefused | None) -> None:
    """Keep a run's id so that it never starts again."""
    state.remembered[run] = refusal
    if len(state.remembered) > REMEMBERED_RUNS:
        state.remembered.popitem(last=False)


def forget(state: GateState, run: RunId) -> None:
    """Drop a run whose answer and receipt need no more keeping."""
    gone = state.runs.pop(run)
    if state.run_by_key.get(gone.start.key) == run:
        del state.run_by_key[gone.start.key]
    state.ended.pop(run, None)
