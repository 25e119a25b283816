"""The connection to one sidecar.

Runs that are open on the link get their messages through queues; when the
connection ends each of them gets ``LinkLost``. All else goes to the pool.
"""

from asyncio import Queue
from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple

from clementinebend_entry.message_link import MakeHello, MessageLink
from clementinebend_entry.run_events import LinkLost, RunEvent
from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import (
    CacheEvent,
    CloseReply,
    Hello,
    LoadReport,
    Message,
    RunAccepted,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
)

SILENCE_S = 10.0
"""A sidecar reports its load each second; after this time it is out of reach."""


class Address(NamedTuple):
    """Where a sidecar listens for entries."""

    endpoint: str
    host: str
    port: int


class LinkUp(NamedTuple):
    """The process called ``name`` can be reached, and is this one."""

    name: str
    hello: Hello


class LinkDown(NamedTuple):
    """The process called ``name`` cannot be reached."""

    name: str


LinkNews = LinkUp | LinkDown | LoadReport | CacheEvent | CloseReply
Tell = Callable[[LinkNews], None]


class SidecarLink(MessageLink):
    """Connects to one sidecar and tells its runs and the pool what it says.

    ``on_idle`` is called once the last run has ended.
    """

    def __init__(self, address: Address, hello: MakeHello, tell: Tell) -> None:
        super().__init__(*address, hello, SILENCE_S)
        self.address = address
        self.tell = tell
        self.runs: dict[RunId, Queue[RunEvent]] = {}
        self.on_idle: Callable[[], None] | None = None

    def greeted(self, hello: Hello) -> None:
        """Take the sidecar's ``Hello``."""
        super().greeted(hello)
        self.tell(LinkUp(self.name, hello))

    def lose(self) -> None:
        """Tell everyone that the connection has ended."""
        super().lose()
        for events in self.runs.values():
            events.put_nowait(LinkLost())
        self.tell(LinkDown(self.name))

    def open_run(self, run: RunId) -> "Queue[RunEvent]":
        """Return the queue of a run's messages, ``LinkLost`` first if down."""
        events: Queue[RunEvent] = Queue()
        self.runs[run] = events
        if self.stream is None:
            events.put_nowait(LinkLost())
        return events

    def close_run(self, run: RunId) -> None:
        """Take no more messages of a run."""
        self.runs.pop(run, None)
        if not self.runs and self.on_idle is not None:
            self.on_idle()

    def take(self, message: Message) -> None:
        """Take one message; those that are not for an entry have no effect."""
        super().take(message)
        _take(message, self)


@singledispatch
def _take(message: Any, link: SidecarLink) -> None:
    return None


@_take.register(LoadReport)
@_take.register(CacheEvent)
@_take.register(CloseReply)
def _(message: LoadReport | CacheEvent | CloseReply, link: SidecarLink) -> None:
    link.tell(message)


@_take.register(RunAccepted)
@_take.register(RunRefused)
@_take.register(RunHead)
@_take.register(RunChunk)
@_take.register(RunEnd)
@_take.register(RunFailed)
def _(
    message: RunAccepted | RunRefused | RunHead | RunChunk | RunEnd | RunFailed,
    link: SidecarLink,
) -> None:
    events = link.runs.get(message.run)
    if events is not None:
        events.put_nowait(message)
