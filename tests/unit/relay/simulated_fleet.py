"""A simulated fleet: entries, a log that fails and a network that loses datagrams."""

from asyncio import new_event_loop
from collections.abc import Callable
from typing import NamedTuple

from msgspec.msgpack import decode

from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_ledger.quota_transfers import TransferBook
from clementinebend_ledger.quotas import Quota
from clementinebend_platform_client.keyed_log import (
    Appended,
    Conflict,
    KeyedRecord,
    NewestPage,
    Page,
    RecordsDropped,
    StoreFailure,
)
from clementinebend_records.identifiers import (
    Incarnation,
    new_incarnation,
    process_name_of,
)
from clementinebend_relay.budget_peers import NoPeers
from clementinebend_relay.budgets import Budgets, boot_of
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import (
    AttestationMessage,
    FenceMessage,
    Message,
    OpenMessage,
    TransferMessage,
)
from clementinebend_relay.models import CallerLimits, Configuration, Team
from clementinebend_relay.witness import WitnessServer
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address

TEAM = "team"
LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class DelayedAppend(NamedTuple):
    """An append whose answer was lost and that may still be executed."""

    records: tuple[tuple[str, bytes], ...]
    at: int | None


class FakeLog:
    """A keyed log in memory; ``mode`` determines the outcome of the next calls.

    Each call takes ``seconds`` on the test's clock.
    """

    def __init__(
        self,
        records: list[KeyedRecord],
        delayed: list[DelayedAppend],
        clock: Clock | None = None,
    ) -> None:
        self.records = records
        self.delayed = delayed
        self.clock = clock or Clock()
        self.seconds = 0.0
        self.mode = "ok"

    async def append(
        self, records: tuple[tuple[str, bytes], ...], expected_end: int | None
    ) -> Appended | Conflict | StoreFailure:
        self.clock.now += self.seconds
        if self.mode == "down":
            return StoreFailure(False, "down")
        if self.mode == "late":
            self.delayed.append(DelayedAppend(records, expected_end))
            return StoreFailure(True, "no answer")
        outcome = self.execute(records, expected_end)
        return StoreFailure(True, "no answer") if self.mode == "lost" else outcome

    def execute(
        self, records: tuple[tuple[str, bytes], ...], at: int | None
    ) -> Appended | Conflict:
        end = len(self.records)
        if at is not None and at != end:
            return Conflict(end)
        numbered = enumerate(records, end)
        self.records.extend(KeyedRecord(place, *record) for place, record in numbered)
        return Appended(len(self.records))

    async def read(
        self, offset: int, wait: float
    ) -> Page | RecordsDropped | StoreFailure:
        self.clock.now += self.seconds
        if self.mode == "down":
            return StoreFailure(False, "down")
        return Page(tuple(self.records[offset:]), len(self.records), True)

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        if self.mode == "down":
            return StoreFailure(False, "down")
        newest = {record.key: record for record in self.records}
        kept = tuple(sorted(record for record in newest.values() if record.value))
        return NewestPage(kept, len(self.records))


class Sent(NamedTuple):
    """A datagram in flight."""

    message: Message
    to: Address
    sender: Address


