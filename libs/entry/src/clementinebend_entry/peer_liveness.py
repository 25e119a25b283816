"""Determines which other entries are dead long enough to close their holders.

Membership combines the platform's list of hosts with the state of links. The
log adds to it: an entry that writes there is alive, even if all its links are
down.
"""

from collections.abc import Iterable, Mapping

from clementinebend_membership.view import (
    Evidence,
    ListedHost,
    empty_view,
    on_direct_evidence,
    on_host_list,
    suspects,
)
from clementinebend_records.identifiers import Incarnation, process_name_of

MAX_DOUBLINGS = 10
NEVER_SEEN = Incarnation("")


class PeerLiveness:
    """Combines the evidence of links, the host list and the log on other entries.

    ``initial_silence_limit`` is how long a suspect may write nothing to the log
    before its holder is closed, in seconds. Each close doubles the limit until the
    entry is reachable again, since a live entry would only return with another
    holder.
    """

    def __init__(
        self, names: Iterable[str], initial_silence_limit: float, now: float
    ) -> None:
        self.initial_silence_limit = initial_silence_limit
        self.peers = frozenset(names)
        self.view = empty_view()
        self.written_at: dict[str, float] = {}
        self.closes: dict[str, int] = {}
        for name in self.peers:
            self.on_down(name, NEVER_SEEN, now)

    def on_up(self, name: str, incarnation: Incarnation, now: float) -> None:
        """Record that an entry is reachable."""
        self.view = on_direct_evidence(
            self.view, name, incarnation, Evidence.REACHABLE, now
        )
        self.closes.pop(name, None)

    def on_down(self, name: str, incarnation: Incarnation, now: float) -> None:
        """Record that an entry is no longer reachable."""
        self.view = on_direct_evidence(
            self.view, name, incarnation, Evidence.UNREACHABLE, now
        )

    def on_hosts(self, hosts: Iterable[ListedHost], now: float) -> None:
        """Update the view with the platform's list of hosts."""
        self.view = on_host_list(self.view, hosts, now)

    def on_holder(self, holder: Incarnation, now: float) -> None:
        """Record a holder of an entry that is no peer as unreachable.

        There is no link to such an entry that could show whether it is alive.
        """
        name = process_name_of(holder)
        if name not in self.peers:
            self.on_down(name, holder, now)

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Record that a batch written by an entry was read from the log."""
        self.written_at[process_name_of(writer)] = now

    def on_close(self, name: str) -> None:
        """Record that this entry closes a holder of the entry ``name``."""
        self.closes[name] = self.closes.get(name, 0) + 1

    def overdue(self, now: float) -> Mapping[str, float]:
        """Return for how many seconds each suspect has been due for closing.

        The value is negative while the suspect is not due.
        """
        return {
            name: now - self.written_at.get(name, 0.0) - self.log_silence_limit(name)
            for name in suspects(self.view, now)
        }

    def log_silence_limit(self, name: str) -> float:
        """Return how long a suspect may write nothing to the log, in seconds."""
        closes = min(self.closes.get(name, 0), MAX_DOUBLINGS)
        return float(self.initial_silence_limit * 2**closes)
