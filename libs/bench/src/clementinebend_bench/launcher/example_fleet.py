"""The Zlaté Čísla example as real processes on loopback, one entry per zone.

The declarations are those in ``examples/zlate-cisla``, with free ports in place
of theirs, and two additions that the demo shows: a call-back booking, which
may not be repeated, and a team whose budget is too small.
"""

from hashlib import sha256
from json import dumps, loads
from pathlib import Path
from typing import Any

from clementinebend_bench.launcher.fleet_files import (
    EndpointPlace,
    EntryPlace,
    Plan,
    sidecar_settings,
)
from clementinebend_bench.launcher.fleets import LocalFleet
from clementinebend_bench.launcher.processes import (
    LOCALHOST,
    ProcessError,
    Processes,
    free_port,
)
from clementinebend_declarations.documents import load_document
from clementinebend_transport.http_client import Answer, OpenAnswer

ZONES = ("zilina-a", "zilina-b", "bystrica-a", "bystrica-b")
BOOKING_SERVICE = "call-back"
BOOKING_PATH = "/call-back"
BOOKING_COST = 50
SMALL_TEAM = "small-trial"
SMALL_BUDGET_TOKENS = 300
SCHEMA = "2"
STEP_MS = "4"
CALL_TIMEOUT_S = 30.0

Headers = tuple[tuple[str, str], ...]


class ExampleFleet(LocalFleet):
    """The processes of the example, with the demo's two additions."""

    def __init__(self, directory: Path, processes: Processes, examples: Path):
        super().__init__(directory, processes, Plan(ZONES, entries=0, engines=0))
        self.zones = {zone: _entry_place(zone) for zone in ZONES}
        self.entries = {place.name: place for place in self.zones.values()}
        self.document = _with_additions(_load(examples))
        self.endpoints = {
            name: EndpointPlace(
                name, each["zone"], each["service"], free_port(), free_port()
            )
            for name, each in self.document["endpoints"].items()
        }
        for name, place in self.endpoints.items():
            address = {"host": LOCALHOST, "port": place.port}
            self.document["endpoints"][name] |= address

    async def start_endpoint(self, name: str) -> None:
        """Start the engine or plain service behind a sidecar."""
        service = self.document["services"][self.endpoints[name].service]
        if service["kind"] == "plain":
            await self.start_standin("service", name=f"{name}-endpoint")
            return
        args = ("--model", ",".join(service["models"]), "--step-ms", STEP_MS)
        await self.start_standin("engine", *args, name=f"{name}-endpoint")

    async def start_sidecar(self, name: str) -> None:
        """Start the sidecar of an endpoint."""
        place = self.endpoints[name]
        kind = self.document["services"][place.service]["kind"]
        settings = sidecar_settings(place, self.url(f"{name}-endpoint"), self.urls())
        await self.start_member(
            "sidecar", name, place.http_port, settings | {"kind": kind}
        )

    async def publish(self) -> None:
        """Activate the example's schema, then publish its declarations."""
        code, output = await self.operate("activate", SCHEMA)
        if code:
            raise ProcessError(f"activate ended with {code}: {output}")
        await super().publish()

    async def ask(
        self, zone: str, team: str, path: str, content: Any, key: str
    ) -> Answer:
        """Send a request of a team to a zone's entry; return its whole answer."""
        url, headers, body = self._request(zone, team, path, content, key)
        outcome = await self.client.request("POST", url, headers, body, CALL_TIMEOUT_S)
        if outcome.is_error():
            raise ProcessError(f"entry of {zone} gave no answer: {outcome.error}")
        return outcome.ok

    async def open(
        self, zone: str, team: str, path: str, content: Any, key: str
    ) -> OpenAnswer:
        """Send a request of a team; return its answer as it begins."""
        url, headers, body = self._request(zone, team, path, content, key)
        outcome = await self.client.open("POST", url, headers, body, CALL_TIMEOUT_S)
        if outcome.is_error():
            raise ProcessError(f"entry of {zone} gave no answer: {outcome.error}")
        return outcome.ok

    async def get_json(self, url: str) -> Any:
        """Return the JSON at a stand-in's URL."""
        outcome = await self.client.request("GET", url)
        if outcome.is_error():
            raise ProcessError(f"{url} gave no answer: {outcome.error}")
        return loads(outcome.ok.body)

    def _request(
        self, zone: str, team: str, path: str, content: Any, key: str
    ) -> tuple[str, Headers, bytes]:
        headers = (
            ("authorization", f"Bearer {team_key(team)}"),
            ("idempotency-key", key),
        )
        url = self.url(self.zones[zone].name) + path
        return url, headers, dumps(content).encode()

    async def executed_costs(self) -> dict[str, int]:
        """Return the tokens of each run that the endpoints say they executed."""
        costs: dict[str, int] = {}
        for name, place in self.endpoints.items():
            url = f"{self.url(f'{name}-endpoint')}/ran"
            rows = await self.get_json(url)
            if place.service == BOOKING_SERVICE:
                runs = (run for row in rows for run in row["runs"])
                costs |= dict.fromkeys(runs, BOOKING_COST)
            else:
                costs |= {row["run"]: row["total_tokens"] for row in rows}
        return costs


def team_key(team: str) -> str:
    """Return the demo key of a team."""
    return f"demo-key-{team}"


def _entry_place(zone: str) -> EntryPlace:
    return EntryPlace(f"entry-{zone}", zone, free_port(), free_port())


def _load(examples: Path) -> dict[str, Any]:
    loaded = load_document(examples / "zlate-cisla" / "declarations")
    if loaded.is_error():
        raise ProcessError(f"the example cannot be read: {loaded.error}")
    return loaded.ok


def _with_additions(document: dict[str, Any]) -> dict[str, Any]:
    """Add the booking service, open to each team, and the small team."""
    document["services"][BOOKING_SERVICE] = {
        "kind": "plain",
        "path": BOOKING_PATH,
        "cost": BOOKING_COST,
    }
    document["endpoints"]["call-back-1"] = {
        "service": BOOKING_SERVICE,
        "zone": ZONES[0],
    }
    for budget in document["budgets"].values():
        budget["services"] = [*budget["services"], BOOKING_SERVICE]
    digest = sha256(team_key(SMALL_TEAM).encode()).hexdigest()
    document["teams"][SMALL_TEAM] = {"key_digests": [digest]}
    document["budgets"][SMALL_TEAM] = {
        "team": SMALL_TEAM,
        "services": ["shared"],
        "top_ups": [{"id": SMALL_TEAM, "tokens": SMALL_BUDGET_TOKENS}],
    }
    return document