class FakeEntry(NoPeers):
    """One boot of an entry; its requests to other entries are dropped.

    Tests transfer tokens with ``hand_over``.
    """

    def __init__(self, fleet: "SimulatedFleet", number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.address = Address(f"10.0.0.{number}", 1)
        self.boot = new_incarnation(f"entry-{number}")
        self.log = FakeLog(fleet.records, fleet.delayed, fleet.clock)
        self.desk = WitnessServer(self.boot, self.send)
        self.witnesses = Witnesses(
            self.boot, f"zone-{number}", fleet.directory, self.send, fleet.clock
        )
        self.budgets = Budgets(
            self.boot,
            (self.log,),
            self.witnesses,
            fleet.directory.has_successor,
            fleet.clock,
        )
        self.transfers = TransferBook()
        self.budgets.attach(self)
        self.is_home = True
        self.outstanding: list[int] = []
        fleet.directory.announcements[f"entry-{number}"] = Announcement(
            self.boot, f"zone-{number}", *self.address
        )

    @property
    def manager(self):  # type: ignore[no-untyped-def]
        return self.budgets.managers[0]

    @property
    def account(self):  # type: ignore[no-untyped-def]
        return self.manager.account(TEAM)

    def home_of(self, part: int) -> str | None:
        return None if self.is_home else "entry-0"

    def send(self, message: Message, to: Address) -> None:
        self.fleet.sent.append(Sent(message, to, self.address))

    def configure(self, prepaid: int) -> None:
        team = Team(TEAM, prepaid, None)
        self.budgets.configure(Configuration(1, {}, {}, {TEAM: team}, {}, LIMITS))

    def receive(self, message: Message, sender: Address) -> None:
        match message:
            case OpenMessage():
                self.desk.on_open(message, sender)
            case FenceMessage():
                self.desk.on_fence(message, sender)
            case AttestationMessage():
                self.witnesses.on_answer(message)
            case TransferMessage():
                if message.to == self.boot:
                    self.take(message)

    def take(self, message: TransferMessage) -> None:
        """Apply the part of a transfer that is new."""
        amount = self.transfers.take(message.boot, message.team, message.transfer)
        spent = self.fleet.spent.get(self.boot, 0)
        self.fleet.spent[self.boot] = spent - amount
        giver = process_name_of(Incarnation(message.boot))
        self.budgets.on_transfer(message.team, amount, giver)

    def call(self, amount: int) -> bool:
        """Reserve for a call, which is then in progress."""
        self.account.record_demand(amount, self.fleet.clock())
        if not self.account.reserve(amount):
            return False
        self.outstanding.append(amount)
        self.fleet.spent[self.boot] = self.fleet.spent.get(self.boot, 0) + amount
        return True

    def finish(self, part: float) -> None:
        """End the oldest call; ``part`` of its reservation was used."""
        amount = self.outstanding.pop(0)
        used = int(amount * part)
        self.fleet.spent[self.boot] -= amount - used
        self.account.settle(amount, used)


class SimulatedFleet:
    """Entries and what they have really spent.

    Calls in progress count with their whole reservation. Transferred tokens count as
    spent by the giver and not by the receiver.
    """

    def __init__(self, entries: int, prepaid: int) -> None:
        self.clock = Clock()
        self.records: list[KeyedRecord] = []
        self.delayed: list[DelayedAppend] = []
        self.directory = Directory()
        self.sent: list[Sent] = []
        self.spent: dict[str, int] = {}
        self.prepaid = prepaid
        self.loop = new_event_loop()
        self.entries = [FakeEntry(self, number) for number in range(entries)]
        for entry in self.entries:
            entry.configure(prepaid)

    def close(self) -> None:
        self.loop.close()

    def total(self) -> int:
        return sum(self.spent.values())

    def quotas(self) -> dict[str, Quota]:
        """Return the newest quota of each boot in the log."""
        newest = {record.key: record.value for record in self.records}
        return {
            boot_of(key.removeprefix(f"{TEAM}/")): decode(value, type=Quota)
            for key, value in newest.items()
            if key.startswith(f"{TEAM}/")
        }

    def over_quotas(self) -> dict[str, int]:
        """Return by how much each boot, dead or alive, exceeds its quota."""
        quotas = self.quotas()
        return {
            boot: used - ceiling
            for boot, used in self.spent.items()
            if used > (ceiling := quotas[boot].ceiling if boot in quotas else 0)
        }

    def commit(self, number: int) -> bool:
        manager = self.entries[number].manager
        return bool(self.loop.run_until_complete(manager.commit()))

    def ping(self) -> None:
        """Let all entries see one another as live witnesses."""
        for entry in self.entries:
            for item in self.directory.announcements.values():
                if item.boot != entry.boot:
                    entry.send(FenceMessage(item.boot, entry.boot, -1), item.address)
        self.deliver()

    def deliver(self, keep: Callable[[Sent], bool] = lambda sent: True) -> None:
        """Deliver all datagrams and the answers to them."""
        while self.sent:
            batch, self.sent = self.sent, []
            for item in filter(keep, batch):
                for entry in self.entries:
                    if entry.address == item.to:
                        entry.receive(item.message, item.sender)

    def execute_delayed(self) -> None:
        """Execute the oldest append whose answer was lost, if it still fits."""
        delayed = self.delayed.pop(0)
        FakeLog(self.records, self.delayed, self.clock).execute(
            delayed.records, delayed.at
        )

    def restart(self, number: int) -> None:
        """Kill an entry and start a new boot of it without any state."""
        entry = FakeEntry(self, number)
        self.entries[number] = entry
        entry.configure(self.prepaid)

    def top_up(self, amount: int, number: int) -> None:
        """Raise the budget; only one entry has learned of it so far."""
        self.prepaid += amount
        self.entries[number].configure(self.prepaid)

    def hand_over(self, giver: int, taker: int, amount: int, arrives: bool) -> None:
        """Let one entry request tokens from another; the answer may get lost."""
        source, target = self.entries[giver], self.entries[taker]
        given = source.budgets.on_request(TEAM, TokenRequest(amount))
        self.spent[source.boot] = self.spent.get(source.boot, 0) + given
        transfer = source.transfers.hand_over(target.boot, TEAM, given)
        if arrives and giver != taker:
            target.receive(
                TransferMessage(
                    source.boot, target.boot, TEAM, transfer, source.is_home
                ),
                source.address,
            )
