"""Fake fleet for fuzzing the ledger: entries, sidecars, one log and the network."""

from collections import Counter
from collections.abc import Sequence
from typing import TypeVar

from clementinebend_records.identifiers import (
    Incarnation,
    RunId,
)
from clementinebend_records.records import Batch, HoldResolve, TopUp
from tests.unit.ledger.fuzz_entry import FakeEntry
from tests.unit.ledger.fuzz_oracle import Oracle
from tests.unit.ledger.fuzz_world import FakeLog, FakeSidecar, Network, Start

Item = TypeVar("Item")

statistics: Counter[str] = Counter()


def pick(items: Sequence[Item], index: int) -> Item:
    return items[index % len(items)]


class Fleet:
    """The processes around one ledger stream, and steps of several of them."""

    def __init__(self) -> None:
        self.oracle = Oracle()
        self.log = FakeLog(self.oracle)
        self.network = Network([], [])
        self.entries: list[FakeEntry] = []
        self.sidecars: list[FakeSidecar] = []
        self.name_count = 0
        self.operator_batches = 0

    def name(self, kind: str) -> str:
        self.name_count += 1
        return f"{kind}{self.name_count}"

    def new_entry(self) -> None:
        incarnation = Incarnation(self.name("entry#"))
        entry = FakeEntry(incarnation, self.log)
        self.entries.append(entry)
        self.tick(entry)

    def new_sidecar(self) -> None:
        incarnation = Incarnation(self.name("sidecar#"))
        self.sidecars.append(FakeSidecar(incarnation, self.oracle))

    def append_by_operator(self, record: TopUp | HoldResolve) -> None:
        self.operator_batches += 1
        writer = Incarnation("operator#1")
        self.log.append(Batch(writer, self.operator_batches, (record,)))

    def active_entries(self) -> list[FakeEntry]:
        return [entry for entry in self.entries if entry.alive and not entry.paused]

    def serving_entries(self) -> list[FakeEntry]:
        return [entry for entry in self.active_entries() if not entry.is_stopped]

    def live_sidecars(self) -> list[FakeSidecar]:
        return [sidecar for sidecar in self.sidecars if sidecar.alive]

    def sidecar(self, incarnation: Incarnation) -> FakeSidecar:
        found = (item for item in self.sidecars if item.incarnation == incarnation)
        return next(found)

    def tick(self, entry: FakeEntry) -> None:
        """Have an entry add witnesses, plan, and write and read its whole queue."""
        sidecars = tuple(sidecar.incarnation for sidecar in self.live_sidecars())
        alive = (other for other in self.entries if other.alive and other != entry)
        peers = tuple(other.incarnation for other in alive)
        if not entry.is_stopped:
            entry.widen(sidecars, peers)
        entry.plan(0.5)
        for _ in range(len(entry.queue)):
            entry.write()
            entry.read()

    def write_and_read(self, entry: FakeEntry) -> None:
        """Write and read the queue of an entry, without new witnesses or requests."""
        entry.read()
        for _ in range(len(entry.queue)):
            entry.write()
            entry.read()

    def send_start(self, entry: FakeEntry, start: Start) -> None:
        """Deliver a start to its sidecar, and a refusal to the waiting entry."""
        sidecar = self.sidecar(start.ticket.sidecar)
        if sidecar.alive and not sidecar.start(start):
            entry.refused(start.run)
            self.oracle.refused.add(start.run)

    def send_end(self, entry: FakeEntry, run: RunId) -> None:
        """Deliver the receipt of a run; if its sidecar died, its cost is unknown."""
        ticket = entry.in_flight[run].ticket
        sidecar = self.sidecar(ticket.sidecar)
        if run in sidecar.finished and sidecar.alive:
            entry.ended(run, sidecar.finished[run].amount)
        elif not sidecar.alive:
            entry.ended(run, ticket.amount, held=True)

    def in_flight(self) -> list[tuple[FakeEntry, RunId]]:
        return [
            (entry, run) for entry in self.active_entries() for run in entry.in_flight
        ]

    def closed_and_witness(self, entry: FakeEntry) -> list[tuple[Incarnation, str]]:
        """Return pairs of a closed holder and an open witness, as an entry has read."""
        holders = entry.state.holders.items()
        closed = [(name, item) for name, item in holders if item["closed"]]
        return [
            (name, witness)
            for name, item in closed
            for witness, status in (item["sidecars"] | item["peers"]).items()
            if not status
        ]

    def notify(self, entry: FakeEntry, holder: Incarnation, witness: str) -> None:
        """Send a close notice to a witness and queue its answer."""
        for sidecar in self.sidecars:
            if sidecar.incarnation == witness:
                entry.request_close_ack(holder, sidecar)
        for peer in self.active_entries():
            if peer.incarnation == witness:
                peer.acknowledge_close(holder)
