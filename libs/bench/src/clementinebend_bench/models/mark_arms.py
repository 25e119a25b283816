"""Ways to hold prepaid budgets: the product's, and two simple ones."""

from typing import Protocol

from clementinebend_bench.models.mark_fleet import MarkFleet
from clementinebend_bench.models.mark_store import ModelLog, StoreModel
from clementinebend_platform_client.keyed_log import Appended
from clementinebend_relay.deferred_reservations import Admission
from clementinebend_relay.models import Team


class MarkArm(Protocol):
    """One way to hold the budgets of a fleet."""

    def start(self, entry: int) -> None:
        """Start an entry, which remembers nothing."""
        ...

    def end(self, entry: int) -> None:
        """End an entry without notice."""
        ...

    async def reserve(self, entry: int, team: str, amount: int) -> Admission | None:
        """Admit a call; none if it is refused."""
        ...

    async def deliver(self, entry: int, admission: Admission) -> Admission | None:
        """Let a call's answer, which is ready, be delivered; none if it may not be."""
        ...

    def settle(self, entry: int, admission: Admission, cost: int) -> None:
        """Settle a call whose answer was delivered."""
        ...


def admission_of(team: str, amount: int) -> Admission:
    """Return the admission of a call whose tokens are reserved."""
    return Admission(Team(team, None, None), amount, False)


class ReservedOnAdmission:
    """Delivers each answer, as its tokens were reserved when it was admitted."""

    async def deliver(self, entry: int, admission: Admission) -> Admission | None:
        """Return the admission as it is."""
        return admission


class ProductArm:
    """The product's way."""

    def __init__(self, entries: int, store: StoreModel, prepaid: dict[str, int]):
        self.fleet = MarkFleet(store, prepaid)

    def start(self, entry: int) -> None:
        """Start an entry."""
        self.fleet.start(entry)

    def end(self, entry: int) -> None:
        """End an entry without notice."""
        self.fleet.end(entry)

    async def reserve(self, entry: int, team: str, amount: int) -> Admission | None:
        """Admit a call."""
        return await self.fleet.admit(entry, team, amount)

    async def deliver(self, entry: int, admission: Admission) -> Admission | None:
        """Reserve what is not reserved yet."""
        return await self.fleet.cover(entry, admission)

    def settle(self, entry: int, admission: Admission, cost: int) -> None:
        """Settle a call whose answer was delivered."""
        self.fleet.release(entry, admission, cost)


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

    async def reserve(self, entry: int, team: str, amount: int) -> Admission | None:
        """Take from the entry's own part."""
        if self.left[entry][team] < amount:
            return None
        self.left[entry][team] -= amount
        return admission_of(team, amount)

    def settle(self, entry: int, admission: Admission, cost: int) -> None:
        """Give back what was not used."""
        self.left[entry][admission.team.name] += admission.amount - cost


class AppendEach(ReservedOnAdmission):
    """Each reservation is written to the store before its call goes on."""

    def __init__(self, entries: int, store: StoreModel, prepaid: dict[str, int]):
        self.log = ModelLog(store)
        self.left = dict(prepaid)

    def start(self, entry: int) -> None:
        """Nothing is kept in the entry."""

    def end(self, entry: int) -> None:
        """Keep what calls in progress have reserved: nobody knows what they cost."""

    async def reserve(self, entry: int, team: str, amount: int) -> Admission | None:
        """Take from what the store says is left."""
        if self.left[team] < amount:
            return None
        self.left[team] -= amount
        outcome = await self.log.append(((team, b""),), None)
        if isinstance(outcome, Appended):
            return admission_of(team, amount)
        self.left[team] += amount
        return None

    def settle(self, entry: int, admission: Admission, cost: int) -> None:
        """Give back what was not used."""
        self.left[admission.team.name] += admission.amount - cost
