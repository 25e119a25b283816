"""Whole entries before endpoints of two versions, and clients that resume streams.

The entries are the real ones, in virtual time. Clients resume their streams at
other entries, naming the request that brought the first event.
"""

from asyncio import Event, Queue, create_task, gather, sleep, timeout
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any, NamedTuple

from msgspec.json import decode, encode

from clementinebend_relay.discovery import Announcement
from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_types import Request
from tests.lib.streams_seen import StreamRecord, StreamSeen
from tests.unit.relay.crash_endpoints import CrashingEndpoint, Work
from tests.unit.relay.crash_world import HOST, TEAM, CrashWorld

VERSIONS = ("v1", "v1.1")
EVENTS = 8
EVENT_PAUSE = 0.3
FIRST_EVENT_PAUSE = 0.02
STREAM_SECONDS = 12.0
"""Longest time in seconds that a client reads one stream, over all its tries."""

IN_TOUCH_SECONDS = 3.0
"""Seconds that an entry must have run to count as in touch."""

MAX_TRIES = 4
RETRY_SECONDS = 0.05
GAP_SECONDS = 2.0
"""Longest wait in seconds for the next event of a stream."""

START_SECONDS = 0.5
"""Seconds over which the streams of one play are begun."""

NEVER = -1e9


class Attempt(NamedTuple):
    """What one attempt of a client has brought."""

    status: int | None
    data: bytes
    is_complete: bool


class VersionWorld(CrashWorld):
    """Entries before endpoints of two versions, in turn.

    ``event_delays`` holds how long each attempt waited for its first event, in seconds,
    by whether it resumed a stream.
    """

    def __init__(
        self,
        entries: int,
        endpoints: int = 8,
        number: int = 1,
        loss: float = 0.0,
        versions: tuple[str, ...] = VERSIONS,
    ) -> None:
        self.versions = versions
        self.killed: set[int] = set()
        self.started_at: dict[int, float] = {}
        self.event_delays: dict[bool, list[float]] = {False: [], True: []}
        self.streams = count(1)
        self.is_any_running = Event()
        self.is_any_running.set()
        super().__init__(entries, endpoints, number, loss=loss)
        self.work = Work(
            events=EVENTS, pause=EVENT_PAUSE, first_pause=FIRST_EVENT_PAUSE
        )

    def version_at(self, address: Address) -> str:
        """Return the version of the software of endpoints that start at an address."""
        number = int(address.host.rpartition(".")[2])
        return self.versions[number % len(self.versions)]

    def configuration(self) -> bytes:
        """Return the routes, with time for a whole stream and for a second one."""
        document: Any = decode(super().configuration())
        for each in document["routes"]:
            each["timeout_ms"] = STREAM_SECONDS * 1000
        return encode(document)

    def kill_entry(self, number: int) -> None:
        """Kill an entry, with its calls."""
        self.killed.add(number)
        name = f"edge-{number}"
        self.entries[number].socket = None
        self.receivers.pop(self.announcements[name].address, None)
        for task in self.entry_tasks.pop(name, ()):
            task.cancel()
        if not self.running_entries():
            self.is_any_running.clear()

    def bring_back(self, number: int) -> None:
        """Start a killed entry anew, as another boot, of which all learn."""
        name = f"edge-{number}"
        address = self.announcements[name].address
        item = Announcement(f"{name}#{next(self.boots)}", "z", *address)
        self.announcements[name] = item
        self.entries[number] = self.start_entry(name)
        self.killed.discard(number)
        self.started_at[number] = self.clock()
        self.is_any_running.set()
        for process in self.entries:
            process.entries.put(name, item)

    def running_entries(self) -> list[int]:
        """Return the numbers of the entries that run."""
        return [each for each in range(len(self.entries)) if each not in self.killed]

    def serving(self, version: str) -> list[CrashingEndpoint]:
        """Return the endpoints of a version that run."""
        return [each for each in self.alive() if each.version == version]

    async def stream(self, entry: int, names_origin: bool = True) -> StreamSeen:
        """Read a stream to its end over several tries, the first one at ``entry``.

        A stream that is refused when it is resumed is begun anew by the next try.
        """
        number = next(self.streams)
        session = f"a{number:x}:60,b{number:x}:40"
        body = f"stream {number}".encode()
        deadline = self.clock() + STREAM_SECONDS
        record = StreamRecord()
        for each in range(MAX_TRIES):
            request_id = f"s{number}-{each}"
            headers = {"x-prefix-hash": session, **record.headers(names_origin)}
            is_judged = bool(record.version) and self._is_judged(entry, record.version)
            request = _request(request_id, headers, body, deadline - self.clock())
            attempt = await self._attempt(entry, request)
            status, data = attempt.status, attempt.data
            record.add(request_id, is_judged, status, data, status not in (None, 200))
            if attempt.is_complete or self.clock() >= deadline:
                break
            await sleep(RETRY_SECONDS)
            await self.is_any_running.wait()
            entry = self.random.choice(self.running_entries())
        return record.seen(EVENTS)

    def _is_judged(self, entry: int, version: str) -> bool:
        """Return whether the rule on lost streams counts a try at an entry."""
        age = self.clock() - self.started_at.get(entry, NEVER)
        is_in_touch = entry not in self.killed and age >= IN_TOUCH_SECONDS
        return is_in_touch and len(self.serving(version)) > 1

    async def _attempt(self, entry: int, request: Request) -> Attempt:
        if entry in self.killed:
            return Attempt(None, b"", False)
        pieces: Queue[int | bytes | None] = Queue()
        task = create_task(self._serve(entry, request, pieces))
        tasks = self.entry_tasks[f"edge-{entry}"]
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda _: pieces.put_nowait(None))
        status, data, began = None, b"", self.clock()
        try:
            while True:
                async with timeout(GAP_SECONDS):
                    piece = await pieces.get()
                if piece is None:
                    break
                if isinstance(piece, int):
                    status = piece
                    continue
                if not data:
                    delays = self.event_delays["last-event-id" in request.headers]
                    delays.append(self.clock() - began)
                data += piece
        except TimeoutError:
            task.cancel()
        is_complete = task.done() and not task.cancelled() and task.result()
        return Attempt(status, data, is_complete and status == 200)

    async def _serve(
        self, entry: int, request: Request, pieces: "Queue[int | bytes | None]"
    ) -> bool:
        """Serve one request; return whether its answer is whole."""
        response = await self.entries[entry].handler.handle(request)
        pieces.put_nowait(response.status)
        if isinstance(response.body, bytes):
            return True
        try:
            async for piece in response.body:
                pieces.put_nowait(piece)
        except AnswerCutError:
            return False
        return True


