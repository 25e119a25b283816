"""The gate's one entry: ``(state, event, now) -> (state, effects)``.

``now`` is monotonic seconds and decides policy only (deadlines, how long
answers are kept), never whether a run may execute or is billed.
"""

from collections.abc import Iterator
from functools import singledispatch
from itertools import chain

from clementinebend_records.messages import Hello
from clementinebend_sidecar.gate.effects import Effect, Exit, Send
from clementinebend_sidecar.gate.entries import on_message
from clementinebend_sidecar.gate.events import (
    CacheSeen,
    Configured,
    Connected,
    Disconnected,
    DrainAsked,
    EngineSeen,
    Event,
    HeadArrived,
    PieceArrived,
    Received,
    RunOver,
    Tick,
)
from clementinebend_sidecar.gate.keeping import evict_answers
from clementinebend_sidecar.gate.load import report_changes, report_load
from clementinebend_sidecar.gate.progress import (
    expire,
    on_head,
    on_over,
    on_piece,
    start_runs,
)
from clementinebend_sidecar.gate.state import GateState, active_runs


def step(
    state: GateState, event: Event, now: float
) -> tuple[GateState, tuple[Effect, ...]]:
    """Apply one event and return what is to be done."""
    effects = chain(
        handle(event, state, now),
        start_runs(state, now),
        evict_answers(state, now),
        report_changes(state),
        _leave(state, now),
    )
    return state, tuple(effects)


@singledispatch
def handle(event: Event, state: GateState, now: float) -> Iterator[Effect]:
    """Apply one event; the parts that follow every event are in ``step``."""
    raise TypeError(f"no handler for {type(event).__name__}")


@handle.register
def _(event: Connected, state: GateState, now: float) -> Iterator[Effect]:
    identity = state.identity
    state.connections.add(event.connection)
    hello = Hello(
        role="sidecar",
        name=identity.name,
        incarnation=identity.incarnation,
        zone=identity.zone,
        schema_version=identity.schema_version,
        revision=state.figures["revision"],
        leaving=state.figures["leaving"],
    )
    yield Send(event.connection, hello)
    yield from report_load(state, (event.connection,))


@handle.register
def _(event: Received, state: GateState, now: float) -> Iterator[Effect]:
    yield from on_message(event.message, event.connection, state, now)


@handle.register
def _(event: Disconnected, state: GateState, now: float) -> Iterator[Effect]:
    state.connections.discard(event.connection)
    for run in state.runs.values():
        gone = [each for each in run.listeners if each.connection == event.connection]
        for listener in gone:
            del run.listeners[listener]
    yield from ()


@handle.register
def _(event: HeadArrived, state: GateState, now: float) -> Iterator[Effect]:
    yield from on_head(state, event)


@handle.register
def _(event: PieceArrived, state: GateState, now: float) -> Iterator[Effect]:
    yield from on_piece(state, event)


@handle.register
def _(event: RunOver, state: GateState, now: float) -> Iterator[Effect]:
    yield from on_over(state, event, now)


@handle.register
def _(event: DrainAsked, state: GateState, now: float) -> Iterator[Effect]:
    state.figures["leaving"] = True
    yield from ()


@handle.register
def _(event: Configured, state: GateState, now: float) -> Iterator[Effect]:
    state.figures["revision"] = max(state.figures["revision"], event.revision)
    yield from ()


@handle.register
def _(event: EngineSeen, state: GateState, now: float) -> Iterator[Effect]:
    state.figures["step_ms"] = event.step_ms
    state.figures["models"] = event.models
    yield from ()


@handle.register
def _(event: CacheSeen, state: GateState, now: float) -> Iterator[Effect]:
    for connection in sorted(state.connections):
        yield from (Send(connection, change) for change in event.events)


@handle.register
def _(event: Tick, state: GateState, now: float) -> Iterator[Effect]:
    yield from expire(state, now)
    yield from report_load(state, sorted(state.connections))


def _leave(state: GateState, now: float) -> Iterator[Effect]:
    """Exit once all accepted runs ended and their receipts are on the log.

    Runs in progress are never cut off; only the wait for receipts to be logged
    is bounded, from the end of the last run.
    """
    figures = state.figures
    if not figures["leaving"] or active_runs(state):
        figures["idle_since"] = None
        return
    idle_since = figures["idle_since"]
    if idle_since is None:
        idle_since = figures["idle_since"] = now
    waited = now - idle_since
    if not state.receipts or waited >= state.limits.drain_timeout_s:
        yield Exit()
