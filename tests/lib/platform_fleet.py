"""The real entry programs before stand-ins of store and engines."""

import os
import sys
from asyncio import create_subprocess_exec, open_connection, subprocess
from asyncio.subprocess import Process
from contextlib import suppress
from itertools import count, product
from json import loads
from pathlib import Path
from signal import SIGTERM
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from h11 import Request as HttpRequest
from msgspec.json import encode

from clementinebend_platform.store import probe
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import (
    Answer,
    HttpClient,
    HttpFailure,
    TruncatedAnswer,
)
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_store import StoreStandin
from tests.lib.processes import free_port
from tests.lib.waiting import until

HOST = "desk.example"
KEY = "key-1"
TEAM = "desk"
READY_SECONDS = 15.0
CALL_SECONDS = 5.0
MILLISECONDS = 1000
COLD_SECONDS = 3.0
LOG_TAIL_CHARACTERS = 1_000
BODY = b"{}"

SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
internal_port_range = [{peer_port}, {metrics_port}]
[listen]
front = "127.0.0.1:{port}"
ready_address = "127.0.0.1:{ready_port}"
[limits]
{limits}
[bounds]
config_apply_ms = {change_ms}
drain_ms = 2000
grace_s = {grace}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
cold_overage = 1.5
cold_slack = 5
[platform]
address = "127.0.0.1:{store_port}"
"""


LIMITS: dict[str, float] = {"memory_mb": 300, "link_mbps": 1000.0}
"""The ``limits`` of the settings file, unless a test names others."""


def route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": prefix,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


ROUTES = (
    route("/safe/", "safe", "desk"),
    route("/once/", "unsafe", "desk", max_attempts=1),
    route("/stream/", "streaming", "pool", resumable=True),
    route("/stream-once/", "streaming", "pool", max_attempts=1),
    route("/brief/", "safe", "desk", timeout_ms=300),
)


def limit_lines(limits: dict[str, float | None]) -> str:
    """Return ``LIMITS``, overridden by ``limits``, as lines of a settings file.

    A limit of None is left out.
    """
    return "\n".join(
        f"{name} = {value}"
        for name, value in {**LIMITS, **limits}.items()
        if value is not None
    )


class Entry(NamedTuple):
    """One running entry program."""

    name: str
    port: int
    ready_port: int
    metrics_port: int
    process: Process
    output: Path

    def state(self) -> str:
        """Return its exit code, None while it runs, and the end of its log."""
        log = self.output.read_text(errors="replace")
        return f"exit code {self.process.returncode}, {log[-LOG_TAIL_CHARACTERS:]}"

    def lines(self) -> list[dict[str, Any]]:
        """Return what the program has logged, but for a line that it is writing."""
        written = self.output.read_text()
        whole = written[: written.rfind("\n") + 1]
        return [loads(line) for line in whole.splitlines()]


class Fleet:
    """Store, engines and entries; tests change all of them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.client = HttpClient()
        self.entries: list[Entry] = []
        self.programs: list[Process] = []
        self.engines: list[EngineStandin] = []
        self.version = 0
        self.cold_per_s = 0.0
        self.idle_timeout_ms: int | None = None
        self.more_services: tuple[str, ...] = ()
        self.more_teams: dict[str, int | None] = {}
        self.ids = count(1)
        self.launches = count(1)

    async def start(
        self,
        entries: int = 1,
        engines: int = 2,
        prepaid: int = 1_000_000,
        zones: tuple[str, ...] = ("a",),
    ) -> None:
        """Start all and wait until the entries are ready.

        Starts ``engines`` engines of each service in each of ``zones``.
        """
        await self.store.start()
        self.configure(prepaid)
        for service, zone in product(("pool", "desk"), zones):
            for _ in range(engines):
                await self.add_engine(service, zone)
        for number in range(entries):
            await self.add_entry(f"edge-{number}", f"z{number}")

    async def stop(self) -> None:
        """Kill all programs that still run, also those that others have replaced."""
        await self.client.close()
        for program in self.programs:
            with suppress(ProcessLookupError):
                program.kill()
            await program.wait()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    def configure(
        self, prepaid: int, routes: tuple[dict[str, Any], ...] = ROUTES
    ) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        idle = self.idle_timeout_ms
        document = {
            "version": self.version,
            **({} if idle is None else {"limits": {"idle_timeout_ms": idle}}),
            "routes": list(routes),
            "services": [
                {
                    "name": "pool",
                    "max_connections": 100,
                    "engine": {"stride": 3},
                    "cold_s": COLD_SECONDS,
                    "cold_per_s": self.cold_per_s,
                },
                {"name": "desk", "max_connections": 100},
                *(
                    {"name": name, "max_connections": 100}
                    for name in self.more_services
                ),
            ],
            "tenants": [
                {"name": TEAM, "api_keys": [KEY], "prepaid": prepaid},
                *(
                    {"name": name, "api_keys": [f"key-{name}"], "prepaid": prepaid}
                    | ({} if priority is None else {"priority": priority})
                    for name, priority in self.more_teams.items()
                ),
            ],
        }
        self.store.put("op", "config", encode(document))

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone, as an operator does."""
        self.store.put("op", f"evacuate/{zone}", b"{}")

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone by a tombstone."""
        self.store.put("op", f"evacuate/{zone}", b"")

    async def add_engine(
        self, service: str, zone: str = "a", version: str = "v1"
    ) -> EngineStandin:
        """Start an engine of a version of its software, and announce it."""
        engine = EngineStandin(service, zone, version)
        await engine.start()
        self.engines.append(engine)
        self.store.put("servers", engine.name, engine.entry())
        return engine

    async def add_entry(
        self,
        name: str,
        zone: str,
        grace: float = 5.0,
        store: int | None = None,
        change_within: float = 2.0,
        **limits: float | None,
    ) -> Entry:
        """Start an entry and wait until it is ready.

        ``store`` is the port at which it finds the store; a change must be in force
        there ``change_within`` some seconds. ``limits`` overrides ``LIMITS``:
        ``link_mbps``, ``memory_mb``, ``max_fds``; None leaves one out.
        """
        ports = [free_port() for _ in range(4)]
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                port=ports[0],
                ready_port=ports[1],
                peer_port=ports[2],
                metrics_port=ports[3],
                store_port=store or self.store.port,
                grace=grace,
                change_ms=round(change_within * MILLISECONDS),
                limits=limit_lines(limits),
            )
        )
        entry = await self._launch(name, settings, ports)
        self.entries.append(entry)
        try:
            await until(lambda: self.is_ready(entry), READY_SECONDS)
        except TimeoutError as error:
            raise TimeoutError(f"{name} is not ready: {entry.state()}") from error
        return entry

    async def restart_entry(self, number: int) -> None:
        """Start an entry that has ended anew, at its addresses."""
        old = self.entries[number]
        ports = [old.port, old.ready_port, 0, old.metrics_port]
        settings = self.folder / f"{old.name}.toml"
        self.entries[number] = await self._launch(old.name, settings, ports)

    async def add_gateway(self, name: str) -> Entry:
        """Start a gateway; its port is the one for entries."""
        ports = [free_port()] * 4
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone="z0",
                port=ports[0],
                ready_port=ports[0],
                peer_port=ports[0],
                metrics_port=ports[0],
                store_port=self.store.port,
                grace=5.0,
                change_ms=2000,
                limits=limit_lines({}),
            )
        )
        gateway = await self._launch(name, settings, ports, "gateway")
        self.entries.append(gateway)
        return gateway

    async def _launch(
        self, name: str, settings: Path, ports: list[int], *program: str
    ) -> Entry:
        output = self.folder / f"{name}-{next(self.launches)}.log"
        with output.open("wb") as file:
            process = await create_subprocess_exec(
                sys.executable,
                "-m",
                "clementinebend_platform",
                *program,
                env={**os.environ, "CLEMENTINEBEND_SETTINGS": str(settings)},
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self.programs.append(process)
        return Entry(name, ports[0], ports[1], ports[3], process, output)

    async def is_ready(self, entry: Entry) -> bool:
        """Ask as the balancer does."""
        url = f"http://127.0.0.1:{entry.ready_port}/clementinebend/readyz"
        answer = await self.client.request("GET", url, timeout=1.0)
        return answer.is_ok() and answer.ok.status == 200

    async def is_bound(self, entry: Entry) -> bool:
        """Tell whether callers can connect."""
        try:
            _, writer = await open_connection("127.0.0.1", entry.port)
        except OSError:
            return False
        writer.close()
        return True

    async def reaches_store(self, gateway: Entry) -> bool:
        """Tell whether the store answers by way of a gateway."""
        store = Address("127.0.0.1", gateway.port)
        return await probe(store, self.client)

    def engines_of(self, service: str) -> list[EngineStandin]:
        """Return the engines of a service."""
        return [engine for engine in self.engines if engine.service == service]

    def runs(self, request_id: str) -> int:
        """Return how often engines ran a request."""
        return sum(engine.runs[request_id] for engine in self.engines)

    async def call(
        self,
        path: str,
        entry: int = 0,
        tokens: tuple[int, int] = (100, 24),
        body: bytes = BODY,
        **headers: str,
    ) -> Result[Answer, HttpFailure]:
        """Send a request as a client does."""
        request_id = headers.pop("request_id", f"r{next(self.ids)}")
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = {
            "x-request-id": request_id,
            "x-deadline-ms": "3000",
            "authorization": f"Bearer {KEY}",
            **named,
        }
        if "stream" in path:
            sent.setdefault("x-token-usage", f"{tokens[0]},{tokens[1]}")
            parts = f"aa:{tokens[0] // 2},bb:{tokens[0] // 2}"
            sent.setdefault("x-prefix-hash", parts)
        pairs = {"host": HOST, "content-length": str(len(body)), **sent}
        request = HttpRequest(method="POST", target=path, headers=[*pairs.items()])
        address = Address("127.0.0.1", self.entries[entry].port)
        opened = await self.client.send(address, request, body, CALL_SECONDS)
        if opened.is_error():
            return Error(opened.error)
        answer = opened.ok
        try:
            whole = b"".join([piece async for piece in answer.chunks])
        except TruncatedAnswer as error:
            return Error(HttpFailure(True, str(error)))
        return Ok(Answer(answer.status, answer.headers, whole))

    async def terminate(self, entry: int) -> int:
        """Stop an entry as planned; return its exit code."""
        process = self.entries[entry].process
        process.send_signal(SIGTERM)
        return await process.wait()

    async def run_operator_command(self, module: str, *args: str) -> str:
        """Run an operators' command with the first entry's settings.

        Returns its standard output.
        """
        settings = self.folder / f"{self.entries[0].name}.toml"
        process = await create_subprocess_exec(
            sys.executable,
            "-m",
            f"clementinebend_platform.{module}",
            *args,
            env={**os.environ, "CLEMENTINEBEND_SETTINGS": str(settings)},
            stdout=subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert process.returncode == 0
        return output.decode()
