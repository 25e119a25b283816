"""Defers the reservation of budget tokens until a call has an answer to deliver.

A call consumes tokens only once its answer is delivered. What an entry has reserved is
lost to its team if the entry dies, since nobody can tell what was delivered. While a
budget is ample, calls are therefore admitted without a reservation, and reserve their
tokens just before the first part of their answer is delivered. Otherwise they reserve
on admission, so that no call runs for which the budget does not suffice.
"""

from asyncio import sleep
from collections import Counter
from typing import NamedTuple

from clementinebend_relay.budgets import MAX_BUDGET_WAIT, Budgets, Reservation
from clementinebend_relay.models import Team
from clementinebend_relay.quota_view import Shortfall

COVER_RETRY_SECONDS = 0.1
"""Seconds before tokens are requested again for an answer that is ready."""


class Admission(NamedTuple):
    """An admitted call's share of its budget; not reserved yet if ``is_deferred``."""

    team: Team
    amount: int
    is_deferred: bool


class DeferredReservations:
    """The budgets of this entry as calls use them."""

    def __init__(self, budgets: Budgets) -> None:
        self.budgets = budgets
        self.deferred: Counter[str] = Counter()

    async def admit(
        self, team: Team, amount: int, wait: float, longest_wait: float = 0.0
    ) -> Admission | Shortfall:
        """Admit a call that may cost ``amount`` tokens; see ``Budgets.reserve``."""
        if amount and self.budgets.is_ample(
            team.name, self.deferred[team.name] + amount
        ):
            self.budgets.record_demand(team, amount)
            self.deferred[team.name] += amount
            return Admission(team, amount, True)
        outcome = await self.budgets.reserve(team, amount, wait, longest_wait)
        if isinstance(outcome, Shortfall):
            return outcome
        return Admission(team, outcome.amount, False)

    async def cover(self, admission: Admission) -> Admission:
        """Reserve the tokens of a call whose answer is about to be delivered.

        Waits for them until cancelled, as the call's deadline is reached.
        """
        while admission.is_deferred:
            wait = self.budgets.wait_seconds()
            outcome = await self.budgets.acquire(
                admission.team, admission.amount, wait, MAX_BUDGET_WAIT
            )
            if isinstance(outcome, Reservation):
                self.deferred[admission.team.name] -= admission.amount
                return admission._replace(is_deferred=False)
            await sleep(COVER_RETRY_SECONDS)
        return admission

    def settle(self, admission: Admission, spent: int) -> None:
        """Release the tokens that a call did not use; ``spent`` is what it did use.

        A call that has delivered nothing has reserved and used nothing.
        """
        if admission.is_deferred:
            self.deferred[admission.team.name] -= admission.amount
            return
        reservation = Reservation(admission.team.name, admission.amount)
        self.budgets.settle(reservation, spent)
