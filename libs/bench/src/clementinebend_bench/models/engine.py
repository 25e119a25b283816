"""Light model of an engine: slots, serial prefill, decode steps, prefix cache.

A request waits for a slot, then for the prompts before it, then for its own
uncached tokens, and then takes one step for each token of the answer. Each
request costs a few events whatever its length, where a model of every step
would cost one for each token. Times are in seconds of virtual time.
"""

from collections import deque
from itertools import takewhile
from typing import NamedTuple

BLOCK_TOKENS = 64

BATCH_COST = 0.02
"""Share by which each further running request lengthens a decode step."""


class EngineSize(NamedTuple):
    """Sizes and speed of an engine; ``step`` is in seconds."""

    slots: int = 32
    step: float = 0.01
    tokens_per_step: int = 256
    cache_blocks: int = 1024


class Job(NamedTuple):
    """A request as an engine sees it; lengths are in tokens."""

    run: str
    blocks: tuple[str, ...]
    prompt: int
    output: int


class Started(NamedTuple):
    """A job that got a slot, with its times and the prompt tokens it had cached."""

    run: str
    first_token_at: float
    end_at: float
    cached: int


class Prefill(NamedTuple):
    """When an engine works through the uncached tokens of a running job."""

    start: float
    end: float


class Engine(NamedTuple):
    """An engine; ``stored`` and ``evicted`` collect cache changes to report."""

    name: str
    zone: str
    service: str
    size: EngineSize
    running: dict[str, Prefill]
    queue: deque[Job]
    cache: dict[str, None]
    stored: list[str]
    evicted: list[str]
    prefill_until: float = 0.0


def new_engine(name: str, zone: str, service: str, size: EngineSize) -> Engine:
    """Return an idle engine with a cold cache."""
    return Engine(name, zone, service, size, {}, deque(), {}, [], [])


def submit(engine: Engine, job: Job, now: float) -> tuple[Engine, Started | None]:
    """Queue a job; it starts at once if a slot is free."""
    engine.queue.append(job)
    return _start_next(engine, now)


def end(engine: Engine, run: str, now: float) -> tuple[Engine, Started | None]:
    """Free the slot of a run, or take it out of the queue; start the next job.

    What was left of a stopped run's prefill goes to jobs that start later.
    """
    prefill = engine.running.pop(run, None)
    if prefill is None:
        waiting = [job for job in engine.queue if job.run != run]
        engine.queue.clear()
        engine.queue.extend(waiting)
        return engine, None
    unused = max(0.0, prefill.end - max(now, prefill.start))
    engine = engine._replace(prefill_until=engine.prefill_until - unused)
    return _start_next(engine, now)


def prefill_seconds(size: EngineSize, tokens: int) -> float:
    """Return how long ``tokens`` of a prompt take."""
    return tokens / size.tokens_per_step * size.step


def _start_next(engine: Engine, now: float) -> tuple[Engine, Started | None]:
    if not engine.queue or len(engine.running) >= engine.size.slots:
        return engine, None
    job = engine.queue.popleft()
    hits = sum(1 for _ in takewhile(engine.cache.__contains__, job.blocks))
    cached = min(job.prompt, hits * BLOCK_TOKENS)
    _store(engine, job.blocks)
    start = max(now, engine.prefill_until)
    ready = start + prefill_seconds(engine.size, job.prompt - cached)
    engine.running[job.run] = Prefill(start, ready)
    step = engine.size.step * (1 + BATCH_COST * len(engine.running))
    started = Started(job.run, ready + step, ready + step * job.output, cached)
    return engine._replace(prefill_until=ready), started


def _store(engine: Engine, blocks: tuple[str, ...]) -> None:
    for block in blocks:
        if block in engine.cache:
            del engine.cache[block]
        else:
            engine.stored.append(block)
        engine.cache[block] = None
    while len(engine.cache) > engine.size.cache_blocks:
        oldest = next(iter(engine.cache))
        del engine.cache[oldest]
        engine.evicted.append(oldest)
