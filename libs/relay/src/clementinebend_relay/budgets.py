"""Budgets in this entry's hands: reservation and settlement of calls."""

from asyncio import gather, timeout
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple
from zlib import crc32

from clementinebend_ledger.mark_gifts import Wish, gift, wish
from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_relay.mark_keeper import MarkKeeper, Short
from clementinebend_relay.models import Configuration, Team
from clementinebend_relay.witnesses import Witnesses

__all__ = ["Budgets", "Reservation", "Short"]

STORE_TURN = 0.04
"""Seconds that a call leaves to the store, which answers in some 10 ms, before
the reserve is opened for it."""

ASK_PAUSE = 0.03
"""Seconds between questions to the other entries while a call waits."""


PART_MARK = "@"
"""Between an entry's boot and its partition in a holder's name."""


class Reservation(NamedTuple):
    """Tokens set aside for one call."""

    team: str
    amount: int


def holder_name(boot: str, part: int) -> str:
    """Return the name under which a boot of an entry holds marks in a partition."""
    return f"{boot}{PART_MARK}{part}"


def boot_of(holder: str) -> str:
    """Return the boot that a holder's name tells."""
    return holder.rpartition(PART_MARK)[0]


class Budgets:
    """All budgets of this entry, by team."""

    def __init__(
        self,
        boot: str,
        logs: tuple[KeyedLog, ...],
        witnesses: Witnesses,
        is_succeeded: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self.clock = clock
        self.ask: Callable[[str, Wish], None] = _ask_nobody
        self.keepers = tuple(
            MarkKeeper(holder_name(boot, part), log, witnesses, is_succeeded, clock)
            for part, log in enumerate(logs)
        )

    def configure(self, configuration: Configuration) -> None:
        """Take the budgets of a configuration."""
        for keeper in self.keepers:
            keeper.prepaid = {
                team.name: team.prepaid
                for team in configuration.teams.values()
                if team.prepaid is not None and self.keeper(team.name) is keeper
            }
            keeper.urgent.set()

    def keeper(self, team: str) -> MarkKeeper:
        """Return who keeps the marks of a team; all entries find the same."""
        return self.keepers[crc32(team.encode()) % len(self.keepers)]

    async def reserve(
        self, team: Team, amount: int, wait: float
    ) -> Reservation | Short:
        """Set ``amount`` aside, waiting up to ``wait`` seconds for it."""
        if team.prepaid is None or amount == 0:
            return Reservation(team.name, 0)
        keeper = self.keeper(team.name)
        account = keeper.account(team.name)
        account.demand(amount, self.clock())
        if account.reserve(amount):
            return Reservation(team.name, amount)
        short = keeper.short(team.name, amount)
        if short.left is not None and short.left < amount and keeper.is_fresh():
            return short
        account.waiting += amount
        try:
            async with timeout(wait):
                await self._wait(keeper, team.name, amount)
        except TimeoutError:
            return keeper.short(team.name, amount)
        finally:
            account.waiting -= amount
        return Reservation(team.name, amount)

    async def _wait(self, keeper: MarkKeeper, team: str, amount: int) -> None:
        """Return once ``amount`` is set aside: from the store, or by other ways."""
        account = keeper.account(team)
        if keeper.lost_at is None:
            keeper.urgent.set()
            with suppress(TimeoutError):
                async with timeout(STORE_TURN):
                    while not account.reserve(amount):
                        await keeper.changed.wait()
                    return
        while not account.reserve(amount):
            keeper.open_reserve()
            self.ask(team, wish(account, amount, self.clock()))
            with suppress(TimeoutError):
                async with timeout(ASK_PAUSE):
                    await keeper.changed.wait()

    def on_ask(self, team: str, asked: Wish) -> int:
        """Return what this entry hands over to one that asks."""
        keeper = self.keeper(team)
        account = keeper.account(team)
        amount = gift(account, asked, self.clock())
        account.give(amount)
        if amount < asked.amount:
            account.ask(asked.amount, self.clock())
            if keeper.lost_at is None:
                keeper.urgent.set()
            else:
                keeper.open_reserve()
        return amount

    def on_gift(self, team: str, amount: int) -> None:
        """Take what another entry has handed over."""
        keeper = self.keeper(team)
        keeper.account(team).take(amount)
        keeper.wake()

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Give back what a call did not use."""
        if reservation.amount == 0:
            return
        keeper = self.keeper(reservation.team)
        account = keeper.account(reservation.team)
        account.settle(reservation.amount, spent)
        if account.waiting:
            keeper.wake()

    async def release(self, within: float) -> None:
        """Give back what is not used, within some seconds: the process ends."""
        for keeper in self.keepers:
            keeper.is_closing = True
        with suppress(TimeoutError):
            async with timeout(within):
                await gather(*(keeper.commit() for keeper in self.keepers))


def _ask_nobody(team: str, asked: Wish) -> None:
    """Ask no other entry, before their addresses are known."""
