"""Other entries: what they have in flight, and parts of budgets handed over."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_records.identifiers import Incarnation, name_of
from clementinebend_relay.announcing import Directory
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.messages import (
    AskMessage,
    EndpointLoad,
    GiftMessage,
    LoadMessage,
    Message,
)
from clementinebend_routing.sessions import SessionMemory
from clementinebend_transport.client_connection import Address

SECONDS_PER_PEER = 0.025
"""Pause between messages for each entry there is: at 4 entries a message in
0.1 s, at 30 still one in 0.75 s, so that their cost to a receiver is bounded."""

LEAST_PAUSE = 0.1
LIVE_MESSAGES = 4.5
"""Pauses between messages after which a silent entry is no home any more."""

HOME_SECONDS = 0.05
"""How long a home is remembered: a call costs then no hashing."""

HEARD_SECONDS = 3.0
"""How long a peer's load counts after its last message."""

GIFTS_REMEMBERED = 10_000
"""Gifts remembered to take none twice: a minute's worth at 150 a second, and a
datagram comes twice within milliseconds."""

NO_LOAD = EndpointLoad(0, {})

Send = Callable[[Message, Address], None]
SendAll = Callable[[Message, Iterable[Address]], None]


class Heard(NamedTuple):
    """The latest message of a peer, and when it came."""

    at: float
    loads: dict[str, EndpointLoad]
    is_leaving: bool


class Home(NamedTuple):
    """Which other entry was home of a partition at some time; none if us."""

    at: float
    entry: str | None


class Peers:
    """Tells the other entries this one's load, and adds up theirs."""

    def __init__(
        self,
        name: str,
        boot: str,
        directory: Directory,
        endpoints: EndpointTable,
        budgets: Budgets,
        sessions: SessionMemory,
        send: Send,
        send_all: SendAll,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.boot = boot
        self.directory = directory
        self.endpoints = endpoints
        self.budgets = budgets
        self.sessions = sessions
        self.send = send
        self.send_all = send_all
        self.clock = clock
        self.heard: dict[str, Heard] = {}
        self.totals: dict[str, EndpointLoad] = {}
        self.homes: dict[int, Home] = {}
        self.is_leaving = False
        self.gifts_made = 0
        self.gifts_taken: dict[tuple[str, int], None] = {}
        budgets.neighbours = self

    def entry_count(self) -> int:
        """Return how many entries there are, this one included."""
        return len({self.name, *self.directory.announcements})

    def load(self, endpoint: str) -> EndpointLoad:
        """Return what the other entries have at an endpoint."""
        return self.totals.get(endpoint, NO_LOAD)

    async def run(self) -> None:
        """Tell the load for ever."""
        while True:
            self.forget_silent()
            self._tell()
            await sleep(self._pause())

    def resign(self) -> None:
        """Be no home any more, as this entry is stopping, and say so.

        The next home then has the time of the stop to take over, and this entry
        to give back its marks, also while the store is slow.
        """
        self.is_leaving = True
        self.homes.clear()
        self._tell()

    def on_load(self, message: LoadMessage) -> None:
        """Take a peer's load."""
        self._forget(message.boot)
        self.heard[message.boot] = Heard(
            self.clock(), message.loads, message.is_leaving
        )
        self._add(message.loads, 1)
        self.sessions.learn(
            item for item in message.news if item[0] in self.endpoints.states
        )

    def home_of(self, part: int) -> str | None:
        """Return which other entry is home of a partition; none if it is us.

        It is the first of the entries that were heard a moment ago, in an
        order that all share.
        """
        now = self.clock()
        known = self.homes.get(part)
        if known is None or now - known.at > HOME_SECONDS:
            known = self.homes[part] = Home(now, self._home_of(part))
        return known.entry

    def is_heard(self, boot: str) -> bool:
        """Tell whether a boot of another entry was heard a moment ago."""
        heard = self.heard.get(boot)
        return heard is not None and self.clock() - heard.at < HEARD_SECONDS

    def _home_of(self, part: int) -> str | None:
        oldest = self.clock() - LIVE_MESSAGES * self._pause()
        live = {
            name
            for name, item in self.directory.announcements.items()
            if self._may_be_home(item.boot, oldest)
        }
        if not self.is_leaving or not live:
            live.add(self.name)
        home = rendezvous(f"marks-{part}", live, 1)[0]
        return None if home == self.name else home

    def _may_be_home(self, boot: str, oldest: float) -> bool:
        heard = self.heard.get(boot)
        return heard is not None and heard.at >= oldest and not heard.is_leaving

    def _tell(self) -> None:
        """Tell all others this entry's load."""
        own = {
            name: state.load()
            for name, state in self.endpoints.states.items()
            if state.in_flight
        }
        news = self.sessions.take_news()
        self._send_to_all(LoadMessage(self.boot, own, self.is_leaving, news))

    def ask(self, entry: str, team: str, asked: Wish) -> None:
        """Ask an entry for tokens of a team's budget."""
        peer = self.directory.announcements.get(entry)
        if peer is not None:
            self.send(AskMessage(self.boot, team, asked), peer.address)

    def ask_all(self, team: str, asked: Wish) -> None:
        """Ask all other entries for tokens of a team's budget."""
        self._send_to_all(AskMessage(self.boot, team, asked))

    def _pause(self) -> float:
        return max(LEAST_PAUSE, SECONDS_PER_PEER * self.entry_count())

    def on_ask(self, message: AskMessage, sender: Address) -> None:
        """Hand over what can be spared; a home says so if that is nothing."""
        amount = self.budgets.on_ask(message.team, message.asked)
        if not amount and not self.budgets.is_home_of(message.team):
            return
        self.gifts_made += 1
        gift = GiftMessage(
            self.boot, message.boot, message.team, amount, self.gifts_made
        )
        self.send(gift, sender)
        if amount:
            log_decision(
                "budget handed over", team=message.team, amount=amount, to=message.boot
            )

    def on_gift(self, message: GiftMessage) -> None:
        """Take a gift once, and only one to this boot of this entry."""
        name = (message.boot, message.number)
        if message.to != self.boot or name in self.gifts_taken:
            return
        self.gifts_taken[name] = None
        if len(self.gifts_taken) > GIFTS_REMEMBERED:
            del self.gifts_taken[next(iter(self.gifts_taken))]
        giver = name_of(Incarnation(message.boot))
        self.budgets.on_gift(message.team, message.amount, giver)

    def _send_to_all(self, message: Message) -> None:
        announced = self.directory.announcements.items()
        others = (peer.address for name, peer in announced if name != self.name)
        self.send_all(message, others)

    def _forget(self, boot: str) -> None:
        heard = self.heard.pop(boot, None)
        if heard is not None:
            self._add(heard.loads, -1)

    def _add(self, loads: dict[str, EndpointLoad], sign: int) -> None:
        """Keep the sums up to date: they are asked for at each choice."""
        for endpoint, load in loads.items():
            total = self.totals.get(endpoint, NO_LOAD)
            in_flight = total.in_flight + sign * load.in_flight
            prefill = Counter(total.prefill)
            for level, tokens in load.prefill.items():
                prefill[level] += sign * tokens
            if in_flight or any(prefill.values()):
                self.totals[endpoint] = EndpointLoad(in_flight, prefill)
            else:
                self.totals.pop(endpoint, None)

    def forget_silent(self) -> None:
        """Count no more what entries told that have been silent since."""
        oldest = self.clock() - HEARD_SECONDS
        silent = [boot for boot, heard in self.heard.items() if heard.at < oldest]
        for boot in silent:
            self._forget(boot)
