"""A sidecar process in front of a stand-in, and an entry's side of it."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from json import dumps, loads
from pathlib import Path
from typing import Any, NamedTuple

from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
    digest_of,
)
from clementinebend_records.messages import (
    CacheEvent,
    Hello,
    LoadReport,
    Message,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
    RunRefused,
    RunStart,
    Ticket,
)
from clementinebend_transport.message_stream import MessageStream, connect_messages
from tests.lib.cluster_files import write_yaml
from tests.lib.http_calls import Caller, calling
from tests.lib.processes import (
    LOCALHOST,
    Processes,
    RunningProcess,
    running_processes,
    wait_until,
)

MODEL = "model-1"
QUESTION = "Is a plumber open in Prešov on Sunday?"
HOLDER = Incarnation("entry-1#a")
AMOUNT = 500
CONNECT_TIMEOUT = 10.0


class Entry:
    """One connection to a sidecar; keeps load reports and cache events apart."""

    def __init__(self, stream: MessageStream, hello: Hello) -> None:
        self.stream = stream
        self.hello = hello
        self.reports: list[LoadReport] = []
        self.changes: list[CacheEvent] = []

    async def receive(self) -> Message:
        """Return the next message about a run, or a reply."""
        while True:
            message = await self.stream.receive()
            assert message is not None, "the sidecar closed the connection"
            if isinstance(message, LoadReport):
                self.reports.append(message)
            elif isinstance(message, CacheEvent):
                self.changes.append(message)
            else:
                return message

    async def until_reported(self, leaving: bool) -> LoadReport:
        """Return the next load report that says so."""
        while True:
            message = await self.stream.receive()
            assert message is not None, "the sidecar closed the connection"
            if isinstance(message, LoadReport) and message.leaving == leaving:
                return message

    async def cache_event(self) -> CacheEvent:
        """Return the first cache event."""
        while not self.changes:
            message = await self.stream.receive()
            assert message is not None, "the sidecar closed the connection"
            if isinstance(message, CacheEvent):
                self.changes.append(message)
        return self.changes[0]

    async def outcome(self, run: str) -> "Heard":
        """Return all that comes about one run, up to its end."""
        heard = Heard(run, 0, [], None)
        while not isinstance(heard.end, RunEnd | RunFailed | RunRefused):
            heard = heard.after(await self.receive())
        return heard

    def start(self, run: str, **changes: Any) -> None:
        """Ask for a run."""
        start = run_start(run, self.hello.incarnation)
        self.stream.post(start._replace(**changes))

    async def ask(self, message: Message) -> Message:
        """Send a message and return the reply."""
        self.stream.post(message)
        return await self.receive()


class Heard(NamedTuple):
    """What came about one run."""

    run: str
    status: int
    chunks: list[bytes]
    end: Message | None

    def after(self, message: Message) -> "Heard":
        """Return this with one more message, if it is about the run."""
        if getattr(message, "run", None) != self.run:
            return self
        match message:
            case RunHead(_, status):
                return self._replace(status=status)
            case RunChunk(_, sequence, data):
                assert sequence == len(self.chunks)
                self.chunks.append(data)
            case RunEnd() | RunFailed() | RunRefused():
                return self._replace(end=message)
        return self

    @property
    def body(self) -> bytes:
        """Return the answer."""
        return b"".join(self.chunks)


class Place(NamedTuple):
    """A sidecar, and the endpoint behind it."""

    processes: Processes
    sidecar: RunningProcess
    endpoint: RunningProcess
    operators: Caller
    behind: Caller

    @asynccontextmanager
    async def entry(self) -> AsyncIterator[Entry]:
        """Connect as an entry."""
        async with connected(self.sidecar.port) as entry:
            yield entry


@asynccontextmanager
async def connected(port: int) -> AsyncIterator[Entry]:
    opened = await connect_messages(LOCALHOST, port, CONNECT_TIMEOUT)
    stream = opened.ok
    hello = await stream.receive()
    assert isinstance(hello, Hello)
    stream.post(Hello("entry", "entry-1", HOLDER, "zone-a", SCHEMA_VERSION, 0))
    yield Entry(stream, hello)
    await stream.close()


@asynccontextmanager
async def running_place(
    directory: Path, endpoint: tuple[str, ...], **settings: Any
) -> AsyncIterator[Place]:
    with running_processes(directory) as processes:
        behind = await processes.start_process(endpoint, name="endpoint")
        sidecar, http_port = await start_sidecar(processes, behind.url, **settings)
        async with (
            calling(f"http://{LOCALHOST}:{http_port}") as operators,
            calling(behind.url) as caller,
        ):
            yield Place(processes, sidecar, behind, operators, caller)


async def start_sidecar(
    processes: Processes, endpoint_url: str, **settings: Any
) -> tuple[RunningProcess, int]:
    """Start a sidecar; return it and its operators' port."""
    content = {
        "name": "engine-1",
        "zone": "zone-a",
        "endpoint_url": endpoint_url,
        "drain_timeout_s": 1.0,
        **settings,
    }
    name = f"sidecar-{len(processes.started)}"
    path = write_yaml(processes.directory / f"{name}.yaml", content)
    command: list[str | Path] = ["clementinebend-sidecar", "--settings", path]
    process = processes.spawn(command, name)

    async def printed() -> bool:
        assert process.handle.poll() is None, process.log_text()
        return b"\n" in process.output_path.read_bytes()

    await wait_until(printed, "the sidecar prints its ports")
    ports = loads(process.output_path.read_text().splitlines()[0])
    return process._replace(port=ports["port"]), ports["http_port"]


def engine(*args: str) -> tuple[str, ...]:
    return ("clementinebend-standin-engine", "--model", MODEL, *args)


def chat_body(tokens: int, stream: bool = True) -> bytes:
    content: Mapping[str, Any] = {
        "model": MODEL,
        "messages": [{"role": "user", "content": QUESTION}],
        "target_tokens": tokens,
        "stream": stream,
    }
    return dumps(content).encode()


def run_start(run: str, sidecar: Incarnation, tokens: int = 12) -> RunStart:
    body = chat_body(tokens)
    return RunStart(
        run=RunId(run),
        key=RequestKey(f"team/{run}"),
        body_digest=digest_of(body),
        ticket=Ticket("budget", GrantId("g"), HOLDER, sidecar, AMOUNT),
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=body,
        stream=True,
        idempotent=True,
        priority=0,
        deadline_ms=60_000,
        token_limit=1000,
    )
