"""What one holder does with its marks: reservations, settlement and rate.

``spent`` also counts what was handed to other holders, and less what they
handed over; summed over all holders it is what was spent.

Amounts are in tokens, times in seconds on the steady clock.
"""

from math import exp

FAST_RATE_SECONDS = 2.0
"""Time constant of the rate that follows a sudden demand."""

SLOW_RATE_SECONDS = 8.0
"""Time constant of the rate that remembers demand over a lull."""

SHARE_WEIGHT = 0.05
"""Weight of one call in the average part of its reservation that is spent."""

REQUEST_SECONDS = 0.5
"""How long a part is kept ready for another holder that asked: some repeats of
its question."""

LARGEST_DECAY = 0.98
"""Part of the largest reservation seen that is kept with each new one."""


class QuotaAccount:
    """One team's budget in this holder's hands; owned by one task.

    ``limit`` is what may be spent whatever has become of records on their way.
    """

    def __init__(self, now: float) -> None:
        self.limit = 0
        self.spent = 0
        self.reserved = 0
        self.waiting = 0
        self.requested = 0
        self.request_expires_at = now
        self.largest = 0.0
        self.spent_share = 1.0
        self.fast_rate = 0.0
        self.slow_rate = 0.0
        self.rated_at = now

    @property
    def used(self) -> int:
        """What is spent or may still be, by requests in progress."""
        return self.spent + self.reserved

    @property
    def free(self) -> int:
        """What a new reservation may take."""
        return self.limit - self.used

    def rate(self, now: float) -> float:
        """Return the tokens per second that callers ask for here."""
        self._decay(now)
        return self.slow_rate

    def peak_rate(self, now: float) -> float:
        """Return the rate that also follows a sudden demand at once."""
        self._decay(now)
        return max(self.fast_rate, self.slow_rate)

    def reserve(self, amount: int) -> bool:
        """Set ``amount`` aside if it is free; return whether it was."""
        if amount > self.free:
            return False
        self.reserved += amount
        return True

    def record_demand(self, amount: int, now: float) -> None:
        """Count a call that may cost ``amount``, whether it is admitted or not."""
        self.largest = max(self.largest * LARGEST_DECAY, amount)
        self._decay(now)
        expected = amount * self.spent_share
        self.fast_rate += expected / FAST_RATE_SECONDS
        self.slow_rate += expected / SLOW_RATE_SECONDS

    def record_lending(self, amount: int, now: float) -> None:
        """Count what others ask a home for as demand for its budget."""
        self._decay(now)
        self.fast_rate += amount / FAST_RATE_SECONDS
        self.slow_rate += amount / SLOW_RATE_SECONDS

    def raise_rates(self, rate: float, now: float) -> None:
        """Raise both rates to at least ``rate``; they decay from there as usual."""
        self._decay(now)
        self.fast_rate = max(self.fast_rate, rate)
        self.slow_rate = max(self.slow_rate, rate)

    def ask(self, amount: int, now: float) -> None:
        """Note that another holder asks for a part, for a short time."""
        self.requested = amount
        self.request_expires_at = now + REQUEST_SECONDS

    def requested_now(self, now: float) -> int:
        """Return what others have asked for a moment ago."""
        return self.requested if now < self.request_expires_at else 0

    def give(self, amount: int) -> None:
        """Hand a free part to another holder: for this one it is spent."""
        self.spent += amount

    def take(self, amount: int) -> None:
        """Take a part that another holder has handed over."""
        self.spent -= amount

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation: ``spent`` of it, at most all, was used."""
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
