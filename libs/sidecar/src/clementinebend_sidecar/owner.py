"""The task that owns the gate: takes events in one by one, carries out effects."""

from asyncio import Event as Flag
from asyncio import Queue, get_running_loop
from functools import singledispatchmethod
from logging import getLogger
from typing import Protocol

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import RunStart
from clementinebend_sidecar.gate.effects import (
    Count,
    Effect,
    Exit,
    Send,
    StartRun,
    StopRun,
)
from clementinebend_sidecar.gate.events import Disconnected, DrainAsked, Event
from clementinebend_sidecar.gate.reducer import step
from clementinebend_sidecar.gate.state import GateState
from clementinebend_sidecar.metrics import count
from clementinebend_transport.message_stream import MessageStream

logger = getLogger(__name__)


class Runner(Protocol):
    """Executes runs on the endpoint and tells how they go."""

    def start(self, start: RunStart) -> None:
        """Begin a run; its progress and one ``RunOver`` follow as events."""
        ...

    def stop(self, run: RunId) -> None:
        """Cancel a run."""
        ...


class GateOwner:
    """Owns the gate's state; everyone else sends it events."""

    def __init__(self, state: GateState) -> None:
        self.state = state
        self.events: Queue[Event] = Queue()
        self.streams: dict[int, MessageStream] = {}
        self.finished = Flag()
        self.runner: Runner
        self.loop = get_running_loop()

    def tell(self, event: Event) -> None:
        """Hand an event to the task."""
        self.events.put_nowait(event)

    async def run(self) -> None:
        """Take in events for ever."""
        while True:
            self.take(await self.events.get())

    def take(self, event: Event) -> None:
        """Take in one event and carry out what follows from it."""
        was_leaving = self.state.figures["leaving"]
        self.state, effects = step(self.state, event, self.loop.time())
        for effect in effects:
            self.perform(effect)
        if isinstance(event, Disconnected):
            self.streams.pop(event.connection, None)
        if self.state.figures["leaving"] and not was_leaving:
            cause = event.cause if isinstance(event, DrainAsked) else "drain order"
            logger.info("leaving", extra={"cause": cause})

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Carry out one effect."""
        raise TypeError(f"no gate effect: {effect!r}")

    @perform.register
    def _(self, effect: Send) -> None:
        stream = self.streams.get(effect.connection)
        if stream is not None:
            stream.post(effect.message)

    @perform.register
    def _(self, effect: StartRun) -> None:
        self.runner.start(effect.start)

    @perform.register
    def _(self, effect: StopRun) -> None:
        self.runner.stop(effect.run)

    @perform.register
    def _(self, effect: Exit) -> None:
        self.finished.set()

    @perform.register
    def _(self, effect: Count) -> None:
        count(effect)
