"""Whole entries, queue keepers and endpoints that name limits, in virtual time.

The entries are the real ones; only sockets, the store and the endpoints are simulated.
"""

from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import AsyncIterator, Iterable
from logging import ERROR, getLogger
from random import Random, seed
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from h11 import Request as HttpRequest
from msgspec.json import encode

from clementinebend_admission.retry_window import RetryLimits
from clementinebend_platform.http_protocol import PlatformProtocol
from clementinebend_platform.records import PlatformRecords
from clementinebend_platform_client.keyed_log import KeyedRecord, StoreFailure
from clementinebend_platform_client.store_paths import StorePaths
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.interfaces import Logs
from clementinebend_relay.messages import Message, QueueMessage
from clementinebend_relay.process import RelayProcess
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.settings import RelaySettings
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpFailure, OpenAnswer
from clementinebend_transport.http_types import Request, Response

STORE = Address("10.0.0.1", 80)
HOST = "desk.example"
MAX_DELAY = 0.003
WORK_SECONDS = 0.1
EVENTS = 4
PRIORITIES = 2
CALL_MS = 5_000


class NoLog:
    """A log of the store that nobody can reach."""

    async def append(self, records: object, expected_end: int | None) -> StoreFailure:
        """Fail, as nothing was done."""
        return StoreFailure(False, "none")

    async def read(self, offset: int, wait: float) -> StoreFailure:
        """Fail, as nothing was read."""
        return StoreFailure(False, "none")

    async def newest(self, *arguments: object) -> StoreFailure:
        """Fail, as nothing was read."""
        return StoreFailure(False, "none")


class LimitedEndpoint:
    """An endpoint that may name a limit in its answers, and what reached it."""

    def __init__(self, world: "LimitWorld", name: str, address: Address) -> None:
        self.world = world
        self.name = name
        self.address = address
        self.limit: float | None = None
        self.named_at: float | None = None
        self.arrivals: list[float] = []

    def record(self) -> bytes:
        """Return its announcement."""
        return encode(
            {
                "service": "pool",
                "address": f"{self.address.host}:{self.address.port}",
                "zone": "a",
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
            }
        )

    async def answer(self, request: HttpRequest) -> OpenAnswer:
        """Answer a request after a while of work."""
        world = self.world
        self.arrivals.append(world.clock())
        await sleep(WORK_SECONDS * world.random.uniform(0.5, 1.5))
        sent = {name.decode(): value.decode() for name, value in request.headers}
        headers = {
            "x-request-id": sent["x-request-id"],
            "x-response-signature": self.name,
            "x-instance-id": self.name,
        }
        if self.limit is not None:
            self.named_at = world.clock() if self.named_at is None else self.named_at
            headers["server-limit"] = str(self.limit)
        events = "stream" in request.target.decode()
        chunks = _events() if events else _body()
        return OpenAnswer(200, headers, chunks, lambda: None)


async def _body() -> AsyncIterator[bytes]:
    yield b"whole"


async def _events() -> AsyncIterator[bytes]:
    for number in range(1, EVENTS + 1):
        yield f"id: {number}\ndata: x\n\n".encode()
        await sleep(WORK_SECONDS)


class WorldClient:
    """What an entry sends to endpoints with."""

    def __init__(self, world: "LimitWorld") -> None:
        self.world = world

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        body: bytes,
        timeout: float,
        connect_timeout: float = 1.0,
        **options: Any,
    ) -> Result[OpenAnswer, HttpFailure]:
        """Deliver a request and its answer, each after a short delay."""
        endpoint = self.world.by_address.get(address)
        if endpoint is None:
            return Error(HttpFailure(False, "nobody is there"))
        await sleep(self.world.delay())
        answer = await endpoint.answer(request)
        await sleep(self.world.delay())
        return Ok(answer)

    def close_idle(self, address: Address) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


