"""Runs in their tasks: cancels, and what an endpoint tells after them."""

from asyncio import Event, Queue

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import RunStart
from clementinebend_sidecar.gate.events import Broken, RunOver, Verdict, Whole
from clementinebend_sidecar.gate.events import Event as GateEvent
from clementinebend_sidecar.runner import RunTasks, Tell
from tests.unit.sidecar.gates import run_start

CUT_OFF = Broken("cut off", usage=None, certain=True)
UNANSWERED = Broken("no answer", usage=None, certain=False)


class FakeEndpoint:
    """Gives one verdict, at once or after a cancel, and tells one usage."""

    def __init__(self, verdict: Verdict, waits: bool, usage: int | None) -> None:
        self.can_cancel = True
        self.verdict = verdict
        self.waits = waits
        self.usage = usage
        self.cancelled: list[RunId] = []
        self.ended = Event()

    async def execute(self, start: RunStart, tell: Tell, stop: Event) -> Verdict:
        if self.waits:
            await self.ended.wait()
        return self.verdict

    async def cancel(self, run: RunId) -> int | None:
        self.cancelled.append(run)
        self.ended.set()
        return self.usage


async def verdict_of(endpoint: FakeEndpoint, stop: bool = False) -> Verdict:
    events: Queue[GateEvent] = Queue()
    runs = RunTasks(endpoint, events.put_nowait)
    runs.start(run_start("r1"))
    if stop:
        runs.stop(RunId("r1"))
    over = await events.get()
    assert isinstance(over, RunOver)
    assert not runs.stops
    return over.verdict


async def test_a_whole_answer_is_not_cancelled() -> None:
    endpoint = FakeEndpoint(Whole(7, succeeded=True), waits=False, usage=7)
    assert await verdict_of(endpoint) == Whole(7, succeeded=True)
    assert endpoint.cancelled == []


async def test_an_answer_cut_off_is_cancelled_and_its_usage_asked_for() -> None:
    endpoint = FakeEndpoint(CUT_OFF, waits=False, usage=5)
    assert await verdict_of(endpoint) == CUT_OFF._replace(usage=5)
    assert endpoint.cancelled == ["r1"]


async def test_a_told_usage_proves_that_an_unanswered_run_ran() -> None:
    told = FakeEndpoint(UNANSWERED, waits=False, usage=5)
    assert await verdict_of(told) == Broken("no answer", 5, certain=True)
    untold = FakeEndpoint(UNANSWERED, waits=False, usage=None)
    assert await verdict_of(untold) == UNANSWERED


async def test_a_stopped_run_is_cancelled_and_its_own_end_awaited() -> None:
    ended = Broken("the run was cancelled", usage=4, certain=True)
    endpoint = FakeEndpoint(ended, waits=True, usage=9)
    assert await verdict_of(endpoint, stop=True) == ended
    assert endpoint.cancelled == ["r1"]


async def test_a_call_that_cannot_be_cancelled_goes_on_to_its_end() -> None:
    whole = Whole(None, succeeded=True)
    endpoint = FakeEndpoint(whole, waits=True, usage=None)
    endpoint.can_cancel = False
    events: Queue[GateEvent] = Queue()
    runs = RunTasks(endpoint, events.put_nowait)
    runs.start(run_start("r1"))
    runs.stop(RunId("r1"))
    assert not runs.stops[RunId("r1")].is_set()
    endpoint.ended.set()
    assert await events.get() == RunOver(RunId("r1"), whole)
    assert endpoint.cancelled == []
