"""Runs one entry in this process with scripted sidecars."""

from asyncio import Event, Task, create_task, gather, wait_for
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from clementinebend_declarations.models import Configuration, Endpoint
from clementinebend_entry.fleet import Fleet
from clementinebend_entry.handler import Handler
from clementinebend_entry.lookup import directory_of
from clementinebend_entry.settings import EntrySettings
from clementinebend_ledger.replay import BudgetSummary, budget_summary
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_records.codec import SCHEMA_VERSION, encode_batch
from clementinebend_records.identifiers import Incarnation, new_incarnation
from clementinebend_records.messages import (
    Hello,
    Message,
    Receipt,
    ReceiptsLogged,
    RunAccepted,
    RunAttach,
    RunCancel,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
    RunStart,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_records.records import Batch, TopUp
from clementinebend_standins.apps.log import log_handler
from clementinebend_transport.http_server import Request, Response, serve_http
from clementinebend_transport.message_stream import MessageStream, serve_messages
from tests.unit.entry.builders import DECLARATIONS

ZONE = "zone-a"
BUDGET = "desk-2026"
TIMEOUT_S = 30.0
"""Only a failing test reaches this timeout."""

Send = Callable[[Message], None]
Act = Callable[[RunStart, Send], None]
Attach = Callable[[RunAttach, Send], None]


def receipt_of(start: RunStart, amount: int, succeeded: bool = True) -> Receipt:
    """Return the receipt of a run."""
    ticket = start.ticket
    return Receipt(
        start.key,
        start.run,
        ticket.budget,
        ticket.grant,
        ticket.holder,
        ticket.sidecar.partition("#")[0],
        amount,
        succeeded,
    )


def whole(start: RunStart, send: Send, body: bytes = b"{}", amount: int = 5) -> None:
    """Answer with one whole body."""
    kind = "text/event-stream" if start.stream else "application/json"
    send(RunAccepted(start.run, start.run))
    send(RunHead(start.run, 200, kind))
    send(RunChunk(start.run, 0, body))
    send(RunEnd(start.run, 1, receipt_of(start, amount)))


def refuse(reason: NotRunReason) -> Act:
    """Refuse each run."""
    return lambda start, send: send(RunRefused(start.run, reason, 700))


def fail(start: RunStart, send: Send) -> None:
    """Fail each run after it started, at a known cost."""
    send(RunAccepted(start.run, start.run))
    send(RunFailed(start.run, "engine died", receipt_of(start, 3, False)))


def fail_uncertain(start: RunStart, send: Send) -> None:
    """Fail each run without a receipt, so that its outcome is uncertain."""
    send(RunFailed(start.run, "no answer"))


def omit_chunk(start: RunStart, send: Send) -> None:
    """Omit the middle chunk of a stream."""
    send(RunHead(start.run, 200, "text/event-stream"))
    send(RunChunk(start.run, 0, b"data: 1\n\n"))
    send(RunChunk(start.run, 2, b"data: 3\n\ndata: [DONE]\n\n"))
    send(RunEnd(start.run, 3, receipt_of(start, 7)))


def refuse_attachment(attach: RunAttach, send: Send) -> None:
    """Refuse to attach because the key is unknown."""
    send(RunRefused(attach.attachment, NotRunReason.UNKNOWN_KEY, 0))


def accept_only(start: RunStart, send: Send) -> None:
    """Accept each run and send nothing else."""
    send(RunAccepted(start.run, start.run))


class ScriptedSidecar:
    """Runs ``act`` for each run and records the messages that it receives."""

    def __init__(self, name: str, act: Act, zone: str = ZONE) -> None:
        self.name = name
        self.act = act
        self.zone = zone
        self.incarnation = new_incarnation(name)
        self.attach: Attach = refuse_attachment
        self.started: list[RunStart] = []
        self.received_messages: list[Message] = []
        self.streams: set[MessageStream] = set()
        self.changed = Event()

    async def serve(self, stream: MessageStream) -> None:
        """Serve the connection of one entry."""
        stream.post(
            Hello("sidecar", self.name, self.incarnation, self.zone, SCHEMA_VERSION, 1)
        )
        self.streams.add(stream)
        while (message := await stream.receive()) is not None:
            self.received_messages.append(message)
            if isinstance(message, RunStart):
                self.started.append(message)
                self.act(message, stream.post)
            elif isinstance(message, RunAttach):
                self.attach(message, stream.post)
            elif isinstance(message, RunCancel):
                start = next(s for s in self.started if s.run == message.run)
                stream.post(RunFailed(start.run, "cancelled", receipt_of(start, 2)))
            self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a received message makes ``condition`` true."""
        while not condition():
            self.changed.clear()
            await wait_for(self.changed.wait(), TIMEOUT_S)

    async def until_receipts_logged(self) -> None:
        """Wait until the entry reports that receipts are on the log."""
        await self.until(
            lambda: any(
                isinstance(each, ReceiptsLogged) for each in self.received_messages
            )
        )

    async def restart(self, act: Act) -> None:
        """Restart as another incarnation without any state."""
        self.incarnation = new_incarnation(self.name)
        self.act = act
        await self.drop_connections()

    async def drop_connections(self) -> None:
        """Abort all connections."""
        streams, self.streams = self.streams, set()
        for stream in streams:
            stream.channel.abort()


class AlwaysReady(NamedTuple):
    """Readiness of an entry that lacks nothing."""

    def for_calls(self) -> tuple[str, ...]:
        """Return that nothing is missing."""
        return ()

    def for_balancer(self) -> tuple[str, ...]:
        """Return that nothing is missing."""
        return ()


class ScriptedEntry:
    """The components of an entry and its request handler."""

    def __init__(self, fleet: Fleet, handle: Callable[[Request], Awaitable[Response]]):
        self.fleet = fleet
        self.handle = handle

    async def ask(self, request: Request) -> Response:
        """Send one request and return the response."""
        return await wait_for(self.handle(request), TIMEOUT_S)

    def summary(self) -> BudgetSummary:
        """Return the summary of the budget as this entry has replayed it."""
        shard = self.fleet.ledger.shards.of_budget(BUDGET)
        return budget_summary(shard.state, BUDGET)

    async def until_settled(self) -> BudgetSummary:
        """Wait until all runs are billed on the log, then return the summary."""
        await wait_for(self.fleet.ledger.until_settled(), TIMEOUT_S)
        return self.summary()


@asynccontextmanager
async def scripted_entry(
    *sidecars: ScriptedSidecar, service: str = "chat", tokens: int = 1000
) -> AsyncIterator[ScriptedEntry]:
    """Run an entry whose endpoints are these sidecars, all of one service."""
    log = await serve_http(log_handler(), "127.0.0.1", 0)
    servers = [await serve_messages(each.serve, "127.0.0.1", 0) for each in sidecars]
    url = f"http://127.0.0.1:{log.port}"
    fleet = Fleet(
        EntrySettings("entry-1", ZONE, url),
        new_incarnation("entry-1"),
        Event(),
    )
    top_up = Batch(Incarnation("jana#1"), 1, (TopUp(BUDGET, "first", tokens, "jana"),))
    await http_log_client(url, fleet.http).append("ledger-0", encode_batch(top_up))
    endpoints = {
        each.name: Endpoint(service, each.zone, "127.0.0.1", server.port)
        for each, server in zip(sidecars, servers, strict=True)
    }
    declarations = DECLARATIONS._replace(endpoints=endpoints)
    directory = directory_of(Configuration(revision=1, declarations=declarations))
    fleet.on_configuration(directory)
    jobs: list[Task[None]] = [create_task(job) for _, job in fleet.jobs()]
    handler = Handler(fleet.services, lambda: directory, AlwaysReady())
    try:
        await until_usable(fleet, sidecars)
        yield ScriptedEntry(fleet, handler.handle)
    finally:
        for task in (*jobs, *fleet.tasks):
            task.cancel()
        await gather(*jobs, *fleet.tasks, return_exceptions=True)
        for server in servers:
            await server.close()
        await fleet.ledger.close(0.0)
        await fleet.claims.close(0.0)
        await fleet.close()
        await log.close()


async def until_usable(fleet: Fleet, sidecars: tuple[ScriptedSidecar, ...]) -> None:
    """Wait until all sidecars are in the entry's scope."""
    ledger = fleet.ledger
    while not all(ledger.is_witness(BUDGET, each.incarnation) for each in sidecars):
        ledger.changed.clear()
        await wait_for(ledger.changed.wait(), TIMEOUT_S)
