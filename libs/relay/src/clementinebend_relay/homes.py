"""Which entry is the home of a partition of budgets, and whether it lives.

All entries rank one another alike for each partition, those with more processor more
often in front: a home answers for all of a partition's calls. The first one that is
not taken for gone is its home. Only the next few in that order watch it; all others
notice that it is gone when it leaves their questions open.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from clementinebend_membership.rendezvous import weighted_rendezvous
from clementinebend_membership.suspicion import ANSWER_TIMEOUT, FailureDetector
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.decisions import log_decision

CANDIDATES = 6
"""How many entries of a partition's order may become its home: more than are lost at
once, apart from a loss of all, after which the first are back as soon as others."""

WATCHERS = 3
"""How many of them watch those before them, so that the loss of two at once is still
noticed without a call."""

WATCH_PAUSE = 0.2
"""Seconds between questions whether a process lives: three without an answer, and so
a home that is gone, are noticed within a second."""

ASKED_SECONDS = 2.0
"""How long a candidate that was asked as if it were home watches those before it:
somebody takes them for gone."""

LEAST_CORES = 0.01
"""Least processor that an entry counts with, however little it announces."""

HOME_SECONDS = 0.05
"""How long a home is remembered: a call costs then no search."""


class Home(NamedTuple):
    """Which other entry was home of a partition at some time; none if us."""

    at: float
    entry: str | None


class Homes:
    """The homes of all partitions, as one entry sees them."""

    def __init__(
        self,
        name: str,
        parts: int,
        directory: Directory,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.parts = parts
        self.directory = directory
        self.clock = clock
        self.suspicions = FailureDetector()
        self.leaving: set[str] = set()
        self.is_leaving = False
        self.orders: dict[int, tuple[str, ...]] = {}
        self.ordered_version = -1
        self.homes: dict[int, Home] = {}
        self.logged: dict[int, str] = {}
        self.watches_until: dict[int, float] = {}
        self.asked_at: dict[int, float] = {}

    def home_of(self, part: int) -> str | None:
        """Return which other entry is home of a partition; none if it is us."""
        now = self.clock()
        known = self.homes.get(part)
        if known is None or now - known.at > HOME_SECONDS:
            known = self.homes[part] = Home(now, self._home_of(part, now))
            self._log_change(part, known.entry or self.name)
        return known.entry

    def _log_change(self, part: int, home: str) -> None:
        before = self.logged.get(part)
        if home == before:
            return
        self.logged[part] = home
        log_decision("budget home changed", part=part, home=home, before=before)

    def on_heard(self, boot: str) -> None:
        """Note that a boot of another entry has sent something."""
        self.suspicions.on_heard(boot)

    def on_asked(self, boot: str) -> None:
        """Note that a boot of another entry was asked for something."""
        self.suspicions.on_asked(boot, self.clock())

    def on_leaving(self, boot: str) -> None:
        """Take a boot that is about to end no more for a home."""
        self.leaving.add(boot)
        self.homes.clear()

    def resign(self) -> None:
        """Be no home any more, unless no other entry is left."""
        self.is_leaving = True
        self.homes.clear()

    def on_asked_as_home(self, part: int) -> list[Announcement]:
        """Take that another entry takes this one for the home of a partition.

        Return whom to ask at once whether they live: those before this one, so that
        it takes over some 0.1 s after the first question.
        """
        if self.home_of(part) is None:
            return []
        now = self.clock()
        self.watches_until[part] = now + ASKED_SECONDS
        if now - self.asked_at.get(part, 0.0) < ANSWER_TIMEOUT:
            return []
        self.asked_at[part] = now
        return self._announced(self._watched(part))

    def on_no_home(self, part: int) -> None:
        """Take note that the supposed home says it is none: one before it lives."""
        for name in self._order(part):
            item = self.directory.announcements.get(name)
            if item is not None:
                self.suspicions.on_heard(item.boot)
        self.homes.pop(part, None)

    def watched(self) -> list[Announcement]:
        """Return whom to ask now whether they live."""
        names = {name for part in range(self.parts) for name in self._watched(part)}
        return self._announced(sorted(names))

    def is_candidate(self) -> bool:
        """Tell whether this entry may become home of a partition at any moment."""
        return any(
            self.name in self._order(part)[:WATCHERS] for part in range(self.parts)
        )

    def _announced(self, names: Iterable[str]) -> list[Announcement]:
        announced = self.directory.announcements
        return [announced[name] for name in names if name in announced]

    def _home_of(self, part: int, now: float) -> str | None:
        for name in self._order(part):
            if name == self.name:
                if not self.is_leaving:
                    return None
            elif self._is_there(name, now):
                return name
        return None

    def _is_there(self, name: str, now: float) -> bool:
        item = self.directory.announcements.get(name)
        if item is None or item.boot in self.leaving:
            return False
        return not self.suspicions.is_suspected(item.boot, now)

    def _watched(self, part: int) -> Iterable[str]:
        """Return the candidates before this one, or the first ones that are suspected.

        The latter are asked so that it is noticed when they are back.
        """
        order = self._order(part)
        place = order.index(self.name) if self.name in order else CANDIDATES
        now = self.clock()
        if place < WATCHERS or self.watches_until.get(part, 0.0) > now:
            return order[:place]
        return [name for name in order[:WATCHERS] if not self._is_there(name, now)]

    def _order(self, part: int) -> tuple[str, ...]:
        directory = self.directory
        if self.ordered_version != directory.version:
            self.ordered_version = directory.version
            self.orders.clear()
            self.homes.clear()
            boots = frozenset(item.boot for item in directory.announcements.values())
            self.suspicions.retain_only(boots)
            self.leaving &= boots
        if part not in self.orders:
            announced = directory.announcements
            weights = {
                name: max(LEAST_CORES, announced[name].cores) for name in announced
            }
            weights.setdefault(self.name, LEAST_CORES)
            self.orders[part] = weighted_rendezvous(
                f"marks-{part}", weights, CANDIDATES
            )
        return self.orders[part]
