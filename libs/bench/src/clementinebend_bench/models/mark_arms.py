"""Ways to hold prepaid budgets: the product's, and two simple ones."""

from typing import Protocol

from clementinebend_bench.models.mark_fleet import MarkFleet
from clementinebend_bench.models.mark_store import ModelLog, StoreModel
from clementinebend_platform_client.keyed_log import Appended
from clementinebend_relay.budgets import Reservation


class MarkArm(Protocol):
    """One way to hold the budgets of a fleet."""

    def start(self, entry: int) -> None:
        """Start an entry, which remembers nothing."""
        ...

    def end(self, entry: int) -> None:
        """End an entry without notice."""
        ...

    async def reserve(self, entry: int, team: str, amount: int) -> Reservation | None:
        """Reserve for a call; none if it is refused."""
        ...

    async def deliver(self, entry: int, reservation: Reservation) -> bool:
        """Return whether a call's answer, which is ready, may be delivered."""
        ...

    def settle(self, entry: int, reservation: Reservation, cost: int) -> None:
        """Settle a call whose answer was delivered."""
        ...


class ReservedOnAdmission:
    """Delivers each answer, as its tokens were reserved when it was admitted."""

    async def deliver(self, entry: int, reservation: Reservation) -> bool:
        """Return true."""
        return True


def marks_arm(entries: int, store: StoreModel, prepaid: dict[str, int]) -> MarkArm:
    """Return the product's way."""
    return MarkFleet(store, prepaid)


class StaticSplit(ReservedOnAdmission):
    """Each entry has an equal part; a new boot knows nothing of what is left."""

    def __init__(self, entries: int, store: StoreModel, prepaid: dict[str, int]):
        self.parts = {team: amount // entries for team, amount in prepaid.items()}
        self.left: dict[int, dict[str, int]] = {}
        self.ended: set[int] = set()

    def start(self, entry: int) -> None:
        """Give an entry its part, but only once."""
        if entry in self.ended:
            self.left[entry] = dict.fromkeys(self.parts, 0)
        else:
            self.left[entry] = dict(self.parts)

    def end(self, entry: int) -> None:
        """Lose what the entry had."""
        self.ended.add(entry)

    async def reserve(self, entry: int, team: str, amount: int) -> Reservation | None:
        """Take from the entry's own part."""
        if self.left[entry][team] < amount:
            return None
        self.left[entry][team] -= amount
        return Reservation(team, amount)

    def settle(self, entry: int, reservation: Reservation, cost: int) -> None:
        """Give back what was not used."""
        self.left[entry][reservation.team] += reservation.amount - cost


class AppendEach(ReservedOnAdmission):
    """Each reservation is written to the store before its call goes on."""

    def __init__(self, entries: int, store: StoreModel, prepaid: dict[str, int]):
        self.log = ModelLog(store)
        self.left = dict(prepaid)

    def start(self, entry: int) -> None:
        """Nothing is kept in the entry."""

    def end(self, entry: int) -> None:
        """Keep what calls in progress have reserved: nobody knows what they cost."""

    async def reserve(self, entry: int, team: str, amount: int) -> Reservation | None:
        """Take from what the store says is left."""
        if self.left[team] < amount:
            return None
        self.left[team] -= amount
        outcome = await self.log.append(((team, b""),), None)
        if isinstance(outcome, Appended):
            return Reservation(team, amount)
        self.left[team] += amount
        return None

    def settle(self, entry: int, reservation: Reservation, cost: int) -> None:
        """Give back what was not used."""
        self.left[reservation.team] += reservation.amount - cost
