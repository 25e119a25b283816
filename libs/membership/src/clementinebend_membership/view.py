"""Host availability from the platform's lagging host list and direct observations.

The list lags, so a direct observation that is newer than the last change in the list
takes precedence. Times are monotonic seconds of this process. A view only affects where
work is sent: a host wrongly considered dead refuses requests and never causes a second
bill.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple, Protocol

from clementinebend_records.identifiers import Incarnation

EVIDENCE_SECONDS = 15.0
"""Direct evidence older than this is ignored, and the list decides."""

ABSENT_SUSPECT_SECONDS = 2.0
"""A host missing from the list is suspect after being unreachable this long."""

LISTED_SUSPECT_SECONDS = 30.0
"""A host in the list is suspect only after being unreachable this long."""

FORGET_SECONDS = 3600.0
"""A host missing from the list is removed when its evidence is older than this."""

LIVE = "live"
LEAVING = "leaving"


class Evidence(StrEnum):
    """A direct observation of a host by this process."""

    REACHABLE = "reachable"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


class ListedHost(Protocol):
    """A host in the platform's list; ``state`` is ``live`` or ``leaving``."""

    @property
    def name(self) -> str:
        """Name of the host."""

    @property
    def address(self) -> str:
        """Address of the host, as ``ip:port``."""

    @property
    def zone(self) -> str:
        """Availability zone of the host."""

    @property
    def state(self) -> str:
        """State of the host, ``live`` or ``leaving``."""


class HostEntry(NamedTuple):
    """A copy of a host's entry in the list."""

    name: str
    address: str
    zone: str
    state: str


class HostView(NamedTuple):
    """State of one host.

    ``listed`` is its entry in the list (None if absent), ``listed_since`` the time of
    the last change of its listed state. ``evidence`` was last observed at ``seen_at``
    and first at ``evidence_since``. ``left`` means that the host was seen leaving and
    stays set for the rest of ``incarnation``.
    """

    listed: HostEntry | None = None
    listed_since: float = 0.0
    incarnation: Incarnation = Incarnation("")
    evidence: Evidence | None = None
    evidence_since: float = 0.0
    seen_at: float = 0.0
    left: bool = False


class View(NamedTuple):
    """All known hosts, by name."""

    hosts: dict[str, HostView]


UNKNOWN = HostView()


def empty_view() -> View:
    """Return a view without hosts."""
    return View({})


def on_host_list(view: View, hosts: Iterable[ListedHost], now: float) -> View:
    """Apply a host list that was just read from the platform."""
    listed = {
        host.name: HostEntry(host.name, host.address, host.zone, host.state)
        for host in hosts
    }
    for name in {*view.hosts, *listed}:
        known = view.hosts.get(name, UNKNOWN)
        view.hosts[name] = _with_entry(known, listed.get(name), now)
    forgotten = [name for name, host in view.hosts.items() if _is_expired(host, now)]
    for name in forgotten:
        del view.hosts[name]
    return view


def on_direct_evidence(
    view: View, name: str, incarnation: Incarnation, evidence: Evidence, now: float
) -> View:
    """Apply a direct observation of a host.

    ``incarnation`` is the one that answered, or the one that stopped answering.
    ``UNREACHABLE`` for an incarnation other than the known one is ignored.
    """
    known = view.hosts.get(name, UNKNOWN)
    is_new = incarnation != known.incarnation
    if is_new and known.incarnation and evidence is Evidence.UNREACHABLE:
        return view
    base = known._replace(evidence=None, left=False) if is_new else known
    observed_since = now if evidence is not base.evidence else base.evidence_since
    view.hosts[name] = base._replace(
        incarnation=incarnation,
        evidence=evidence,
        evidence_since=observed_since,
        seen_at=now,
        left=base.left or evidence is Evidence.LEAVING,
    )
    return view


def usable(view: View, name: str, now: float) -> bool:
    """Return whether new work may be sent to a host."""
    host = view.hosts.get(name, UNKNOWN)
    if host.left:
        return False
    if _is_current(host, now) and host.evidence is Evidence.UNREACHABLE:
        return False
    if _is_current(host, now) and host.seen_at > host.listed_since:
        return True
    return host.listed is not None and host.listed.state == LIVE


def suspects(view: View, now: float) -> tuple[str, ...]:
    """Return the hosts unreachable for so long that their holders may be closed."""
    return tuple(name for name, host in view.hosts.items() if _is_suspect(host, now))


def _with_entry(host: HostView, entry: HostEntry | None, now: float) -> HostView:
    if _state_of(entry) == _state_of(host.listed):
        return host._replace(listed=entry)
    return host._replace(listed=entry, listed_since=now)


def _state_of(entry: HostEntry | None) -> str | None:
    return None if entry is None else entry.state


def _is_current(host: HostView, now: float) -> bool:
    return host.evidence is not None and now - host.seen_at < EVIDENCE_SECONDS


def _is_suspect(host: HostView, now: float) -> bool:
    if host.evidence is not Evidence.UNREACHABLE:
        return False
    limit = LISTED_SUSPECT_SECONDS if host.listed else ABSENT_SUSPECT_SECONDS
    return now - host.evidence_since >= limit


def _is_expired(host: HostView, now: float) -> bool:
    if host.listed is not None:
        return False
    return host.evidence is None or now - host.seen_at >= FORGET_SECONDS
