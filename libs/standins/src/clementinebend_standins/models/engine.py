"""Pure model of a model engine with continuous batching.

One ``step`` gives each running request a share of the prefill budget or one
token. Time is only a number handed in, so benchmarks step in virtual time.
A state handed in is consumed: use the one that comes back.
"""

from enum import StrEnum
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from clementinebend_standins.models.prefix_cache import (
    BLOCK_BYTES,
    PrefixCache,
    block_digests,
    cached_blocks,
    empty_cache,
    store_blocks,
)
from clementinebend_standins.models.text import (
    BYTES_PER_TOKEN,
    natural_length,
    prompt_tokens,
)

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


class RunStatus(StrEnum):
    """Where a run stands; ``IMPORTED`` ones wait to be resumed."""

    IMPORTED = "imported"
    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


ENDED = (RunStatus.FINISHED, RunStatus.CANCELLED)


class EngineLimits(NamedTuple):
    """Sizes of an engine; ``prefill_tokens`` are shared by all runs in a step."""

    slots: int = 8
    prefill_tokens: int = 512
    cache_blocks: int = 4096


class Order(NamedTuple):
    """What is asked of the engine.

    Smaller ``priority`` numbers run first, as in vLLM. ``target`` is the
    natural length of the answer and ``limit`` cuts it short, both in tokens.
    """

    run: str
    prompt: str
    limit: int | None
    priority: int = 0
    target: int | None = None


class Run(NamedTuple):
    """One run; counts are in tokens, and ``prefill`` is still to be computed."""

    order: Order
    status: RunStatus
    length: int
    prefill: int = 0
    cached: int = 0
    generated: int = 0
    prompt_used: int = 0


class Emitted(NamedTuple):
    """One token of a run: its position, and whether it is the last."""

    run: str
    position: int
    last: bool


class EngineState(NamedTuple):
    """All runs by id, those that wait most urgent first, and the prefix cache."""

    limits: EngineLimits
    runs: dict[str, Run]
    running: dict[str, None]
    waiting: list[tuple[int, int, str]]
    arrivals: "count[int]"
    cache: PrefixCache


def empty_engine(limits: EngineLimits) -> EngineState:
    """Return an idle engine with a cold cache."""
    return EngineState(limits, {}, {}, [], count(), empty_cache(limits.cache_blocks))


def submit(state: EngineState, order: Order) -> EngineState:
    """Queue a new run; its id must not be known yet."""
    state.runs[order.run] = Run(order, RunStatus.WAITING, _length(order))
    return _enqueue(state, order)


def import_run(state: EngineState, order: Order, generated: int) -> EngineState:
    """Add a run that another engine has computed up to ``generated`` tokens."""
    state.runs[order.run] = Run(
        order, RunStatus.IMPORTED, _length(order), generated=generated
    )
    return state


def resume(state: EngineState, run_id: str) -> EngineState:
    """Let an imported run go on; any other one is left as it is."""
    run = state.runs[run_id]
    if run.status is not RunStatus.IMPORTED:
        return state
    if run.generated >= run.length:
        state.runs[run_id] = run._replace(status=RunStatus.FINISHED)
        return state
    state.runs[run_id] = run._replace(status=RunStatus.WAITING)
    return _enqueue(state, run.order)


def cancel(state: EngineState, run_id: str) -> EngineState:
    """End a run where it stands; one that has ended stays as it is."""
    run = state.runs[run_id]
    if run.status in ENDED:
        return state
    state.runs[run_id] = run._replace(status=RunStatus.CANCELLED)
    state.running.pop(run_id, None)
    state.waiting[:] = [entry for entry in state.waiting if entry[2] != run_id]
    heapify(state.waiting)
    return state


def is_idle(state: EngineState) -> bool:
    """Return whether a step would change nothing."""
    return not state.running and not state.waiting


def step(state: EngineState, now: float) -> tuple[EngineState, tuple[Emitted, ...]]:
    """Fill free slots and compute one step; ``now`` dates the cache events."""
    while state.waiting and len(state.running) < state.limits.slots:
        state = _start(state, heappop(state.waiting)[2])
    budget = state.limits.prefill_tokens
    emitted = []
    for run_id in tuple(state.running):
        run = state.runs[run_id]
        if not run.prefill:
            emitted.append(_generate(state, run))
            continue
        computed = min(budget, run.prefill)
        budget -= computed
        state = _prefill(state, run, computed, now)
    return state, tuple(emitted)


def _length(order: Order) -> int:
    natural = natural_length(order.prompt) if order.target is None else order.target
    return natural if order.limit is None else min(natural, order.limit)


def _enqueue(state: EngineState, order: Order) -> EngineState:
    heappush(state.waiting, (order.priority, next(state.arrivals), order.run))
    return state


def _start(state: EngineState, run_id: str) -> EngineState:
    run = state.runs[run_id]
    tokens = prompt_tokens(run.order.prompt)
    state.running[run_id] = None
    run = run._replace(status=RunStatus.RUNNING, prompt_used=tokens)
    if not run.generated:
        digests = block_digests(run.order.prompt.encode())
        cached = cached_blocks(state.cache, digests) * BLOCK_TOKENS
        run = run._replace(prefill=max(tokens - cached, 1), cached=cached)
    state.runs[run_id] = run
    return state


def _prefill(state: EngineState, run: Run, computed: int, now: float) -> EngineState:
    left = run.prefill - computed
    state.runs[run.order.run] = run._replace(prefill=left)
    if left:
        return state
    digests = block_digests(run.order.prompt.encode())
    return state._replace(cache=store_blocks(state.cache, digests, now))


def _generate(state: EngineState, run: Run) -> Emitted:
    generated = run.generated + 1
    last = generated >= run.length
    status = RunStatus.FINISHED if last else RunStatus.RUNNING
    state.runs[run.order.run] = run._replace(generated=generated, status=status)
    if last:
        del state.running[run.order.run]
    return Emitted(run.order.run, run.generated, last)
