"""Other entries: found through the store, heard by datagrams.

Each entry tells the others what it has in flight at each endpoint. A message
lost costs a little balance and nothing else.
"""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import decode, encode

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_platform_client.keyed_log import KeyedLog, KeyedRecord, StoreFailure
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_transport.client_connection import Address

SECONDS_PER_PEER = 0.025
"""Pause between messages for each entry there is: at 4 entries a message in
0.1 s, at 30 still one in 0.75 s, so that their cost to a receiver is bounded."""

LEAST_PAUSE = 0.1
HEARD_SECONDS = 3.0
"""How long a peer's load counts after its last message."""

ANNOUNCE_PAUSE = 0.5
"""Seconds after a failed announcement."""


class EntryRecord(NamedTuple):
    """How an entry announces itself in the store."""

    host: str
    port: int
    boot: str


class EndpointLoad(NamedTuple):
    """What one entry has at an endpoint: runs, and tokens still to be read."""

    in_flight: int
    prefill: int


class LoadMessage(Struct, tag="load", array_like=True):
    """One entry's load, by endpoint."""

    boot: str
    loads: dict[str, EndpointLoad]


class AskMessage(Struct, tag="ask", array_like=True):
    """An entry lacks tokens of a team's budget."""

    boot: str
    team: str
    asked: Wish


class GiftMessage(Struct, tag="gift", array_like=True):
    """Tokens handed to the entry ``to``; ``number`` is unique for the giver."""

    boot: str
    to: str
    team: str
    amount: int
    number: int


Message = LoadMessage | AskMessage | GiftMessage


class Heard(NamedTuple):
    """The latest message of a peer, and when it came."""

    at: float
    loads: dict[str, EndpointLoad]


class Peers(DatagramProtocol):
    """Sends this entry's load to the others and adds up theirs."""

    def __init__(
        self,
        name: str,
        address: Address,
        boot: str,
        log: KeyedLog,
        endpoints: EndpointTable,
        budgets: Budgets,
        clock: Callable[[], float],
    ) -> None:
        budgets.ask = self.ask
        self.budgets = budgets
        self.gifts_made = 0
        self.gifts_taken: set[tuple[str, int]] = set()
        self.name = name
        self.address = address
        self.boot = boot
        self.log = log
        self.endpoints = endpoints
        self.clock = clock
        self.entries: dict[str, EntryRecord] = {}
        self.heard: dict[str, Heard] = {}
        self.transport: DatagramTransport | None = None

    def entry_count(self) -> int:
        """Return how many entries there are, this one included."""
        return max(1, len(set(self.entries) | {self.name}))

    def on_record(self, record: KeyedRecord) -> None:
        """Take an entry's announcement."""
        if not record.value:
            self.entries.pop(record.key, None)
            return
        try:
            self.entries[record.key] = decode(record.value, type=EntryRecord)
        except (DecodeError, ValidationError) as error:
            log_decision("entry refused", entry=record.key, problem=str(error))

    def on_snapshot(self, keys: frozenset[str], end: int) -> None:
        """Announcements are only replaced, so nothing follows from a snapshot."""

    def load(self, endpoint: str) -> EndpointLoad:
        """Return what the other entries have at an endpoint."""
        oldest = self.clock() - HEARD_SECONDS
        loads = [
            heard.loads[endpoint]
            for heard in self.heard.values()
            if heard.at > oldest and endpoint in heard.loads
        ]
        return EndpointLoad(
            sum(load.in_flight for load in loads), sum(load.prefill for load in loads)
        )

    async def announce(self) -> None:
        """Write this entry's address to the store, once."""
        record = encode(EntryRecord(*self.address, self.boot))
        while True:
            outcome = await self.log.append(((self.name, record),), None)
            if not isinstance(outcome, StoreFailure):
                return
            await sleep(ANNOUNCE_PAUSE)

    async def run(self) -> None:
        """Exchange loads for ever."""
        loop = get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        while True:
            self._send()
            await sleep(max(LEAST_PAUSE, SECONDS_PER_PEER * self.entry_count()))

    def connection_made(self, transport: object) -> None:
        """Take over the socket."""
        self.transport = cast(DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a peer's load."""
        try:
            message = decode(data, type=Message)
        except (DecodeError, ValidationError) as error:
            log_decision("peer message refused", sender=str(addr), problem=str(error))
            return
        match message:
            case LoadMessage():
                self.heard[message.boot] = Heard(self.clock(), message.loads)
            case AskMessage():
                self._on_ask(message, addr)
            case GiftMessage():
                self._on_gift(message)

    def ask(self, team: str, asked: Wish) -> None:
        """Ask all other entries for tokens of a team's budget."""
        self._send_to_all(encode(AskMessage(self.boot, team, asked)))

    def _on_ask(self, message: AskMessage, sender: Any) -> None:
        amount = self.budgets.on_ask(message.team, message.asked)
        if not amount or self.transport is None:
            return
        self.gifts_made += 1
        gift = GiftMessage(
            self.boot, message.boot, message.team, amount, self.gifts_made
        )
        self.transport.sendto(encode(gift), sender)
        log_decision(
            "budget handed over", team=message.team, amount=amount, to=message.boot
        )

    def _on_gift(self, message: GiftMessage) -> None:
        """Take a gift once, and only one to this boot of this entry."""
        name = (message.boot, message.number)
        if message.to != self.boot or name in self.gifts_taken:
            return
        self.gifts_taken.add(name)
        self.budgets.on_gift(message.team, message.amount)

    def _send(self) -> None:
        self._forget_silent()
        own = {
            name: EndpointLoad(state.in_flight, state.prefill)
            for name, state in self.endpoints.states.items()
            if state.in_flight
        }
        self._send_to_all(encode(LoadMessage(self.boot, own)))

    def _send_to_all(self, message: bytes) -> None:
        if self.transport is None:
            return
        for name, entry in self.entries.items():
            if name != self.name:
                self.transport.sendto(message, (entry.host, entry.port))

    def _forget_silent(self) -> None:
        oldest = self.clock() - HEARD_SECONDS
        silent = [boot for boot, heard in self.heard.items() if heard.at < oldest]
        for boot in silent:
            del self.heard[boot]
