"""Order in which endpoints sent their announcements; the store may execute some late.

A write whose answer was lost may be executed seconds later, after newer ones of the
same endpoint. Its offset is then the highest, so offsets do not tell which announcement
is the newest. The sequence numbers of each boot's announcements do.
"""

from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.metrics import late_announcements
from clementinebend_relay.models import Endpoint

LATE_SECONDS = 30.0
"""Seconds after an announcement or its removal in which earlier ones may be executed.
After that a lower sequence number is that of an endpoint that counts anew."""

MAX_REPLACED_BOOTS = 4
"""Number of replaced boots that are remembered for each endpoint."""

LOG_INTERVAL_SECONDS = 30.0
"""Shortest time in seconds between two log lines on late announcements of one
endpoint."""


class Boot(NamedTuple):
    """What distinguishes the boots under one name.

    ``born`` is the time of birth in Unix milliseconds, None if it is not announced.
    """

    born: int | None
    software_version: str


class NewestAnnouncement(NamedTuple):
    """The newest announcement of an endpoint, applied or removed at ``changed_at``.

    ``is_removed`` is true once its record was removed. ``replaced`` are the times of
    birth of the boots that this one has followed, the last one at the end.
    """

    boot: Boot
    sequence: int | None
    changed_at: float
    is_removed: bool = False
    replaced: tuple[int, ...] = ()


class AnnouncementOrder:
    """The newest announcement of each endpoint, by name; times are monotonic seconds.

    An endpoint that changes nothing is announced once, however long it lives, so those
    with a record are always remembered. ``removed_at`` holds the others in the order of
    their removal, so that the oldest are forgotten without a search.
    """

    def __init__(self) -> None:
        self.newest: dict[str, NewestAnnouncement] = {}
        self.removed_at: dict[str, float] = {}
        self.logged_at: dict[str, float] = {}

    def is_late(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a newer announcement of the endpoint was applied before."""
        self._forget_removed(now)
        newest = self.newest.get(endpoint.name)
        if newest is None or now - newest.changed_at > LATE_SECONDS:
            return False
        if boot_of(endpoint) != newest.boot:
            return endpoint.boot in newest.replaced
        if endpoint.sequence is None or newest.sequence is None:
            return False
        if newest.is_removed:
            return endpoint.sequence <= newest.sequence
        return endpoint.sequence < newest.sequence

    def on_applied(self, endpoint: Endpoint, now: float) -> None:
        """Record that an announcement was applied."""
        before = self.newest.get(endpoint.name)
        self.removed_at.pop(endpoint.name, None)
        boot = boot_of(endpoint)
        replaced = () if before is None else _replaced_boots(before, boot)
        self.newest[endpoint.name] = NewestAnnouncement(
            boot, endpoint.sequence, now, replaced=replaced
        )

    def on_removed(self, name: str, now: float) -> None:
        """Record that the record of an endpoint was removed."""
        newest = self.newest.get(name)
        if newest is None:
            return
        self.newest[name] = newest._replace(changed_at=now, is_removed=True)
        self.removed_at.pop(name, None)
        self.removed_at[name] = now

    def on_ignored(self, endpoint: Endpoint, now: float) -> None:
        """Count a late announcement, and log it unless one was logged recently."""
        late_announcements.inc()
        newest = self.newest[endpoint.name]
        logged_at = self.logged_at.get(endpoint.name)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at[endpoint.name] = now
        log_decision(
            "late announcement ignored",
            endpoint=endpoint.name,
            boot=endpoint.boot,
            sequence=endpoint.sequence,
            is_leaving=endpoint.is_leaving,
            known_boot=newest.boot.born,
            known_sequence=newest.sequence,
            known_age_s=round(now - newest.changed_at, 3),
            is_removed=newest.is_removed,
        )

    def _forget_removed(self, now: float) -> None:
        while self.removed_at:
            name = next(iter(self.removed_at))
            if now - self.removed_at[name] <= LATE_SECONDS:
                return
            del self.removed_at[name]
            del self.newest[name]
            self.logged_at.pop(name, None)


def boot_of(endpoint: Endpoint) -> Boot:
    """Return what distinguishes an announced boot from others under its name.

    An endpoint's software changes only with a restart.
    """
    return Boot(endpoint.boot, endpoint.software_version)


def _replaced_boots(before: NewestAnnouncement, boot: Boot) -> tuple[int, ...]:
    """Return the times of birth, earlier than that of ``boot``, of boots that ended.

    A later time of birth may be announced again: clocks are set back, and forward.
    """
    if boot.born is None:
        return ()
    known = (*before.replaced, before.boot.born)
    earlier = (born for born in known if born is not None and born < boot.born)
    return tuple(dict.fromkeys(earlier))[-MAX_REPLACED_BOOTS:]
