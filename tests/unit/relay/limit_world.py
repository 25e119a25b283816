"""Whole entries, queue keepers and endpoints that name limits, in virtual time.

The entries are the real ones; only sockets, the store and the endpoints are simulated.
"""

from asyncio import Task, create_task, gather, sleep
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from h11 import Request as HttpRequest
from msgspec.json import encode

from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpFailure, OpenAnswer
from clementinebend_transport.http_types import Request
from tests.unit.relay.entry_world import EntryWorld, retry_after_of

HOST = "desk.example"
WORK_SECONDS = 0.1
EVENTS = 4
PRIORITIES = 2
CALL_MS = 5_000


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


class CallOutcome(NamedTuple):
    """What a caller got, and after how many seconds."""

    at: float
    team: str
    path: str
    status: int
    retry_after: float | None
    seconds: float


class LimitWorld(EntryWorld):
    """Entries, gateways that keep queues, and endpoints of one service."""

    def __init__(
        self,
        entries: int,
        endpoints: int,
        number: int = 1,
        teams: int = 1,
        gateways: bool = True,
    ) -> None:
        super().__init__(entries, number)
        self.teams = [f"team-{each}" for each in range(teams)]
        self.endpoints = [
            LimitedEndpoint(self, f"i-{each}", Address(f"10.9.0.{each}", 80))
            for each in range(endpoints)
        ]
        self.by_address = {each.address: each for each in self.endpoints}
        for each in range(endpoints if gateways else 0):
            self.start_keeper(each, 1)
        self.start_entries()

    def restart_entry(self, number: int) -> None:
        """Start an entry anew, which knows nothing."""
        self.entries[number] = self.start_entry(f"edge-{number}")

    def new_client(self) -> Any:
        """Return what an entry sends to endpoints with."""
        return WorldClient(self)

    def endpoint_records(self) -> list[tuple[str, bytes]]:
        """Return the names and announcements of the endpoints."""
        return [(endpoint.name, endpoint.record()) for endpoint in self.endpoints]

    def configuration(self) -> bytes:
        """Return a configuration with routes of all kinds and priorities."""
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
            at, team, path, response.status, retry_after_of(response), seconds
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
