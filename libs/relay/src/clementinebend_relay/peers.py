"""Other entries: who of them lives, and parts of budgets handed over."""

from asyncio import sleep
from collections.abc import Callable, Iterable
from random import sample
from typing import NamedTuple

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_ledger.mark_transfers import TransferBook
from clementinebend_ledger.mark_witness import NO_EPOCH
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.homes import WATCH_PAUSE, Homes
from clementinebend_relay.messages import (
    AskMessage,
    FenceMessage,
    GiftMessage,
    LeavingMessage,
    Message,
)
from clementinebend_transport.client_connection import Address

HEARD_SECONDS = 3.0
"""How long a peer counts as there after its last message: homes hear of each entry
that has calls more often."""

MOST_ASKED = 8
"""Entries asked at once for a part of a budget while its home is silent: each call
waits for them, and in a fleet of hundreds asking all would cost more than the calls."""

UNMET_SECONDS = 0.1
"""How long a home remembers that an entry lacks a part: the caller waits hardly
longer, and the entry asks again meanwhile."""

UNMET_REMEMBERED = 1_000
"""Entries that are remembered to lack a part of one budget."""

Send = Callable[[Message, Address], None]
SendAll = Callable[[Message, Iterable[Address]], None]


class Unmet(NamedTuple):
    """What an entry has asked a home for, and not got, at some time."""

    at: float
    message: AskMessage
    sender: Address


