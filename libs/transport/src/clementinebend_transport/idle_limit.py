"""The idle limit of connections, which a configuration may change."""

from typing import NamedTuple


class EarlierLimit(NamedTuple):
    """A longer limit that callers may still rely on, until ``until``."""

    seconds: float
    until: float


class IdleLimit:
    """The idle limit in force; times and limits are in seconds.

    A caller may send on a connection for as long as the limit that it knows allows. A
    longer limit holds at once. After a change to a shorter one the earlier limit holds
    for its own length, so that callers learn of the change before connections end
    earlier than they expect. No caller knows the limit before the first change: after
    that one a shorter limit holds at once.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.is_known = False
        self.earlier: tuple[EarlierLimit, ...] = ()

    def change(self, seconds: float, now: float) -> None:
        """Put another limit in force."""
        self.earlier = tuple(each for each in self.earlier if each.until > now)
        if self.is_known and seconds < self.seconds:
            self.earlier += (EarlierLimit(self.seconds, now + self.seconds),)
        self.seconds = seconds
        self.is_known = True

    def at(self, now: float) -> float:
        """Return the limit that holds now."""
        earlier = (each.seconds for each in self.earlier if each.until > now)
        return max(self.seconds, max(earlier, default=0.0))