class WorldSocket:
    """The datagram socket of an entry or a keeper."""

    def __init__(self, world: "LimitWorld", address: Address) -> None:
        self.world = world
        self.address = address

    def send(self, message: Message, address: Address) -> None:
        """Send a message, which may be lost."""
        self.world.deliver(message, self.address, address)

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to several addresses."""
        for address in addresses:
            self.send(message, address)

    def close(self) -> None:
        """Do nothing."""


class CallOutcome(NamedTuple):
    """What a caller got, and after how many seconds."""

    at: float
    team: str
    path: str
    status: int
    retry_after: float | None
    seconds: float


class LimitWorld:
    """Entries, gateways that keep queues, and endpoints of one service."""

    def __init__(
        self,
        entries: int,
        endpoints: int,
        number: int = 1,
        teams: int = 1,
        gateways: bool = True,
    ) -> None:
        getLogger("clementinebend_relay").setLevel(ERROR)
        seed(number)
        self.random = Random(number)
        self.clock = get_running_loop().time
        self.loss = 0.0
        self.datagrams = 0
        self.cut_links: set[tuple[Address, Address]] = set()
        self.receivers: dict[Address, Any] = {}
        self.gateways: dict[str, Announcement] = {}
        self.teams = [f"team-{each}" for each in range(teams)]
        self.endpoints = [
            LimitedEndpoint(self, f"i-{each}", Address(f"10.9.0.{each}", 80))
            for each in range(endpoints)
        ]
        self.by_address = {each.address: each for each in self.endpoints}
        self.announcements = {
            f"edge-{each}": Announcement(f"edge-{each}#1", "z", "10.1.0.1", each)
            for each in range(entries)
        }
        for each in range(endpoints if gateways else 0):
            self.start_keeper(each, 1)
        self.entries = [self._start_entry(name) for name in self.announcements]

    def delay(self) -> float:
        """Return the delay of one packet in seconds."""
        return self.random.uniform(0.0005, MAX_DELAY)

    def deliver(self, message: Message, sender: Address, to: Address) -> None:
        """Deliver a datagram later, unless it is lost or cut off."""
        self.datagrams += 1
        if {(sender, to), (to, sender)} & self.cut_links:
            return
        if self.random.random() < self.loss:
            return
        get_running_loop().call_later(self.delay(), self._receive, message, sender, to)

    def _receive(self, message: Message, sender: Address, to: Address) -> None:
        receiver = self.receivers.get(to)
        if receiver is not None:
            receiver(message, sender)

    def start_keeper(self, number: int, boot: int) -> None:
        """Start a boot of the gateway beside an endpoint, with an empty state."""
        item = Announcement(f"side-{number}#{boot}", "z", f"10.9.0.{number}", 7)
        socket = WorldSocket(self, item.address)
        keeper = QueueKeeper(item.boot, socket.send, self.clock)

        def receive(message: Message, sender: Address) -> None:
            if isinstance(message, QueueMessage):
                keeper.on_message(message, sender)

        self.receivers[item.address] = receive
        self.gateways[f"side-{number}"] = item

    def kill_keeper(self, number: int) -> None:
        """Kill the gateway beside an endpoint."""
        self.receivers.pop(Address(f"10.9.0.{number}", 7), None)

    def restart_entry(self, number: int) -> None:
        """Start an entry anew, which knows nothing."""
        self.entries[number] = self._start_entry(f"edge-{number}")

    def _start_entry(self, name: str) -> RelayProcess:
        address = self.announcements[name].address
        settings = RelaySettings(
            name=name,
            zone="z",
            callers=address,
            ready=address,
            peers=address,
            retries=RetryLimits(0.2, 56, 10.0),
            grace=5.0,
            max_change_delay=2.0,
            max_leaving_delay=2.0,
            max_evacuation_delay=2.0,
            cores=1.0,
        )
        log: Any = NoLog()
        process = RelayProcess(
            settings,
            self.announcements[name].boot,
            PlatformProtocol(),
            PlatformRecords(),
            Logs(log, log, log, log, (log,), log),
            StorePaths(STORE, self.clock),
            lambda address: sleep(0, False),
        )
        client: Any = WorldClient(self)
        process.client = process.dispatcher.client = client
        socket: Any = WorldSocket(self, address)
        process.socket = socket
        self.receivers[address] = process._on_message
        process.configuration.on_record(KeyedRecord(0, "config", self._configuration()))
        for offset, endpoint in enumerate(self.endpoints):
            record = KeyedRecord(offset, endpoint.name, endpoint.record())
            process.endpoints.on_record(record)
        names = frozenset(endpoint.name for endpoint in self.endpoints)
        process.endpoints.on_snapshot(names, len(self.endpoints))
        for other, item in self.announcements.items():
            process.entries.put(other, item)
        for gateway, item in self.gateways.items():
            process.gateways.put(gateway, item)
        process.entries.known.set()
        return process

    def _configuration(self) -> bytes:
        kinds = ("safe", "unsafe", "streaming")
        return encode(
            {
                "version": 1,
                "routes": [
                    {
                        "name": f"{kind}-{priority}",
                        "host": HOST,
                        "path_prefix": f"/{kind}/{priority}/",
                        "kind": kind,
                        "timeout_ms": CALL_MS,
                        "target_latency_ms": 500,
                        "priority": priority,
                        "service": "pool",
                        "max_attempts": 2 if kind == "safe" else 1,
                    }
                    for kind in kinds
                    for priority in range(PRIORITIES)
                ],
                "services": [{"name": "pool", "max_connections": 10_000}],
                "tenants": [{"name": name, "api_keys": [name]} for name in self.teams],
            }
        )

    async def call(self, entry: int, path: str, team: str, number: int) -> CallOutcome:
        """Make a call at an entry and read its answer to the end."""
        at = self.clock()
        headers = {
            "host": HOST,
            "x-request-id": f"r{number}",
            "x-deadline-ms": str(CALL_MS),
            "authorization": f"Bearer {team}",
        }
        if "stream" in path:
            headers["x-token-usage"] = "900,10"
            headers["x-prefix-hash"] = f"s{number % 50}:600,p{number}:300"
        request = Request("POST", path, headers, b"{}")
        response = await self.entries[entry].handler.handle(request)
        seconds = self.clock() - at
        if not isinstance(response.body, bytes):
            async for _ in response.body:
                pass
        return CallOutcome(
            at, team, path, response.status, _retry_after(response), seconds
        )

    async def load(
        self,
        rate: float,
        seconds: float,
        paths: tuple[str, ...] = ("/safe/0/x", "/unsafe/0/x", "/streaming/0/x"),
        teams: tuple[str, ...] = (),
    ) -> list[CallOutcome]:
        """Make calls at random entries for some seconds; return their outcomes."""
        start = self.clock()
        tasks: list[Task[CallOutcome]] = []
        at = 0.0
        while (at := at + self.random.expovariate(rate)) < seconds:
            await sleep(max(0.0, start + at - self.clock()))
            entry = self.random.randrange(len(self.entries))
            team = self.random.choice(teams or self.teams)
            path = self.random.choice(paths)
            call = self.call(entry, path, team, self.random.randrange(10**9))
            tasks.append(create_task(call))
        return await gather(*tasks)


def _retry_after(response: Response) -> float | None:
    value = dict(response.headers).get("retry-after")
    return None if value is None else float(value)
