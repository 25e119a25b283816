"""A holder's use of its quotas: reservations, settlement and request rates.

``spent`` also includes what was transferred to other holders, less what was received
from them; summed over all holders it is the amount spent.

Amounts are in tokens, times in seconds on the monotonic clock.
"""

from collections.abc import Iterable
from math import exp

FAST_RATE_SECONDS = 2.0
"""Time constant of the rate that follows a sudden demand."""

SLOW_RATE_SECONDS = 8.0
"""Time constant of the rate that persists over a lull in demand."""

SHARE_WEIGHT = 0.05
"""Weight of one call in the average fraction of a reservation that is spent."""

REQUEST_SECONDS = 0.5
"""Seconds for which an amount that another holder requested is kept available: a few
repetitions of the request."""

LARGEST_DECAY = 0.98
"""Factor by which the largest reservation seen decays with each new one."""


class QuotaAccount:
    """One team's budget as held by this holder; owned by one task.

    ``limit`` is what may be spent whatever the outcome of pending appends. ``waiting``
    is the sum of ``waiting_amounts``, which calls at this holder wait for.
    """

    def __init__(self, now: float) -> None:
        self.limit = 0
        self.spent = 0
        self.reserved = 0
        self.waiting_amounts: list[int] = []
        self.waiting = 0
        self.requested_amounts: tuple[int, ...] = ()
        self.request_expires_at = now
        self.largest = 0.0
        self.spent_share = 1.0
        self.fast_rate = 0.0
        self.slow_rate = 0.0
        self.rated_at = now

    @property
    def used(self) -> int:
        """Tokens that are spent or reserved by calls in progress."""
        return self.spent + self.reserved

    @property
    def free(self) -> int:
        """Tokens available for a new reservation."""
        return self.limit - self.used

    def rate(self, now: float) -> float:
        """Return the tokens per second that callers request at this holder."""
        self._decay(now)
        return self.slow_rate

    def peak_rate(self, now: float) -> float:
        """Return the rate that also follows a sudden demand at once."""
        self._decay(now)
        return max(self.fast_rate, self.slow_rate)

    def reserve(self, amount: int) -> bool:
        """Reserve ``amount`` if that much is free; return whether it was."""
        if amount > self.free:
            return False
        self.reserved += amount
        return True

    def record_demand(self, amount: int, now: float) -> None:
        """Record a call that may cost ``amount`` and that the budget may cover.

        It need not be admitted. A call that no holder could admit is no demand.
        """
        self.largest = max(self.largest * LARGEST_DECAY, amount)
        self._decay(now)
        expected = amount * self.spent_share
        self.fast_rate += expected / FAST_RATE_SECONDS
        self.slow_rate += expected / SLOW_RATE_SECONDS

    def record_lending(self, amount: int, now: float) -> None:
        """Record tokens that a home lent to others as demand for its budget."""
        self._decay(now)
        self.fast_rate += amount / FAST_RATE_SECONDS
        self.slow_rate += amount / SLOW_RATE_SECONDS

    def raise_rates(self, rate: float, now: float) -> None:
        """Raise both rates to at least ``rate``; they decay from there as usual."""
        self._decay(now)
        self.fast_rate = max(self.fast_rate, rate)
        self.slow_rate = max(self.slow_rate, rate)

    def start_waiting(self, amount: int) -> None:
        """Record that a call waits for ``amount``."""
        self.waiting_amounts.append(amount)
        self.waiting += amount

    def stop_waiting(self, amount: int) -> None:
        """Record that a call no longer waits for ``amount``."""
        self.waiting_amounts.remove(amount)
        self.waiting -= amount

    def waiting_within(self, left: int) -> int:
        """Return the sum that calls wait for of which ``left`` tokens cover each."""
        return _sum_within(self.waiting_amounts, left)

    def ask(self, amounts: Iterable[int], now: float) -> None:
        """Record for a short time that other holders request these amounts."""
        self.requested_amounts = tuple(amounts)
        self.request_expires_at = now + REQUEST_SECONDS

    def requested_within(self, left: int, now: float) -> int:
        """Return the sum of recent requests of which ``left`` tokens cover each."""
        if now >= self.request_expires_at:
            return 0
        return _sum_within(self.requested_amounts, left)

    def give(self, amount: int) -> None:
        """Count free tokens transferred to another holder as spent."""
        self.spent += amount

    def take(self, amount: int) -> None:
        """Add tokens that another holder has transferred."""
        self.spent -= amount

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation of which ``spent``, or all if that is less, was used."""
        amount = min(spent, reserved)
        self.reserved -= reserved
        self.spent += amount
        share = amount / reserved if reserved else 1.0
        self.spent_share += (share - self.spent_share) * SHARE_WEIGHT

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.rated_at)
        self.rated_at = now
        self.fast_rate *= exp(-elapsed / FAST_RATE_SECONDS)
        self.slow_rate *= exp(-elapsed / SLOW_RATE_SECONDS)


def _sum_within(amounts: Iterable[int], limit: int) -> int:
    return sum(amount for amount in amounts if amount <= limit)
