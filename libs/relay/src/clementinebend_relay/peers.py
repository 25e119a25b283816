"""Other entries: their liveness, and transfers of budget tokens between entries."""

from asyncio import Event, sleep, timeout
from collections.abc import Callable, Iterable
from contextlib import suppress
from random import sample
from typing import NamedTuple

from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_ledger.quota_transfers import TransferBook
from clementinebend_ledger.quota_witness import NO_EPOCH
from clementinebend_membership.suspicion import ANSWER_TIMEOUT
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.homes import LIVENESS_CHECK_INTERVAL, Homes
from clementinebend_relay.messages import (
    FenceMessage,
    LeavingMessage,
    Message,
    TokenRequestMessage,
    TransferMessage,
)
from clementinebend_transport.client_connection import Address

HEARD_SECONDS = 3.0
"""Seconds for which a peer counts as live after its last message. Homes hear more often
from each entry that has calls."""

MAX_PEERS_ASKED = 8
"""Maximum number of entries asked at once for tokens while the home does not answer.
Each call waits for them, and asking all entries of a fleet of hundreds would cost more
than the calls."""

UNMET_SECONDS = 0.1
"""Seconds for which a home remembers an unmet request: the caller hardly waits longer,
and the entry asks again meanwhile."""

MAX_UNMET_REQUESTS = 1_000
"""Maximum number of entries whose unmet requests are kept for one budget."""

Send = Callable[[Message, Address], None]
SendAll = Callable[[Message, Iterable[Address]], None]


class UnmetRequest(NamedTuple):
    """A request that a home could not meet, its sender and when it arrived."""

    at: float
    message: TokenRequestMessage
    sender: Address


