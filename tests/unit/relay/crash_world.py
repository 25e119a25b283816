"""Whole entries before endpoints that end, in virtual time.

The entries are the real ones; sockets, the store and the endpoints are simulated. An
endpoint that has ended is back as a new boot, at the same address, a second later.
"""

from asyncio import Event, Task, create_task, gather, get_running_loop, sleep, timeout
from collections.abc import Coroutine
from contextlib import suppress
from itertools import count
from typing import Any, NamedTuple

from msgspec.json import decode, encode

from clementinebend_bench.models.mark_store import ModelLog, StoreModel
from clementinebend_platform.http_protocol import PlatformProtocol
from clementinebend_platform_client.keyed_log import (
    Appended,
    Conflict,
    KeyedRecord,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.fingerprints import fingerprint_of
from clementinebend_relay.interfaces import Logs
from clementinebend_relay.models import Endpoint, Rejection
from clementinebend_relay.process import RelayProcess
from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import AnswerCutError
from clementinebend_transport.http_types import Request
from tests.unit.relay.crash_endpoints import CrashClient, CrashingEndpoint, Work
from tests.unit.relay.entry_world import MAX_DELAY, EntryWorld, NoLog, retry_after_of

HOST = "desk.example"
TEAM = "desk"
BACK_SECONDS = 1.0
READ_DELAY = 0.4
"""Greatest delay in seconds until an entry knows of a new boot: it reads announcements
in batches."""

TIMEOUT_MS = 4_000
SERVED = "whole"
CUT = "cut"
LATE = "cut at its time limit"
LATE_PROBLEM = "the time limit has passed"
LOST = "entry ended"


class WaitingLog(ModelLog):
    """A partition whose reads wait for new records, and that counts its appends."""

    def __init__(self, store: StoreModel, world: "CrashWorld") -> None:
        super().__init__(store)
        self.world = world

    async def append(
        self, records: tuple[tuple[str, bytes], ...], expected_end: int | None
    ) -> Appended | Conflict | StoreFailure:
        """Append records and wake those that wait for them."""
        self.world.appends += 1
        outcome = await super().append(records, expected_end)
        self.world.appended.set()
        self.world.appended.clear()
        return outcome

    async def read(
        self, offset: int, wait: float
    ) -> Page | RecordsDropped | StoreFailure:
        """Read records; wait for some if there are none."""
        if offset >= len(self.store.records) and not self.store.is_away():
            with suppress(TimeoutError):
                async with timeout(wait):
                    await self.world.appended.wait()
        return await super().read(offset, wait)


class Ended(NamedTuple):
    """An endpoint that ended, when, and under which request's body, if any."""

    at: float
    name: str
    cause: bytes | None


class CallResult(NamedTuple):
    """What a caller got for a request with ``body``, sent ``at`` some time.

    ``result`` is ``SERVED``, ``CUT``, ``LATE`` or why the call was rejected;
    ``seconds`` is how long the head of the answer took.
    """

    at: float
    body: bytes
    status: int
    result: str
    retry_after: float | None
    seconds: float


class CrashWorld(EntryWorld):
    """Entries, their store, and endpoints of one service that may end.

    ``works`` says what endpoints do for the requests with some bodies, ``work`` for all
    others. With ``gateways`` each endpoint has a gateway beside it that keeps its
    queue; otherwise entries keep the queues.
    """

    def __init__(
        self,
        entries: int,
        endpoints: int = 9,
        number: int = 1,
        gateways: bool = True,
        loss: float = 0.0,
        max_delay: float = MAX_DELAY,
    ) -> None:
        super().__init__(entries, number)
        self.loss = loss
        self.max_delay = max_delay
        self.store = StoreModel(())
        self.appends = 0
        self.appended = Event()
        self.work = Work()
        self.works: dict[bytes, Work] = {}
        self.names = count(1)
        self.numbers = count(1)
        self.boots = count(2)
        self.offsets = count(endpoints)
        self.endpoints: list[CrashingEndpoint] = []
        self.by_address: dict[Address, CrashingEndpoint] = {}
        self.ends: list[Ended] = []
        self.tasks: set[Task[Any]] = set()
        self.entry_tasks: dict[str, set[Task[Any]]] = {}
        for each in range(endpoints):
            self._start_endpoint(Address(f"10.9.0.{each}", 80))
            if gateways:
                self.start_keeper(each, 1)
        self.start_entries()

    def logs(self) -> Logs:
        """Return the store, of which only quarantines can be reached."""
        none: Any = NoLog()
        log: Any = WaitingLog(self.store, self)
        return Logs(none, none, none, none, (none,), log)

    def new_client(self) -> Any:
        """Return what an entry sends to endpoints with."""
        return CrashClient(self._listening_at, self.delay)

    def endpoint_records(self) -> list[tuple[str, bytes]]:
        """Return the names and announcements of the endpoints that run."""
        return [(each.name, each.record()) for each in self.alive()]

    def configuration(self) -> bytes:
        """Return the routes of the functional tests, all to one service."""
        return encode(
            {
                "version": 1,
                "routes": [
                    _route("safe", "safe", 2, False),
                    _route("once", "unsafe", 1, False),
                    _route("stream", "streaming", 2, True),
                    _route("stream-once", "streaming", 1, False),
                ],
                "services": [
                    {"name": "pool", "max_connections": 10_000, "engine": {"stride": 3}}
                ],
                "tenants": [{"name": TEAM, "api_keys": [TEAM]}],
            }
        )

    def start_entry(self, name: str) -> RelayProcess:
        """Start an entry, and those of its tasks that handle quarantines."""
        process = super().start_entry(name)
        process.dispatcher.ends.is_refused = self._is_refused
        reader = process.readers[-1]
        tasks = (create_task(process.sync.records.run()), create_task(reader.run()))
        self.entry_tasks[name] = set(tasks)
        return process

    def restart_entry(self, number: int) -> None:
        """Kill an entry, with its calls, and start it anew; all learn of it."""
        name = f"edge-{number}"
        self.entries[number].socket = None
        for task in self.entry_tasks.pop(name):
            task.cancel()
        item = Announcement(f"{name}#{next(self.boots)}", "z", "10.1.0.1", number)
        self.announcements[name] = item
        self.entries[number] = self.start_entry(name)
        for process in self.entries:
            process.entries.put(name, item)

    def add_entry(self) -> None:
        """Start another entry, of which all learn."""
        number = len(self.entries)
        name = f"edge-{number}"
        item = Announcement(f"{name}#1", "z", "10.1.0.1", number)
        self.announcements[name] = item
        self.entries.append(self.start_entry(name))
        for process in self.entries:
            process.entries.put(name, item)

    def version_at(self, address: Address) -> str:
        """Return the version of the software of endpoints that start at an address."""
        return "v1"

    def alive(self) -> list[CrashingEndpoint]:
        """Return the endpoints that run."""
        return [each for each in self.endpoints if not each.ended.is_set()]

    def work_of(self, body: bytes) -> Work:
        """Return what endpoints do for a request."""
        return self.works.get(body, self.work)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined at any entry."""
        return any(
            process.sync.quarantine.refusal(fingerprint) is not None
            for process in self.entries
        )

    def fingerprint(self, path: str, body: bytes) -> str:
        """Return the fingerprint of a request."""
        call = PlatformProtocol().read_call(_request(path, body, "r", None))
        assert not isinstance(call, Rejection)
        return fingerprint_of(call, TEAM)

    def start(self, job: Coroutine[Any, Any, None]) -> Task[None]:
        """Run a job of the world until ``stop``."""
        task = create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def start_call(
        self, entry: int, path: str, body: bytes, session: str | None
    ) -> Task[CallResult]:
        """Make a call at an entry, which ends with the entry."""
        task = create_task(self.call(entry, path, body, session))
        tasks = self.entry_tasks[f"edge-{entry}"]
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    async def call(
        self, entry: int, path: str, body: bytes, session: str | None
    ) -> CallResult:
        """Make a call at an entry and read its answer to the end."""
        at = self.clock()
        request = _request(path, body, f"r{next(self.numbers)}", session)
        response = await self.entries[entry].handler.handle(request)
        seconds = self.clock() - at
        result = SERVED
        if isinstance(response.body, bytes):
            if response.status != 200:
                result = _reason(response.body)
        else:
            try:
                async for _ in response.body:
                    pass
            except AnswerCutError as error:
                result = LATE if str(error) == LATE_PROBLEM else CUT
        retry_after = retry_after_of(response)
        return CallResult(at, body, response.status, result, retry_after, seconds)

    async def stop(self) -> None:
        """End all that still runs."""
        tasks = self.tasks.union(*self.entry_tasks.values())
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def _listening_at(self, address: Address) -> CrashingEndpoint | None:
        endpoint = self.by_address[address]
        return None if endpoint.ended.is_set() else endpoint

    async def _is_refused(self, endpoint: Endpoint) -> bool:
        await sleep(self.delay())
        return self._listening_at(endpoint.address) is None

    def _start_endpoint(self, address: Address) -> CrashingEndpoint:
        name = f"i-{next(self.names)}"
        endpoint = CrashingEndpoint(
            name,
            address,
            self.clock,
            self.work_of,
            self.start,
            self._on_end,
            self.version_at(address),
        )
        self.endpoints.append(endpoint)
        self.by_address[address] = endpoint
        return endpoint

    def _on_end(self, endpoint: CrashingEndpoint, cause: bytes | None) -> None:
        self.ends.append(Ended(self.clock(), endpoint.name, cause))
        self.start(self._come_back(endpoint.address))

    async def _come_back(self, address: Address) -> None:
        await sleep(BACK_SECONDS)
        endpoint = self._start_endpoint(address)
        record = KeyedRecord(next(self.offsets), endpoint.name, endpoint.record())
        for process in self.entries:
            pause = self.random.uniform(0.0, READ_DELAY)
            table = process.endpoints
            get_running_loop().call_later(pause, table.on_record, record)


def _route(prefix: str, kind: str, attempts: int, is_resumable: bool) -> Any:
    return {
        "name": prefix,
        "host": HOST,
        "path_prefix": f"/{prefix}/",
        "kind": kind,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 500,
        "service": "pool",
        "max_attempts": attempts,
        "resumable": is_resumable,
    }


def _request(path: str, body: bytes, request_id: str, session: str | None) -> Request:
    headers = {
        "host": HOST,
        "x-request-id": request_id,
        "x-deadline-ms": str(TIMEOUT_MS),
        "authorization": f"Bearer {TEAM}",
    }
    if "stream" in path:
        headers["x-token-usage"] = "100,24"
    if session is not None:
        headers["x-prefix-hash"] = session
    return Request("POST", path, headers, body)


def _reason(body: bytes) -> str:
    """Return why a call was rejected, by the body of its answer."""
    named = decode(body)
    if named["reason"] == "overloaded" and "another run" in named["message"]:
        return "suspected"
    return str(named["reason"])
