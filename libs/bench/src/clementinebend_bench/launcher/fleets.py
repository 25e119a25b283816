"""A whole fleet of real processes on loopback."""

from asyncio import gather
from collections.abc import AsyncIterator, Collection, Mapping
from contextlib import asynccontextmanager
from json import dumps
from pathlib import Path
from typing import Any

from clementinebend_bench.launcher.fleet_files import (
    MODEL,
    MODEL_SERVICE,
    Plan,
    declarations,
    endpoint_places,
    entry_places,
    entry_settings,
    host_list,
    sidecar_settings,
    write_yaml,
)
from clementinebend_bench.launcher.processes import (
    LOCALHOST,
    ProcessError,
    Processes,
    RunningProcess,
    run_to_end,
    running_processes,
    wait_until,
)
from clementinebend_transport.http_client import HttpClient

OPERATOR = "jana"
DEFAULT_PLAN = Plan()
OK = 200


class LocalFleet:
    """The processes of one fleet; ``running`` names each that was started.

    The endpoint behind the sidecar ``engine-1`` is ``engine-1-endpoint``.
    """

    def __init__(self, directory: Path, processes: Processes, plan: Plan):
        self.directory = directory
        self.processes = processes
        self.plan = plan
        self.client = HttpClient()
        self.running: dict[str, RunningProcess] = {}
        self.entries = {place.name: place for place in entry_places(plan)}
        self.endpoints = {place.name: place for place in endpoint_places(plan)}
        self.document = declarations(plan, tuple(self.endpoints.values()))

    async def start(self) -> None:
        """Start everything, publish the declarations, wait until it serves."""
        await gather(self.start_standin("log"), self.start_standin("hosts"))
        await self.list_hosts()
        await gather(*map(self.start_endpoint, self.endpoints))
        await gather(*map(self.start_sidecar, self.endpoints))
        await gather(*map(self.start_entry, self.entries))
        await self.publish()
        await self.until_serving(self.entries)

    async def start_standin(self, kind: str, *args: str, name: str = "") -> None:
        """Start a stand-in on a free port."""
        command = [f"clementinebend-standin-{kind}", *args]
        name = name or kind
        self.running[name] = await self.processes.start_process(command, name=name)

    async def start_endpoint(self, name: str) -> None:
        """Start the engine or plain service behind a sidecar."""
        place = self.endpoints[name]
        if place.service == MODEL_SERVICE:
            args = ("--model", MODEL, *self.plan.engine_args)
            await self.start_standin("engine", *args, name=f"{name}-endpoint")
        else:
            await self.start_standin("service", name=f"{name}-endpoint")

    async def start_sidecar(self, name: str) -> None:
        """Start the sidecar of an endpoint, again after its death if need be."""
        place = self.endpoints[name]
        settings = sidecar_settings(place, self.url(f"{name}-endpoint"), self.urls())
        settings |= self.plan.sidecar_settings
        await self.start_member("sidecar", name, place.http_port, settings)

    async def start_entry(self, name: str) -> None:
        """Start an entry, again after its death if need be."""
        place = self.entries[name]
        peers = tuple(self.entries.values())
        settings = entry_settings(place, peers, self.urls())
        settings |= self.plan.entry_settings
        await self.start_member("entry", name, place.port, settings)

    async def start_member(
        self, kind: str, name: str, port: int, settings: Mapping[str, Any]
    ) -> None:
        """Start a process of the fleet with its settings in a file."""
        path = write_yaml(self.directory / f"{name}.yaml", settings)
        self.running[name] = await self.processes.start_process(
            [f"clementinebend-{kind}", "--settings", path],
            f"http://{LOCALHOST}:{port}/healthz",
            name,
        )

    async def list_hosts(self) -> None:
        """Set the platform's list to all places, live.

        Raises ``ProcessError`` if the list is refused.
        """
        hosts = host_list(tuple(self.entries.values()), tuple(self.endpoints.values()))
        url = f"{self.url('hosts')}/hosts"
        outcome = await self.client.request("PUT", url, body=dumps(hosts).encode())
        if outcome.is_error() or outcome.ok.status != OK:
            raise ProcessError(f"the list of hosts was refused: {outcome}")

    async def publish(self) -> None:
        """Publish ``document`` by the operators' command.

        Raises ``ProcessError`` if it is not accepted.
        """
        path = write_yaml(self.directory / "declarations.yaml", self.document)
        code, output = await self.operate("publish", path)
        if code:
            raise ProcessError(f"publish ended with {code}: {output}")

    async def operate(self, command: str, *args: str | Path) -> tuple[int, str]:
        """Run an operators' command; return its exit code and output."""
        path = write_yaml(self.directory / "operator.yaml", self.operator_settings())
        line = ["clementinebend", command, *args, "--settings", path]
        return await run_to_end(self.processes, line, f"operator-{command}")

    def operator_settings(self) -> dict[str, Any]:
        """Return the settings of the operators' commands."""
        return {
            "log_url": self.url("log"),
            "entries": [self.url(name) for name in self.entries],
            "author": OPERATOR,
        }

    async def until_serving(self, names: Collection[str]) -> None:
        """Wait until these entries or sidecars say that they are ready."""

        async def serving() -> bool:
            answers = [await self.is_ready(name) for name in names]
            return all(answers)

        await wait_until(serving, f"{', '.join(names)} serve")

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry or sidecar says that it is ready."""
        outcome = await self.client.request("GET", f"{self.url(name)}/readyz")
        return outcome.is_ok() and outcome.ok.status == OK

    def url(self, name: str) -> str:
        """Return the base URL of a started process."""
        return self.running[name].url

    def urls(self) -> dict[str, str]:
        """Return the URLs of the platform's services."""
        return {name: self.url(name) for name in ("log", "hosts")}


@asynccontextmanager
async def running_fleet(
    directory: Path, plan: Plan = DEFAULT_PLAN
) -> AsyncIterator[LocalFleet]:
    """Give a fleet that serves; all its processes end with the block."""
    with running_processes(directory) as processes:
        fleet = LocalFleet(directory, processes, plan)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.client.close()