class Peers:
    """Tracks the homes of budgets and shares budgets with the other entries."""

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
        self.homes = Homes(name, len(budgets.managers), directory, clock)
        self.heard_at: dict[str, float] = {}
        self.transfers = TransferBook()
        self.unmet: dict[str, dict[str, UnmetRequest]] = {}
        self.asked_as_home = Event()
        budgets.attach(self)

    def entry_count(self) -> int:
        """Return the number of entries, including this one."""
        announced = self.directory.announcements
        return len(announced) + (self.name not in announced)

    async def watch(self) -> None:
        """Check repeatedly the liveness of entries that this one may replace."""
        while True:
            self._check_liveness(self.homes.watched())
            self._drop_silent()
            await self._pause()

    async def _pause(self) -> None:
        """Pause until the next check, which is soon if this entry is taking over."""
        self.asked_as_home.clear()
        if not self.homes.is_any_taken_over():
            with suppress(TimeoutError):
                async with timeout(LIVENESS_CHECK_INTERVAL):
                    await self.asked_as_home.wait()
        if self.homes.is_any_taken_over():
            await sleep(ANSWER_TIMEOUT)

    def _check_liveness(self, watched: Iterable[Announcement]) -> None:
        for item in watched:
            self.homes.on_asked(item.boot)
            self.send(FenceMessage(item.boot, self.boot, NO_EPOCH), item.address)

    def resign(self) -> None:
        """Stop being a home, as this entry is stopping, and notify all other entries.

        The next home then has the duration of the stop to take over, and this entry to
        return its quotas, even while the store is slow.
        """
        self.homes.resign()
        addresses = map(self._address, self._others())
        self.send_all(LeavingMessage(self.boot), addresses)

    def repeat_leaving(self, sender: Address) -> None:
        """Notify an entry again if this one is stopping, as notices may be lost."""
        if self.homes.is_leaving:
            self.send(LeavingMessage(self.boot), sender)

    def on_leaving(self, message: LeavingMessage) -> None:
        """Exclude an entry that is stopping from being a home."""
        self.on_heard(message.boot)
        self.homes.on_leaving(message.boot)

    def on_heard(self, boot: str) -> None:
        """Record that a boot of another entry has sent a message."""
        self.heard_at[boot] = self.clock()
        self.homes.on_heard(boot)

    def home_of(self, part: int) -> str | None:
        """Return the other entry that is a partition's home, or None if this one is."""
        return self.homes.home_of(part)

    def is_heard(self, boot: str) -> bool:
        """Return whether a boot of another entry was heard recently."""
        at = self.heard_at.get(boot)
        return at is not None and self.clock() - at < HEARD_SECONDS

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        """Request tokens of a team's budget from an entry."""
        peer = self.directory.announcements.get(entry)
        if peer is not None:
            self.homes.on_asked(peer.boot)
            self.send(TokenRequestMessage(self.boot, team, asked), peer.address)

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        """Request tokens of a team's budget from some other entries."""
        others = self._others()
        some = sample(others, min(MAX_PEERS_ASKED, len(others)))
        self.send_all(
            TokenRequestMessage(self.boot, team, asked), map(self._address, some)
        )

    def return_tokens(self, entry: str, team: str, amount: int) -> bool:
        """Transfer ``amount`` of a budget to an entry; return whether it is known.

        The caller then counts the amount as spent.
        """
        peer = self.directory.announcements.get(entry)
        if peer is None:
            return False
        transfer = self.transfers.hand_over(peer.boot, team, amount)
        transfer_message = TransferMessage(self.boot, peer.boot, team, transfer, False)
        self.send(transfer_message, peer.address)
        return True

    def on_request(self, message: TokenRequestMessage, sender: Address) -> None:
        """Transfer what can be spared and, as home, report the remaining budget."""
        self.on_heard(message.boot)
        self.repeat_leaving(sender)
        part = self.budgets.part(message.team)
        self._check_liveness(self.homes.on_request_as_home(part))
        if self.homes.is_taking_over(part):
            self.asked_as_home.set()
            self.budgets.prepare_home(part)
        amount = self.budgets.on_request(message.team, message.asked)
        if amount < message.asked.amount and self.budgets.is_home_of(message.team):
            self._record_unmet(message, sender)
        self._answer(message, sender, amount)

    def serve_unmet(self, part: int) -> None:
        """Answer recent unmet requests, now that more tokens may be available.

        The requester gets its tokens some 6 ms after its request, once the store has
        answered, instead of with its next request after 30 ms.
        """
        for team in [team for team in self.unmet if self.budgets.part(team) == part]:
            for unmet in self._unmet_of(team):
                asked = unmet.message.asked
                if self.budgets.transferable(team, asked) < asked.amount:
                    continue
                del self.unmet[team][unmet.message.boot]
                self.budgets.hand_over(team, asked.amount)
                self._answer(unmet.message, unmet.sender, asked.amount)

    def _record_unmet(self, message: TokenRequestMessage, sender: Address) -> None:
        """Record an unmet request, and raise the quota for all that are unmet."""
        by_boot = self.unmet.setdefault(message.team, {})
        by_boot.pop(message.boot, None)
        by_boot[message.boot] = UnmetRequest(self.clock(), message, sender)
        if len(by_boot) > MAX_UNMET_REQUESTS:
            del by_boot[next(iter(by_boot))]
        lacking = (each.message.asked.amount for each in self._unmet_of(message.team))
        self.budgets.record_requests(message.team, lacking)

    def _unmet_of(self, team: str) -> list[UnmetRequest]:
        """Return the recent unmet requests for a team's budget, and drop older ones."""
        oldest = self.clock() - UNMET_SECONDS
        recent = {
            boot: unmet
            for boot, unmet in self.unmet.pop(team, {}).items()
            if unmet.at >= oldest
        }
        if recent:
            self.unmet[team] = recent
        return list(recent.values())

    def _answer(
        self, message: TokenRequestMessage, sender: Address, amount: int
    ) -> None:
        team = message.team
        transfer = self.transfers.hand_over(message.boot, team, amount)
        is_home = self.budgets.is_home_of(team)
        is_shortfall = is_home and amount < message.asked.amount
        remaining = self.budgets.remaining(team) if is_shortfall else None
        answer_seconds = self.budgets.answer_seconds(team) if is_home else 0.0
        transfer_message = TransferMessage(
            self.boot,
            message.boot,
            team,
            transfer,
            is_home,
            remaining,
            answer_seconds,
            self.homes.is_taking_over(self.budgets.part(team)),
        )
        self.send(transfer_message, sender)

    def on_transfer(self, message: TransferMessage) -> None:
        """Apply a transfer of another entry if it is addressed to this boot."""
        if message.to != self.boot:
            return
        self.on_heard(message.boot)
        amount = self.transfers.take(message.boot, message.team, message.transfer)
        giver = process_name_of(Incarnation(message.boot))
        part = self.budgets.part(message.team)
        is_denied = not (message.is_home or message.is_taking_over)
        if is_denied and giver == self.home_of(part):
            self.homes.on_home_denied(part)
        if message.remaining is not None:
            self.budgets.on_remaining(message.team, message.remaining)
        if message.is_home:
            self.budgets.on_home_answer_seconds(message.answer_seconds)
        self.budgets.on_transfer(message.team, amount, giver, message.is_taking_over)

    def _drop_silent(self) -> None:
        oldest = self.clock() - HEARD_SECONDS
        self.heard_at = {boot: at for boot, at in self.heard_at.items() if at >= oldest}

    def _others(self) -> list[str]:
        return [name for name in self.directory.announcements if name != self.name]

    def _address(self, name: str) -> Address:
        return self.directory.announcements[name].address
