"""Runs from the queue to their end, and what their listeners hear.

What the endpoint's verdict means for caller and bill:

========================  =====================  =============================
verdict                   message                receipt
========================  =====================  =============================
``Refused``               ``RunRefused``         none: proved not run
``Whole``                 ``RunEnd``             cost of the run
``Broken``, certain       ``RunFailed``          cost of the run
``Broken``, not certain   ``RunFailed`` without  kept here with the whole
                          receipt: unknown       reservation
========================  =====================  =============================

In the last row the entry holds the reservation. Should the entry die first,
the receipt kept here lets the closer of its holder bill it, so that what may
have run is never freed unbilled.
"""

from collections.abc import Generator, Iterator
from functools import singledispatch

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import (
    Receipt,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
)
from clementinebend_records.reasons import NotRunReason, RequestOutcome
from clementinebend_sidecar.gate.costs import cost_of, receipt_of
from clementinebend_sidecar.gate.effects import (
    Count,
    Counter,
    Effect,
    Send,
    StartRun,
    StopRun,
)
from clementinebend_sidecar.gate.events import (
    Broken,
    HeadArrived,
    PieceArrived,
    Refused,
    RunOver,
    Verdict,
    Whole,
)
from clementinebend_sidecar.gate.state import (
    GateState,
    Phase,
    Place,
    Run,
    forget,
    remember,
)

SMOOTHING = 0.2
"""Weight of the newest run in the mean duration of runs."""


def enqueue(state: GateState, run: Run) -> None:
    """Add an accepted run to the queue, by priority and then by arrival."""
    state.figures["arrivals"] += 1
    start = run.start
    place = Place(-start.priority, state.figures["arrivals"], start.run)
    state.runs[start.run] = run
    state.run_by_key[start.key] = start.run
    state.queue.append(place)
    state.queue.sort()


def start_runs(state: GateState, now: float) -> Iterator[Effect]:
    """Start queued runs while there are free slots and their deadline holds."""
    while state.queue and len(state.executing) < state.limits.slots:
        run_id = state.queue[0].run
        run = state.runs[run_id]
        if now >= run.deadline:
            yield from refuse_run(state, run_id, NotRunReason.DEADLINE)
            continue
        del state.queue[0]
        state.executing.add(run_id)
        state.runs[run_id] = run._replace(phase=Phase.EXECUTING, began=now)
        yield StartRun(run.start)


def expire(state: GateState, now: float) -> Iterator[Effect]:
    """Refuse queued runs, and stop executing ones, whose deadline is past."""
    late = [place.run for place in state.queue if now >= state.runs[place.run].deadline]
    for run_id in late:
        yield from refuse_run(state, run_id, NotRunReason.DEADLINE)
    for run_id in sorted(state.executing):
        if now >= state.runs[run_id].deadline:
            yield from stop_run(state, run_id)


def stop_run(state: GateState, run_id: RunId) -> Iterator[Effect]:
    """Cancel a run at the endpoint, once."""
    run = state.runs[run_id]
    if not run.stopping:
        state.runs[run_id] = run._replace(stopping=True)
        yield StopRun(run_id)


def refuse_run(
    state: GateState, run_id: RunId, reason: NotRunReason, retry_after_ms: int = 0
) -> Iterator[Effect]:
    """End an accepted run that is proved not to have run."""
    run = state.runs[run_id]
    refusal = RunRefused(run_id, reason, retry_after_ms)
    state.queue[:] = [place for place in state.queue if place.run != run_id]
    state.executing.discard(run_id)
    forget(state, run_id)
    remember(state, run_id, refusal)
    yield Count(Counter.REFUSALS, reason)
    for listener in run.listeners:
        yield Send(listener.connection, refusal._replace(run=listener.run))


def on_head(state: GateState, event: HeadArrived) -> Iterator[Effect]:
    """Keep and relay the status of an answer."""
    run = state.runs[event.run]
    head = RunHead(*event)
    state.runs[event.run] = run._replace(head=head)
    for listener in run.listeners:
        yield Send(listener.connection, head._replace(run=listener.run))


def on_piece(state: GateState, event: PieceArrived) -> Iterator[Effect]:
    """Keep and relay a piece of an answer under the next sequence number."""
    run = state.runs[event.run]
    chunks = run.chunks
    if chunks is None:
        raise RuntimeError(f"answer of run {event.run} evicted while it executes")
    sequence = len(chunks)
    chunks.append(event.data)
    state.figures["bytes_kept"] += len(event.data)
    for listener in run.listeners:
        yield Send(listener.connection, RunChunk(listener.run, sequence, event.data))


def on_over(state: GateState, event: RunOver, now: float) -> Iterator[Effect]:
    """End an executing run by the endpoint's verdict."""
    if event.run not in state.executing:
        raise RuntimeError(f"run {event.run} is over but was not executing")
    yield from conclude(event.verdict, state, event.run, now)


@singledispatch
def conclude(
    verdict: Verdict, state: GateState, run_id: RunId, now: float
) -> Iterator[Effect]:
    """Settle an executing run and tell its listeners."""
    raise TypeError(f"no handler for {type(verdict).__name__}")


@conclude.register
def _(
    verdict: Refused, state: GateState, run_id: RunId, now: float
) -> Iterator[Effect]:
    yield from refuse_run(state, run_id, verdict.reason, verdict.retry_after_ms)


@conclude.register
def _(verdict: Whole, state: GateState, run_id: RunId, now: float) -> Iterator[Effect]:
    receipt = yield from _keep_receipt(state, run_id, verdict.usage, verdict.succeeded)
    chunks = state.runs[run_id].chunks or ()
    yield Count(Counter.RUNS, RequestOutcome.WHOLE)
    yield from _end(state, run_id, RunEnd(run_id, len(chunks), receipt), now)


@conclude.register
def _(verdict: Broken, state: GateState, run_id: RunId, now: float) -> Iterator[Effect]:
    receipt = yield from _keep_receipt(state, run_id, verdict.usage, succeeded=False)
    outcome = RequestOutcome.FAILED if verdict.certain else RequestOutcome.UNKNOWN
    told = receipt if verdict.certain else None
    yield Count(Counter.RUNS, outcome)
    yield from _end(state, run_id, RunFailed(run_id, verdict.message, told), now)


def _keep_receipt(
    state: GateState, run_id: RunId, usage: int | None, succeeded: bool
) -> Generator[Effect, None, Receipt]:
    start = state.runs[run_id].start
    cost = cost_of(state.identity.kind, start.ticket, usage)
    receipt = receipt_of(start, state.identity.name, cost.amount, succeeded)
    state.receipts[run_id] = receipt
    yield Count(Counter.TOKENS, amount=cost.amount)
    if cost.overrun:
        yield Count(Counter.OVERRUN)
    if not cost.told:
        yield Count(Counter.UNKNOWN_USAGE)
    return receipt


def _end(
    state: GateState, run_id: RunId, end: RunEnd | RunFailed, now: float
) -> Iterator[Effect]:
    run = state.runs[run_id]
    state.executing.remove(run_id)
    state.ended[run_id] = None
    state.runs[run_id] = run._replace(
        start=run.start._replace(body=b""), phase=Phase.ENDED, ended=now, end=end
    )
    mean = state.figures["mean_run_s"] or now - run.began
    state.figures["mean_run_s"] = mean + SMOOTHING * (now - run.began - mean)
    for listener in run.listeners:
        yield Send(listener.connection, end._replace(run=listener.run))
