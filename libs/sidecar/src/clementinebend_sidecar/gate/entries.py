"""What entries ask of the gate, message by message."""

from collections.abc import Iterator
from functools import singledispatch

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import (
    CloseNotice,
    CloseReply,
    DrainOrder,
    Message,
    ReceiptsLogged,
    RunAccepted,
    RunAttach,
    RunCancel,
    RunChunk,
    RunFailed,
    RunRefused,
    RunStart,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_sidecar.gate.door import MS_PER_S, refusal
from clementinebend_sidecar.gate.effects import Count, Counter, Effect, Send
from clementinebend_sidecar.gate.keeping import drop_receipt
from clementinebend_sidecar.gate.progress import enqueue, refuse_run, stop_run
from clementinebend_sidecar.gate.state import (
    GateState,
    Listener,
    Phase,
    Run,
    remember,
    waiting_listeners,
)

FORGOTTEN = "the run ended and its answer is no longer kept"


@singledispatch
def on_message(
    message: Message, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    """Answer one message; those that are not for a sidecar are passed over."""
    yield from ()


@on_message.register
def _(
    message: RunStart, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    listener = Listener(connection, message.run)
    if message.run in state.runs:
        yield from _attach(state, message.run, listener)
        return
    if message.run in state.remembered:
        yield _remembered(state, listener)
        return
    earlier = _earlier_run(state, message)
    if earlier is not None:
        yield from _join(state, earlier, message.body_digest, listener)
        return
    refused = refusal(state, message)
    if refused is not None:
        yield from _refuse(state, connection, refused)
        return
    deadline = now + message.deadline_ms / MS_PER_S
    enqueue(state, Run(message, deadline, {listener: True}, chunks=[]))
    yield Send(connection, RunAccepted(message.run, message.run))


@on_message.register
def _(
    message: RunAttach, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    listener = Listener(connection, message.attachment)
    run_id = state.run_by_key.get(message.key)
    if run_id is None:
        refused = RunRefused(message.attachment, NotRunReason.UNKNOWN_KEY, 0)
        yield Count(Counter.REFUSALS, refused.reason)
        yield Send(connection, refused)
        return
    yield from _join(state, run_id, message.body_digest, listener)


@on_message.register
def _(
    message: RunCancel, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    run_id = _run_heard_as(state, message.run)
    if run_id is None:
        return
    run = state.runs[run_id]
    for listener in run.listeners:
        if listener.run == message.run:
            run.listeners[listener] = False
    if any(waiting_listeners(run)):
        return
    if run.phase is Phase.QUEUED:
        yield from refuse_run(state, run_id, NotRunReason.CANCELLED)
    elif run.phase is Phase.EXECUTING:
        yield from stop_run(state, run_id)


@on_message.register
def _(
    message: ReceiptsLogged, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    for run_id in message.runs:
        drop_receipt(state, run_id)
    yield from ()


@on_message.register
def _(
    message: CloseNotice, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    holder = message.holder
    state.closed.add(holder)
    queued = [place.run for place in state.queue]
    for run_id in queued:
        if state.runs[run_id].start.ticket.holder == holder:
            yield from refuse_run(state, run_id, NotRunReason.HOLDER_CLOSED)
    tickets = [state.runs[run_id].start.ticket for run_id in state.executing]
    pending = sum(ticket.holder == holder for ticket in tickets)
    kept = state.receipts.values()
    receipts = tuple(receipt for receipt in kept if receipt.holder == holder)
    reply = CloseReply(holder, state.identity.incarnation, pending, receipts)
    yield Send(connection, reply)


@on_message.register
def _(
    message: DrainOrder, connection: int, state: GateState, now: float
) -> Iterator[Effect]:
    state.figures["leaving"] = True
    yield from ()


def _earlier_run(state: GateState, start: RunStart) -> RunId | None:
    """Return the run that a request of the same key is to be attached to.

    An idempotent request may run again if the earlier answer failed or is
    evicted: the ledger bills its key once.
    """
    run_id = state.run_by_key.get(start.key)
    if run_id is None:
        return None
    run = state.runs[run_id]
    has_answer = run.chunks is not None and not isinstance(run.end, RunFailed)
    same = run.start.body_digest == start.body_digest
    return None if same and start.idempotent and not has_answer else run_id


def _join(
    state: GateState, run_id: RunId, body_digest: str, listener: Listener
) -> Iterator[Effect]:
    if state.runs[run_id].start.body_digest != body_digest:
        conflict = RunRefused(listener.run, NotRunReason.KEY_CONFLICT, 0)
        yield from _refuse(state, listener.connection, conflict)
        return
    yield from _attach(state, run_id, listener)


def _attach(state: GateState, run_id: RunId, listener: Listener) -> Iterator[Effect]:
    """Let ``listener`` hear the whole answer; a repeat is passed over."""
    run = state.runs[run_id]
    if listener in run.listeners:
        return
    run.listeners[listener] = True
    connection, heard_as = listener
    yield Count(Counter.ATTACHMENTS)
    yield Send(connection, RunAccepted(heard_as, run_id))
    if run.chunks is None:
        receipt = state.receipts[run_id]
        yield Send(connection, RunFailed(heard_as, FORGOTTEN, receipt))
        return
    if run.head is not None:
        yield Send(connection, run.head._replace(run=heard_as))
    for sequence, data in enumerate(run.chunks):
        yield Send(connection, RunChunk(heard_as, sequence, data))
    if run.end is not None:
        yield Send(connection, run.end._replace(run=heard_as))


def _refuse(state: GateState, connection: int, refused: RunRefused) -> Iterator[Effect]:
    remember(state, refused.run, refused)
    yield Count(Counter.REFUSALS, refused.reason)
    yield Send(connection, refused)


def _remembered(state: GateState, listener: Listener) -> Effect:
    """Answer a repeat of a run that was refused or is forgotten."""
    refused = state.remembered[listener.run]
    if refused is not None:
        return Send(listener.connection, refused)
    return Send(listener.connection, RunFailed(listener.run, FORGOTTEN))


def _run_heard_as(state: GateState, heard_as: RunId) -> RunId | None:
    if heard_as in state.runs:
        return heard_as
    hearing = (
        run_id
        for run_id, run in state.runs.items()
        if any(listener.run == heard_as for listener in run.listeners)
    )
    return next(hearing, None)