def _request(
    request_id: str, headers: dict[str, str], body: bytes, time_left: float
) -> Request:
    sent = {
        "host": HOST,
        "x-request-id": request_id,
        "x-deadline-ms": str(int(time_left * 1000)),
        "authorization": f"Bearer {TEAM}",
        "x-token-usage": "100,24",
        **headers,
    }
    return Request("POST", "/stream/x", sent, body)


class Disturbance(NamedTuple):
    """What happens while streams run; times are in seconds.

    ``killed`` is how many entries are killed at once, ``back_after`` when they are back
    (never, if None), and ``second_after`` when as many others are killed then. With
    ``ends`` an endpoint of each version ends, too.
    """

    killed: int = 0
    back_after: float | None = None
    second_after: float | None = None
    ends: bool = True


async def play(
    world: VersionWorld,
    disturbance: Disturbance,
    streams: int,
    at: float = 0.8,
    stream_of: Callable[[int], Any] | None = None,
) -> list[StreamSeen]:
    """Run streams at all entries in turn, with a disturbance ``at`` some seconds."""
    read = stream_of or world.stream
    tasks = [
        create_task(
            _later(each * START_SECONDS / streams, read, each % len(world.entries))
        )
        for each in range(streams)
    ]
    await sleep(at)
    if disturbance.ends:
        for version in world.versions:
            world.random.choice(world.serving(version)).end()
    groups = _groups(world, disturbance.killed)
    await _kill(world, next(groups), disturbance)
    if disturbance.second_after is not None:
        await sleep(disturbance.second_after)
        await _kill(world, next(groups), disturbance)
    seen: list[StreamSeen] = list(await gather(*tasks))
    await world.stop()
    return seen


def _groups(world: VersionWorld, size: int) -> Iterator[list[int]]:
    """Yield disjoint groups of entries, drawn at random."""
    numbers = world.running_entries()
    world.random.shuffle(numbers)
    while True:
        yield numbers[:size]
        numbers = numbers[size:]


async def _kill(
    world: VersionWorld, numbers: list[int], disturbance: Disturbance
) -> None:
    for number in numbers:
        world.kill_entry(number)
    if disturbance.back_after is not None and numbers:
        await sleep(disturbance.back_after)
        for number in numbers:
            world.bring_back(number)


async def _later(pause: float, read: Callable[[int], Any], entry: int) -> StreamSeen:
    await sleep(pause)
    seen: StreamSeen = await read(entry)
    return seen
