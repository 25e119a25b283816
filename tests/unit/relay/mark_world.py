"""A small world for marks: entries, a log that fails, datagrams that get lost."""

from asyncio import new_event_loop
from collections.abc import Callable
from typing import NamedTuple

from msgspec.msgpack import decode

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_ledger.mark_transfers import TransferBook
from clementinebend_ledger.marks import Mark
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
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.budgets import Budgets, boot_of
from clementinebend_relay.messages import (
    AttestationMessage,
    FenceMessage,
    GiftMessage,
    Message,
    OpenMessage,
)
from clementinebend_relay.models import CallerLimits, Configuration, Team
from clementinebend_relay.neighbours import Alone
from clementinebend_relay.witness import WitnessDesk
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address

TEAM = "team"
LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class Clock:
    """A steady clock that a test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Late(NamedTuple):
    """An append whose answer was lost and that may still be executed."""

    records: tuple[tuple[str, bytes], ...]
    at: int | None


class FakeLog:
    """A keyed log in memory; ``mode`` says how the next calls fare.

    Each call takes ``seconds`` on the test's clock.
    """

    def __init__(
        self,
        records: list[KeyedRecord],
        late: list[Late],
        clock: Clock | None = None,
    ) -> None:
        self.records = records
        self.late = late
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
            self.late.append(Late(records, expected_end))
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
    """A datagram on its way."""

    message: Message
    to: Address
    sender: Address


class FakeEntry(Alone):
    """One boot of an entry; what it would ask of others is lost.

    Tests hand over by ``hand_over``.
    """

    def __init__(self, world: "MarkWorld", number: int) -> None:
        self.world = world
        self.number = number
        self.address = Address(f"10.0.0.{number}", 1)
        self.boot = new_incarnation(f"entry-{number}")
        self.log = FakeLog(world.records, world.late, world.clock)
        self.desk = WitnessDesk(self.boot, self.send)
        self.witnesses = Witnesses(
            self.boot, f"zone-{number}", world.directory, self.send, world.clock
        )
        self.budgets = Budgets(
            self.boot,
            (self.log,),
            self.witnesses,
            world.directory.has_successor,
            world.clock,
        )
        self.transfers = TransferBook()
        self.budgets.attach(self)
        self.is_home = True
        self.outstanding: list[int] = []
        world.directory.announcements[f"entry-{number}"] = Announcement(
            self.boot, f"zone-{number}", *self.address
        )

    @property
    def keeper(self):  # type: ignore[no-untyped-def]
        return self.budgets.keepers[0]

    @property
    def account(self):  # type: ignore[no-untyped-def]
        return self.keeper.account(TEAM)

    def home_of(self, part: int) -> str | None:
        return None if self.is_home else "entry-0"

    def send(self, message: Message, to: Address) -> None:
        self.world.sent.append(Sent(message, to, self.address))

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
            case GiftMessage():
                if message.to == self.boot:
                    self.take(message)

    def take(self, message: GiftMessage) -> None:
        """Take what is new of what another entry says it has handed over."""
        amount = self.transfers.take(message.boot, message.team, message.transfer)
        spent = self.world.spent.get(self.boot, 0)
        self.world.spent[self.boot] = spent - amount
        giver = process_name_of(Incarnation(message.boot))
        self.budgets.on_gift(message.team, amount, giver)

    def call(self, amount: int) -> bool:
        """Reserve for a call; it then is in progress."""
        self.account.demand(amount, self.world.clock())
        if not self.account.reserve(amount):
            return False
        self.outstanding.append(amount)
        self.world.spent[self.boot] = self.world.spent.get(self.boot, 0) + amount
        return True

    def finish(self, part: float) -> None:
        """End the oldest call; ``part`` of what it reserved was used."""
        amount = self.outstanding.pop(0)
        used = int(amount * part)
        self.world.spent[self.boot] -= amount - used
        self.account.settle(amount, used)


class MarkWorld:
    """Entries and what they truly spent; calls in progress count at their most.

    What an entry handed over counts as spent by it, and not by who took it.
    """

    def __init__(self, entries: int, prepaid: int) -> None:
        self.clock = Clock()
        self.records: list[KeyedRecord] = []
        self.late: list[Late] = []
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

    def marks(self) -> dict[str, Mark]:
        """Return the newest mark of each boot in the log."""
        newest = {record.key: record.value for record in self.records}
        return {
            boot_of(key.removeprefix(f"{TEAM}/")): decode(value, type=Mark)
            for key, value in newest.items()
            if key.startswith(f"{TEAM}/")
        }

    def over_marks(self) -> dict[str, int]:
        """Return by how much each boot, dead or alive, is above its mark."""
        marks = self.marks()
        return {
            boot: used - ceiling
            for boot, used in self.spent.items()
            if used > (ceiling := marks[boot].ceiling if boot in marks else 0)
        }

    def commit(self, number: int) -> bool:
        keeper = self.entries[number].keeper
        return bool(self.loop.run_until_complete(keeper.commit()))

    def ping(self) -> None:
        """Let all entries see one another as witnesses."""
        for entry in self.entries:
            for item in self.directory.announcements.values():
                if item.boot != entry.boot:
                    entry.send(FenceMessage(item.boot, entry.boot, -1), item.address)
        self.deliver()

    def deliver(self, keep: Callable[[Sent], bool] = lambda sent: True) -> None:
        """Deliver all datagrams, and the answers to them."""
        while self.sent:
            batch, self.sent = self.sent, []
            for item in filter(keep, batch):
                for entry in self.entries:
                    if entry.address == item.to:
                        entry.receive(item.message, item.sender)

    def land_late(self) -> None:
        """Execute the oldest append whose answer was lost, if it still fits."""
        late = self.late.pop(0)
        FakeLog(self.records, self.late, self.clock).execute(late.records, late.at)

    def restart(self, number: int) -> None:
        """Kill an entry and start it anew; it remembers nothing."""
        entry = FakeEntry(self, number)
        self.entries[number] = entry
        entry.configure(self.prepaid)

    def top_up(self, amount: int, number: int) -> None:
        """Raise the budget; only one entry has learned of it so far."""
        self.prepaid += amount
        self.entries[number].configure(self.prepaid)

    def hand_over(self, giver: int, taker: int, amount: int, arrives: bool) -> None:
        """Let one entry ask another; the answer may get lost."""
        source, target = self.entries[giver], self.entries[taker]
        given = source.budgets.on_ask(TEAM, Wish(amount))
        self.spent[source.boot] = self.spent.get(source.boot, 0) + given
        transfer = source.transfers.hand_over(target.boot, TEAM, given)
        if arrives and giver != taker:
            target.receive(
                GiftMessage(source.boot, target.boot, TEAM, transfer, source.is_home),
                source.address,
            )
