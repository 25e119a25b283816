"""One real entry or sidecar among members that only talk, and what it uses."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Iterable, Mapping
from itertools import count
from json import dumps, loads
from pathlib import Path
from typing import Any, NamedTuple

from msgspec.json import decode, encode

from clementinebend_bench.launcher.figures import cpu_seconds, resident_bytes
from clementinebend_bench.launcher.fleet_files import write_yaml
from clementinebend_bench.launcher.meter import ByteMeter, metered
from clementinebend_bench.launcher.processes import (
    LOCALHOST,
    ProcessError,
    Processes,
    RunningProcess,
    free_port,
    wait_until,
)
from clementinebend_bench.programs.members import (
    Members,
    Ports,
    peer_name,
    sidecar_name,
    zone_of,
)
from clementinebend_bench.slopes.documents import document_of, model_name
from clementinebend_bench.slopes.drivers import LogDriver
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_transport.http_client import HttpClient

MEMBERS_PROGRAM = ("python", "-m", "clementinebend_bench.programs.members")
SETTLING_SECONDS = 2.0
WINDOW_SECONDS = 5.0
BUDGETS = 20
OK = 200

_numbers = count(1)


class RigPlan(NamedTuple):
    """The sizes of what surrounds the process that is measured.

    ``links`` are sidecars for an entry, entries for a sidecar. Rates are in
    changes and bills a second.
    """

    role: str = "entry"
    links: int = 0
    peers: int = 0
    budgets: int = BUDGETS
    hosts: int = 0
    changes: float = 0.0
    bills: float = 0.0


class Used(NamedTuple):
    """What a process used: shares of a core, bytes, and rates a second."""

    cpu: float
    resident: int
    log_bytes: float
    hosts_bytes: float
    link_bytes: float
    peer_bytes: float
    appends: float


class Rig:
    """The processes of one plan; ``subject`` is the one that is measured."""

    def __init__(self, processes: Processes, client: HttpClient, plan: RigPlan):
        self.processes = processes
        self.client = client
        self.plan = plan
        self.name = f"rig-{next(_numbers)}"
        self.meters: dict[str, list[ByteMeter]] = {
            kind: [] for kind in ("log", "hosts", "links", "peers")
        }
        self.tasks: list[Task[None]] = []
        self.log: RunningProcess
        self.subject: RunningProcess
        self.driver: LogDriver

    async def start(self) -> None:
        """Start everything and wait until the subject is ready."""
        self.log = await self.start_standin("log")
        await (self.start_entry() if self.plan.role == "entry" else self.start_engine())
        await wait_until(self.is_ready, f"{self.name} is ready")
        if self.plan.changes:
            job = self.driver.publish_forever(self.plan.changes)
            self.tasks.append(create_task(job))
        if self.plan.bills:
            self.tasks.append(create_task(self.driver.bill_forever(self.plan.bills)))

    async def start_entry(self) -> None:
        """Start an entry among sidecars and peers."""
        plan = self.plan
        port, peer_port = free_port(), free_port()
        inbound = await self.meter("peers", peer_port)
        ports = await self.start_members(
            Members(plan.links, plan.peers, entry_port=inbound)
        )
        sidecars = [await self.meter("links", each) for each in ports.sidecars]
        peers = [await self.meter("peers", each) for each in ports.peers]
        zones = [zone_of(number) for number in range(plan.links)]
        await self.declare(document_of(plan.budgets, sidecars, zones))
        hosts = await self.start_hosts() if plan.hosts else ""
        settings = {
            "name": "entry-1",
            "zone": zone_of(0),
            "log_url": await self.metered_url("log", self.log),
            "hosts_url": hosts,
            "port": port,
            "peer_port": peer_port,
            "peers": [_peer(number, each) for number, each in enumerate(peers)],
            "subset_size": max(1, plan.links),
        }
        self.subject = await self.start_program("entry", settings, port)

    async def start_engine(self) -> None:
        """Start a sidecar before an engine, and entries that link to it."""
        port, http_port = free_port(), free_port()
        engine = await self.start_standin("engine", "--model", model_name(0))
        await self.declare(document_of(self.plan.budgets, [port], [zone_of(0)]))
        settings = {
            "name": sidecar_name(0),
            "zone": zone_of(0),
            "log_url": await self.metered_url("log", self.log),
            "endpoint_url": engine.url,
            "port": port,
            "http_port": http_port,
        }
        self.subject = await self.start_program("sidecar", settings, http_port)
        inbound = await self.meter("links", port)
        await self.start_members(Members(entries=self.plan.links, sidecar_port=inbound))

    async def start_standin(self, kind: str, *args: str) -> RunningProcess:
        """Start a stand-in on a free port."""
        command = [f"clementinebend-standin-{kind}", *args]
        return await self.processes.start_process(command, name=f"{self.name}-{kind}")

    async def start_program(
        self, kind: str, settings: Mapping[str, Any], port: int
    ) -> RunningProcess:
        """Start the program that is measured."""
        path = write_yaml(self.processes.directory / f"{self.name}.yaml", settings)
        command: list[str | Path] = [f"clementinebend-{kind}", "--settings", path]
        ready = f"http://{LOCALHOST}:{port}/healthz"
        return await self.processes.start_process(command, ready, f"{self.name}-{kind}")

    async def start_members(self, members: Members) -> Ports:
        """Start the members, if there are any, and return their ports."""
        if not members.sidecars + members.peers + members.entries:
            return Ports((), ())
        command = [*MEMBERS_PROGRAM, encode(members).decode()]
        process = self.processes.spawn(command, f"{self.name}-members")

        async def printed() -> bool:
            if process.handle.poll() is not None:
                raise ProcessError(f"{process.name} ended:\n{process.log_text()}")
            return b"\n" in process.output_path.read_bytes()

        await wait_until(printed, f"{process.name} prints its ports")
        return decode(process.output_path.read_bytes(), type=Ports)

    async def start_hosts(self) -> str:
        """Start the platform's list of hosts and return its metered URL."""
        process = await self.start_standin("hosts")
        listed = {"hosts": [_host(number) for number in range(self.plan.hosts)]}
        url = f"{process.url}/hosts"
        await self.client.request("PUT", url, body=dumps(listed).encode())
        return await self.metered_url("hosts", process)

    async def declare(self, document: dict[str, Any]) -> None:
        """Put declarations and top-ups on the log."""
        client = http_log_client(self.log.url, self.client, "driver")
        self.driver = LogDriver(client, document)
        await self.driver.declare()

    async def meter(self, kind: str, target: int) -> int:
        """Return the port of a new meter before ``target``."""
        meter = await metered(target)
        self.meters[kind].append(meter)
        return meter.port

    async def metered_url(self, kind: str, process: RunningProcess) -> str:
        """Return the URL of a meter before a process."""
        return f"http://{LOCALHOST}:{await self.meter(kind, process.port)}"

    async def is_ready(self) -> bool:
        """Return whether the subject says that it is ready."""
        outcome = await self.client.request("GET", f"{self.subject.url}/readyz")
        return outcome.is_ok() and outcome.ok.status == OK

    async def appends(self) -> int:
        """Return how often the subject has appended to the log."""
        outcome = await self.client.request("GET", f"{self.log.url}/stats")
        counted: int = loads(outcome.ok.body).get("appends", 0)
        return counted - self.driver.appends

    async def window(self) -> Used:
        """Measure the subject for some seconds."""
        before = (cpu_seconds(self.subject.pid), await self.appends(), self.bytes())
        await sleep(WINDOW_SECONDS)
        after = (cpu_seconds(self.subject.pid), await self.appends(), self.bytes())
        rates = {
            kind: (after[2][kind] - before[2][kind]) / WINDOW_SECONDS
            for kind in self.meters
        }
        return Used(
            (after[0] - before[0]) / WINDOW_SECONDS,
            resident_bytes(self.subject.pid),
            rates["log"],
            rates["hosts"],
            rates["links"],
            rates["peers"],
            (after[1] - before[1]) / WINDOW_SECONDS,
        )

    def bytes(self) -> dict[str, int]:
        """Return the bytes that passed so far, by what they were for."""
        return {
            kind: sum(meter.total for meter in meters)
            for kind, meters in self.meters.items()
        }

    def close(self) -> None:
        """Stop writing and measuring; the processes are their owner's."""
        for task in self.tasks:
            task.cancel()
        for meter in (meter for meters in self.meters.values() for meter in meters):
            meter.close()


async def measure_wave(directory: Path, plans: Iterable[RigPlan]) -> list[Used]:
    """Run several rigs at one time and return what each subject used."""
    client = HttpClient()
    processes = Processes(directory)
    rigs = [Rig(processes, client, plan) for plan in plans]
    try:
        await gather(*(rig.start() for rig in rigs))
        await sleep(SETTLING_SECONDS)
        return await gather(*(rig.window() for rig in rigs))
    finally:
        for rig in rigs:
            rig.close()
        processes.stop_all()
        await client.close()


def _peer(number: int, port: int) -> dict[str, Any]:
    zone = zone_of(number + 1)
    name = peer_name(number)
    return {"name": name, "zone": zone, "host": LOCALHOST, "port": port}


def _host(number: int) -> dict[str, str]:
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:7400"
    name, zone = f"host-{number:05}", zone_of(number)
    return {"name": name, "address": address, "zone": zone, "state": "live"}
