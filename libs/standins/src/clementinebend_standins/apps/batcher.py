"""The task that steps an engine's model for as long as it has work."""

from asyncio import Task, create_task, sleep
from time import monotonic
from typing import Any, NamedTuple

from clementinebend_standins.faults import FaultSwitch
from clementinebend_standins.models.engine import (
    ENDED,
    EngineLimits,
    EngineState,
    Order,
    Run,
    cancel,
    empty_engine,
    import_run,
    is_idle,
    resume,
    step,
    submit,
)
from clementinebend_standins.models.lagged import empty_lagged, set_value
from clementinebend_standins.notifier import Notifier


class EngineFaults(NamedTuple):
    """Faults of the engine; 0 or false means none.

    ``reject`` and ``truncate`` count requests: refused with 503, or ended
    before the end marker. After ``die_after_chunks`` more streamed pieces the
    process exits. ``hang`` stops the steps. Of the cache events every one
    that ``event_gap`` divides is left out, and all show up ``event_lag_ms``
    late.
    """

    step_ms: float = 5.0
    die_after_chunks: int = 0
    reject: int = 0
    hang: bool = False
    truncate: int = 0
    event_gap: int = 0
    event_lag_ms: int = 0


class Load(NamedTuple):
    """What a load report tells; ``sequence`` rises with each change."""

    sequence: int
    running: int
    queued: int


class Batcher:
    """Owns the engine's state; everyone else asks it."""

    def __init__(self, limits: EngineLimits, faults: EngineFaults):
        self.state: EngineState = empty_engine(limits)
        self.changed = Notifier()
        self.faults = FaultSwitch(faults, self.changed.notify)
        self.load = empty_lagged(Load(0, 0, 0))
        self.task: Task[None] | None = None

    def submit(self, order: Order) -> None:
        """Queue a new run."""
        self.update(submit(self.state, order))

    def import_run(self, order: Order, generated: int) -> None:
        """Add a run from another engine, not yet running."""
        self.update(import_run(self.state, order, generated))

    def resume(self, run_id: str) -> None:
        """Let an imported run go on."""
        self.update(resume(self.state, run_id))

    def cancel(self, run_id: str) -> None:
        """End a run where it stands."""
        self.update(cancel(self.state, run_id))

    async def wait_for(self, run_id: str, generated: int) -> Run:
        """Wait until a run has ended or has ``generated`` tokens."""
        run = self.state.runs[run_id]
        while run.status not in ENDED and run.generated < generated:
            await self.changed.wait()
            run = self.state.runs[run_id]
        return run

    def update(self, state: EngineState) -> None:
        """Take a new state: report the load, wake waiters, keep stepping."""
        self.state = state
        self.report()
        self.changed.notify()
        if self.task is None and not is_idle(state):
            self.task = create_task(self.run())
            self.task.add_done_callback(_raise_failure)

    def report(self) -> None:
        """Add a load report if the load has changed."""
        latest = self.load.changes[-1].value
        running, queued = len(self.state.running), len(self.state.waiting)
        if (running, queued) != latest[1:]:
            report = Load(latest.sequence + 1, running, queued)
            self.load = set_value(self.load, report, monotonic())

    async def run(self) -> None:
        """Step until there is nothing to do."""
        while not is_idle(self.state):
            await sleep(self.faults.values.step_ms / 1000)
            while self.faults.values.hang:
                await self.changed.wait()
            state, _ = step(self.state, monotonic())
            self.update(state)
        self.task = None


def _raise_failure(task: Task[Any]) -> None:
    if not task.cancelled():
        task.result()