class Peers:
    """Knows the homes of budgets, and shares budgets with the other entries."""

    def __init__(
        self,
        name: str,
        boot: str,
        directory: Directory,
        budgets: Budgets,
        send: Send,
        send_all: SendAll,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.boot = boot
        self.directory = directory
        self.budgets = budgets
        self.send = send
        self.send_all = send_all
        self.clock = clock
        self.homes = Homes(name, len(budgets.keepers), directory, clock)
        self.heard_at: dict[str, float] = {}
        self.transfers = TransferBook()
        self.unmet: dict[str, dict[str, Unmet]] = {}
        budgets.attach(self)

    def entry_count(self) -> int:
        """Return how many entries there are, this one included."""
        announced = self.directory.announcements
        return len(announced) + (self.name not in announced)

    async def watch(self) -> None:
        """Ask for ever whether those live that this entry may have to replace."""
        while True:
            self._ask_whether_live(self.homes.watched())
            self._forget_silent()
            await sleep(WATCH_PAUSE)

    def _ask_whether_live(self, watched: Iterable[Announcement]) -> None:
        for item in watched:
            self.homes.on_asked(item.boot)
            self.send(FenceMessage(item.boot, self.boot, NO_EPOCH), item.address)

    def resign(self) -> None:
        """Be no home any more, as this entry is stopping, and say so to all.

        The next home then has the time of the stop to take over, and this entry
        to give back its marks, also while the store is slow.
        """
        self.homes.resign()
        addresses = map(self._address, self._others())
        self.send_all(LeavingMessage(self.boot), addresses)

    def on_leaving(self, message: LeavingMessage) -> None:
        """Take an entry that is stopping for no home any more."""
        self.on_heard(message.boot)
        self.homes.on_leaving(message.boot)

    def on_heard(self, boot: str) -> None:
        """Note that a boot of another entry has sent something."""
        self.heard_at[boot] = self.clock()
        self.homes.on_heard(boot)

    def home_of(self, part: int) -> str | None:
        """Return which other entry is home of a partition; none if it is us."""
        return self.homes.home_of(part)

    def is_heard(self, boot: str) -> bool:
        """Tell whether a boot of another entry was heard a moment ago."""
        at = self.heard_at.get(boot)
        return at is not None and self.clock() - at < HEARD_SECONDS

    def ask(self, entry: str, team: str, asked: Wish) -> None:
        """Ask an entry for tokens of a team's budget."""
        peer = self.directory.announcements.get(entry)
        if peer is not None:
            self.homes.on_asked(peer.boot)
            self.send(AskMessage(self.boot, team, asked), peer.address)

    def ask_others(self, team: str, asked: Wish) -> None:
        """Ask some other entries for tokens of a team's budget."""
        others = self._others()
        some = sample(others, min(MOST_ASKED, len(others)))
        self.send_all(AskMessage(self.boot, team, asked), map(self._address, some))

    def give_back(self, entry: str, team: str, amount: int) -> bool:
        """Hand ``amount`` of a team's budget to an entry; return whether it is known.

        The caller then counts it as spent.
        """
        peer = self.directory.announcements.get(entry)
        if peer is None:
            return False
        transfer = self.transfers.hand_over(peer.boot, team, amount)
        gift = GiftMessage(self.boot, peer.boot, team, transfer, False)
        self.send(gift, peer.address)
        return True

    def on_ask(self, message: AskMessage, sender: Address) -> None:
        """Hand over what can be spared, and say what the home knows."""
        self.on_heard(message.boot)
        self._ask_whether_live(
            self.homes.on_asked_as_home(self.budgets.part(message.team))
        )
        amount = self.budgets.on_ask(message.team, message.asked)
        if amount < message.asked.amount and self.budgets.is_home_of(message.team):
            self._remember(message, sender)
        self._answer(message, sender, amount)

    def serve_unmet(self, part: int) -> None:
        """Hand over what was asked for a moment ago, now that there may be more.

        An asker gets it some 6 ms after its question, as the store has answered,
        instead of with its next question after 30 ms.
        """
        for team in [team for team in self.unmet if self.budgets.part(team) == part]:
            for unmet in self._unmet_of(team):
                asked = unmet.message.asked
                if self.budgets.spare(team, asked) < asked.amount:
                    continue
                del self.unmet[team][unmet.message.boot]
                self.budgets.hand_over(team, asked.amount)
                self._answer(unmet.message, unmet.sender, asked.amount)

    def _remember(self, message: AskMessage, sender: Address) -> None:
        """Remember what an entry lacks, so that the mark is raised for all of it."""
        by_boot = self.unmet.setdefault(message.team, {})
        by_boot.pop(message.boot, None)
        by_boot[message.boot] = Unmet(self.clock(), message, sender)
        if len(by_boot) > UNMET_REMEMBERED:
            del by_boot[next(iter(by_boot))]
        lacking = (each.message.asked.amount for each in self._unmet_of(message.team))
        self.budgets.want(message.team, sum(lacking))

    def _unmet_of(self, team: str) -> list[Unmet]:
        """Return what entries lack of a team's budget, and forget what is too old."""
        oldest = self.clock() - UNMET_SECONDS
        recent = {
            boot: unmet
            for boot, unmet in self.unmet.pop(team, {}).items()
            if unmet.at >= oldest
        }
        if recent:
            self.unmet[team] = recent
        return list(recent.values())

    def _answer(self, message: AskMessage, sender: Address, amount: int) -> None:
        team = message.team
        transfer = self.transfers.hand_over(message.boot, team, amount)
        is_home = self.budgets.is_home_of(team)
        is_lacking = is_home and amount < message.asked.amount
        rest = self.budgets.rest(team) if is_lacking else None
        answer_seconds = self.budgets.answer_seconds(team) if is_home else 0.0
        gift = GiftMessage(
            self.boot, message.boot, team, transfer, is_home, rest, answer_seconds
        )
        self.send(gift, sender)

    def on_gift(self, message: GiftMessage) -> None:
        """Take what another entry has handed over, and only if it is to this boot."""
        if message.to != self.boot:
            return
        self.on_heard(message.boot)
        amount = self.transfers.take(message.boot, message.team, message.transfer)
        giver = process_name_of(Incarnation(message.boot))
        part = self.budgets.part(message.team)
        if not message.is_home and giver == self.home_of(part):
            self.homes.on_no_home(part)
        if message.rest is not None:
            self.budgets.on_rest(message.team, message.rest)
        if message.is_home:
            self.budgets.on_home_answer_seconds(message.answer_seconds)
        self.budgets.on_gift(message.team, amount, giver)

    def _forget_silent(self) -> None:
        oldest = self.clock() - HEARD_SECONDS
        self.heard_at = {boot: at for boot, at in self.heard_at.items() if at >= oldest}

    def _others(self) -> list[str]:
        return [name for name in self.directory.announcements if name != self.name]

    def _address(self, name: str) -> Address:
        return self.directory.announcements[name].address
