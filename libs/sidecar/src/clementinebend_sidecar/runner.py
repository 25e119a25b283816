"""Runs on the endpoint: one task for each, which owns its upstream answer."""

from asyncio import FIRST_COMPLETED, Event, Task, create_task, gather, wait
from collections.abc import Callable
from typing import Protocol

from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import RunStart
from clementinebend_sidecar.gate.events import Broken, HeadArrived, RunOver, Verdict
from clementinebend_sidecar.gate.events import Event as GateEvent

STOP_SECONDS = 2.0
"""How long a cancelled run's answer may take to end by itself."""

CANCELLED = "the run was cancelled"

Tell = Callable[[GateEvent], None]


class Endpoint(Protocol):
    """A back end that executes runs.

    Without ``can_cancel`` a run that nobody waits for goes on to its end, since
    cutting it off would only leave its outcome unknown.
    """

    can_cancel: bool

    async def execute(self, start: RunStart, tell: Tell, stop: Event) -> Verdict:
        """Execute a run once; tell its head and pieces, return its verdict.

        ``stop`` is set when the run is being cancelled.
        """
        ...

    async def cancel(self, run: RunId) -> int | None:
        """Cancel a run; return the tokens it took, None if that is not told."""
        ...


class RunTasks:
    """All runs that execute, each in a task of its own."""

    def __init__(self, endpoint: Endpoint, tell: Tell) -> None:
        self.endpoint = endpoint
        self.tell = tell
        self.stops: dict[RunId, Event] = {}
        self.began: set[RunId] = set()
        self.tasks: set[Task[None]] = set()

    def start(self, start: RunStart) -> None:
        """Begin a run."""
        stop = self.stops[start.run] = Event()
        task = create_task(self.run(start, stop), name=f"run {start.run}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        watch(task, stop_process)

    def stop(self, run: RunId) -> None:
        """Cancel a run, if it still executes and its endpoint can do that."""
        stop = self.stops.get(run)
        if stop is not None and self.endpoint.can_cancel:
            stop.set()

    async def run(self, start: RunStart, stop: Event) -> None:
        """Execute a run and tell how it ended."""
        verdict = await self.execute(start, stop)
        del self.stops[start.run]
        self.began.discard(start.run)
        self.tell(RunOver(start.run, verdict))

    def progress(self, event: GateEvent) -> None:
        """Pass on what a run told, and note that it began."""
        if isinstance(event, HeadArrived):
            self.began.add(event.run)
        self.tell(event)

    async def execute(self, start: RunStart, stop: Event) -> Verdict:
        """Execute a run, or cancel it when told to."""
        executing = create_task(self.endpoint.execute(start, self.progress, stop))
        stopping = create_task(stop.wait())
        await wait((executing, stopping), return_when=FIRST_COMPLETED)
        stopping.cancel()
        if executing.done():
            return await self.with_usage(start.run, executing.result())
        return await self.cancel(start.run, executing)

    async def cancel(self, run: RunId, executing: Task[Verdict]) -> Verdict:
        """Cancel a run at the endpoint and let its answer end by itself."""
        usage = await self.endpoint.cancel(run)
        await wait((executing,), timeout=STOP_SECONDS)
        if not executing.done():
            executing.cancel()
            await gather(executing, return_exceptions=True)
            return _told(Broken(CANCELLED, None, certain=run in self.began), usage)
        verdict = executing.result()
        if isinstance(verdict, Broken) and verdict.usage is None:
            return _told(verdict, usage)
        return verdict

    async def with_usage(self, run: RunId, verdict: Verdict) -> Verdict:
        """Ask the endpoint what an answer that is not whole has cost."""
        if not isinstance(verdict, Broken) or verdict.usage is not None:
            return verdict
        return _told(verdict, await self.endpoint.cancel(run))


def _told(verdict: Broken, usage: int | None) -> Broken:
    """Return the verdict with the usage; one that is told proves that it ran."""
    certain = verdict.certain or usage is not None
    return verdict._replace(usage=usage, certain=certain)
