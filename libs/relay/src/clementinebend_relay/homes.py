"""Selects the home of each budget partition and monitors whether it is alive.

All entries compute the same ranking for each partition, weighted by processor cores
because a home serves all calls of a partition. The first entry in it that is not
suspected of being down is the home. Only the next few entries in the ranking watch it;
all others notice that it is down when it does not answer their requests.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from clementinebend_membership.rendezvous import weighted_rendezvous
from clementinebend_membership.suspicion import ANSWER_TIMEOUT, FailureDetector
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Announcement, Directory

HOME_CANDIDATES = 6
"""Number of entries in a partition's ranking that may become its home: more than are
lost at once. If all are lost, the first ones are back as soon as any others."""

HOME_WATCHERS = 3
"""Number of candidates that watch those ranked before them, so that the loss of two at
once is noticed even without calls."""

LIVENESS_CHECK_INTERVAL = 0.2
"""Seconds between liveness checks: three without an answer, and so a failed home, are
noticed within a second."""

WATCH_SECONDS = 2.0
"""Seconds for which a candidate watches those ranked before it after a request
addressed to it as the home: the sender considers them down."""

MIN_CORES = 0.01
"""Minimum number of cores that an entry is ranked with, however few it announces."""

HOME_CACHE_SECONDS = 0.05
"""Seconds for which a home is cached, so that calls need no search."""


class Home(NamedTuple):
    """The home of a partition at some time; ``entry`` is None if it is this entry."""

    at: float
    entry: str | None


class Homes:
    """The homes of all partitions as seen by one entry."""

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
        self.logged_homes: dict[int, str] = {}
        self.watched_until: dict[int, float] = {}
        self.asked_at: dict[int, float] = {}
        self.is_overloaded: Callable[[], bool] = lambda: False

    def home_of(self, part: int) -> str | None:
        """Return the other entry that is a partition's home, or None if this one is."""
        now = self.clock()
        known = self.homes.get(part)
        if known is None or not self._is_valid(known, now):
            known = self.homes[part] = Home(now, self._home_of(part, now))
            self._log_change(part, known.entry or self.name)
        return known.entry

    def _is_valid(self, known: Home, now: float) -> bool:
        """Return whether a cached home need not be determined again."""
        if now - known.at > HOME_CACHE_SECONDS:
            return False
        return known.entry is None or self._is_available(known.entry, now)

    def _log_change(self, part: int, home: str) -> None:
        before = self.logged_homes.get(part)
        if home == before:
            return
        self.logged_homes[part] = home
        log_decision(
            "budget home changed",
            part=part,
            home=home,
            home_unanswered=self._unanswered(home),
            before=before,
            before_unanswered=self._unanswered(before),
        )

    def _unanswered(self, name: str | None) -> int:
        """Return how many requests in a row an entry has left unanswered."""
        item = self.directory.announcements.get(name or "")
        return 0 if item is None else self.suspicions.unanswered_in_a_row(item.boot)

    def on_heard(self, boot: str) -> None:
        """Record that a boot of another entry has sent a message."""
        self.suspicions.on_heard(boot)

    def on_asked(self, boot: str) -> None:
        """Record that a request was sent to a boot of another entry.

        One that an overloaded entry sends may go unanswered due to its own load.
        """
        if not self.is_overloaded():
            self.suspicions.on_asked(boot, self.clock())

    def on_leaving(self, boot: str) -> None:
        """Exclude a boot that is about to end from being a home."""
        self.leaving.add(boot)
        self.homes.clear()

    def resign(self) -> None:
        """Stop being a home, unless no other entry is left."""
        self.is_leaving = True
        self.homes.clear()

    def on_request_as_home(self, part: int) -> list[Announcement]:
        """Handle a request that treats this entry as the home of a partition.

        Return the entries whose liveness to check at once: those ranked before this
        one, so that it takes over some 0.1 s after the first request.
        """
        if self.home_of(part) is None:
            return []
        now = self.clock()
        self.watched_until[part] = now + WATCH_SECONDS
        if now - self.asked_at.get(part, 0.0) < ANSWER_TIMEOUT:
            return []
        self.asked_at[part] = now
        return self._announced(self._watched(part))

    def is_taking_over(self, part: int) -> bool:
        """Return whether this entry is the next home unless one before it answers.

        Each entry before it is down, or has not answered the last check yet.
        """
        order = self._order(part)
        if self.is_leaving or self.name not in order or self.home_of(part) is None:
            return False
        now = self.clock()
        return all(
            not self._is_available(name, now) or self._unanswered(name) > 0
            for name in order[: order.index(self.name)]
        )

    def is_any_taken_over(self) -> bool:
        """Return whether this entry is taking over a partition it was asked for."""
        now = self.clock()
        return any(
            until > now and self.is_taking_over(part)
            for part, until in self.watched_until.items()
        )

    def on_home_denied(self, part: int) -> None:
        """Handle a supposed home's answer that it is none: one before it is alive."""
        for name in self._order(part):
            item = self.directory.announcements.get(name)
            if item is not None:
                self.suspicions.on_heard(item.boot)
        self.homes.pop(part, None)

    def watched(self) -> list[Announcement]:
        """Return the entries whose liveness to check now."""
        names = {name for part in range(self.parts) for name in self._watched(part)}
        return self._announced(sorted(names))

    def is_candidate(self) -> bool:
        """Return whether this entry is among the first candidates of a partition."""
        return any(
            self.name in self._order(part)[:HOME_WATCHERS] for part in range(self.parts)
        )

    def _announced(self, names: Iterable[str]) -> list[Announcement]:
        announced = self.directory.announcements
        return [announced[name] for name in names if name in announced]

    def _home_of(self, part: int, now: float) -> str | None:
        for name in self._order(part):
            if name == self.name:
                if not self.is_leaving:
                    return None
            elif self._is_available(name, now):
                return name
        return None

    def _is_available(self, name: str, now: float) -> bool:
        item = self.directory.announcements.get(name)
        if item is None or item.boot in self.leaving:
            return False
        return not self.suspicions.is_suspected(item.boot, now)

    def _watched(self, part: int) -> Iterable[str]:
        """Return the candidates before this one, or the first ones that are suspected.

        The latter are checked so that their return is noticed.
        """
        order = self._order(part)
        place = order.index(self.name) if self.name in order else HOME_CANDIDATES
        now = self.clock()
        if place < HOME_WATCHERS or self.watched_until.get(part, 0.0) > now:
            return order[:place]
        return [
            name for name in order[:HOME_WATCHERS] if not self._is_available(name, now)
        ]

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
                name: max(MIN_CORES, announced[name].cores) for name in announced
            }
            weights.setdefault(self.name, MIN_CORES)
            self.orders[part] = weighted_rendezvous(
                f"marks-{part}", weights, HOME_CANDIDATES
            )
        return self.orders[part]
