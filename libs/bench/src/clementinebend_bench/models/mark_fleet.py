"""Entries of the product, as far as budgets go, in one virtual world.

The product's own code runs: keepers of marks, witnesses, homes and gifts. Only
the store, the datagrams and the callers are modelled.
"""

from asyncio import Task, create_task, get_running_loop
from collections.abc import Iterable

from clementinebend_admission.entry_load import EntryCapacity
from clementinebend_bench.models.mark_store import ModelLog, StoreModel
from clementinebend_records.identifiers import Incarnation
from clementinebend_relay.budgets import MAX_BUDGET_WAIT, Budgets, Reservation
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.interfaces import ConfigurationSteps, InvalidRecord
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.load_monitor import LoadMonitor
from clementinebend_relay.messages import Message
from clementinebend_relay.models import CallerLimits, Configuration, Team
from clementinebend_relay.origin_replicas import OriginReplicas
from clementinebend_relay.peers import Peers
from clementinebend_relay.permit_requests import new_permit_requests
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.receiving import receive
from clementinebend_relay.witness import WitnessServer
from clementinebend_relay.witnesses import Witnesses
from clementinebend_relay.zone_loads import ZoneLoads
from clementinebend_transport.client_connection import Address

DATAGRAM_SECONDS = 0.0005
"""One way between availability zones, by the users' sheet."""

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class NoRecords:
    """Records of a fleet whose entries learn of no endpoint."""

    def configuration(self, value: bytes) -> InvalidRecord:
        """Return that there is none."""
        return InvalidRecord("not modelled")

    def configuration_steps(self, value: bytes) -> ConfigurationSteps:
        """Return that there is none, without yielding."""
        yield from ()
        return self.configuration(value)

    def evacuated_zone(self, key: str) -> None:
        """Return None: evacuations are not modelled."""
        return

    def endpoint(self, name: str, value: bytes) -> InvalidRecord:
        """Return that there is none."""
        return InvalidRecord("not modelled")


class FleetEntry:
    """One boot of an entry."""

    def __init__(self, fleet: "MarkFleet", number: int) -> None:
        clock = get_running_loop().time
        self.fleet = fleet
        self.name = f"entry-{number}"
        self.address = Address(f"10.0.0.{number}", 1)
        self.boot = Incarnation(f"{self.name}#{fleet.next_boot()}")
        self.directory = Directory()
        self.desk = WitnessServer(self.boot, self.send)
        zone = f"zone-{number}"
        self.witnesses = Witnesses(self.boot, zone, self.directory, self.send, clock)
        log = ModelLog(fleet.store)
        self.budgets = Budgets(
            self.boot, (log,), self.witnesses, self.directory.has_successor, clock
        )
        self.peers = Peers(
            self.name,
            self.boot,
            self.directory,
            self.budgets,
            self.send,
            self.send_all,
            clock,
        )
        self.probes = QueueProbes(Directory(), self.directory, self.send, clock)
        self.queues = QueueKeeper(self.boot, self.send, clock)
        self.quarantine = Quarantine(clock)
        self.news = QuarantineSync(
            self.boot,
            self.quarantine,
            self.directory,
            ModelLog(StoreModel(())),
            self.send_all,
            clock,
        )
        cold = ColdEndpoints(self.name, self.directory, clock)
        table = EndpointTable(NoRecords(), cold, clock)
        self.leaving = LeavingNotifier(self.boot, table, self.directory, self.send_all)
        self.permits = new_permit_requests(
            self.boot, table.states, self.probes, self.send, self.send_all, clock
        )
        self.evacuations = Evacuations(
            self.boot,
            NoRecords(),
            self.directory,
            self.send_all,
            table.on_evacuation,
        )
        self.origins = OriginReplicas(
            self.name,
            self.boot,
            zone,
            self.directory,
            Directory(),
            self.send,
            self.send_all,
            clock,
        )
        zone_loads = ZoneLoads(
            self.name, zone, self.directory, self.peers.homes.leaving, clock
        )
        self.load = LoadMonitor(
            self.boot, EntryCapacity(), zone_loads, self.send_all, clock
        )
        self.witnesses.is_needed = self.peers.homes.is_candidate
        self.announcement = Announcement(self.boot, zone, *self.address)
        self.tasks: list[Task[None]] = []

    def start(self, prepaid: dict[str, int]) -> None:
        """Run the entry's own tasks."""
        teams = {name: Team(name, amount, None) for name, amount in prepaid.items()}
        self.budgets.configure(Configuration(1, {}, {}, teams, {}, LIMITS))
        jobs = (
            self.budgets.managers[0].run(),
            self.peers.watch(),
            self.witnesses.run(),
        )
        self.tasks = [create_task(job) for job in jobs]

    def end(self) -> None:
        """Lose all that the entry knows."""
        for task in self.tasks:
            task.cancel()

    def send(self, message: Message, to: Address) -> None:
        """Send a datagram."""
        self.fleet.send(self, message, to)

    def send_all(self, message: Message, to: Iterable[Address]) -> None:
        """Send a datagram to several."""
        for address in to:
            self.send(message, address)

    def receive(self, message: Message, sender: Address) -> None:
        """Take a datagram."""
        receive(
            message,
            sender,
            self.peers,
            self.desk,
            self.witnesses,
            self.probes,
            self.queues,
            self.news,
            self.leaving,
            self.evacuations,
            self.permits,
            self.origins,
            self.load,
        )


class MarkFleet:
    """Some entries; each may be gone for a while."""

    def __init__(self, store: StoreModel, prepaid: dict[str, int]) -> None:
        self.store = store
        self.prepaid = prepaid
        self.entries: dict[int, FleetEntry] = {}
        self.starts = 0

    def next_boot(self) -> int:
        """Return a number that no boot has had; the same in each run."""
        self.starts += 1
        return self.starts

    def start(self, number: int) -> None:
        """Start an entry, which all others learn of."""
        entry = self.entries[number] = FleetEntry(self, number)
        for other in self.entries.values():
            self._introduce(entry, other)
            self._introduce(other, entry)
        entry.start(self.prepaid)

    def end(self, number: int) -> None:
        """End an entry without notice."""
        self.entries.pop(number).end()

    def send(self, sender: FleetEntry, message: Message, to: Address) -> None:
        """Deliver a datagram after its way, to whoever is there then."""
        loop = get_running_loop()
        loop.call_later(DATAGRAM_SECONDS, self._deliver, sender.address, message, to)

    async def reserve(self, number: int, team: str, amount: int) -> Reservation | None:
        """Reserve at an entry for one call; none if it refuses."""
        entry = self.entries[number]
        customer = Team(team, self.prepaid[team], None)
        budgets = entry.budgets
        outcome = await budgets.reserve(
            customer, amount, budgets.wait_seconds(), MAX_BUDGET_WAIT
        )
        return outcome if isinstance(outcome, Reservation) else None

    async def deliver(self, number: int, reservation: Reservation) -> bool:
        """Return true: the tokens were reserved on admission."""
        return True

    def settle(self, number: int, reservation: Reservation, cost: int) -> None:
        """Settle a call at its entry."""
        self.entries[number].budgets.settle(reservation, cost)

    def _deliver(self, sender: Address, message: Message, to: Address) -> None:
        for entry in self.entries.values():
            if entry.address == to:
                entry.receive(message, sender)

    def _introduce(self, entry: FleetEntry, to: FleetEntry) -> None:
        to.directory.put(entry.name, entry.announcement)
