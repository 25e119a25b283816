"""Which other entries are dead long enough to close their holders.

Membership joins the platform's list of hosts with what links see. To that
comes the log: an entry that writes there is alive, whatever else is cut off.
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

LONGEST_DOUBLING = 10
NEVER_SEEN = Incarnation("")


class Reach:
    """Joins what links, the list of hosts and streams tell of other entries.

    ``first_patience`` is how long a suspect may be silent on the log before
    its holder is closed, in seconds; each close doubles it until the entry is
    seen again, since a live one would only come back as another holder.
    """

    def __init__(self, names: Iterable[str], first_patience: float, now: float) -> None:
        self.first_patience = first_patience
        self.peers = frozenset(names)
        self.view = empty_view()
        self.written_at: dict[str, float] = {}
        self.closes: dict[str, int] = {}
        for name in self.peers:
            self.on_down(name, NEVER_SEEN, now)

    def on_up(self, name: str, incarnation: Incarnation, now: float) -> None:
        """Take in that an entry can be reached."""
        self.view = on_direct_evidence(
            self.view, name, incarnation, Evidence.REACHABLE, now
        )
        self.closes.pop(name, None)

    def on_down(self, name: str, incarnation: Incarnation, now: float) -> None:
        """Take in that an entry cannot be reached any more."""
        self.view = on_direct_evidence(
            self.view, name, incarnation, Evidence.UNREACHABLE, now
        )

    def on_hosts(self, hosts: Iterable[ListedHost], now: float) -> None:
        """Take in the platform's list of hosts."""
        self.view = on_host_list(self.view, hosts, now)

    def on_holder(self, holder: Incarnation, now: float) -> None:
        """Take in a holder; of an entry that is no peer nothing is seen."""
        name = process_name_of(holder)
        if name not in self.peers:
            self.on_down(name, holder, now)

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Take in that a batch of an entry was read on the log."""
        self.written_at[process_name_of(writer)] = now

    def on_close(self, name: str) -> None:
        """Take in that this entry closes a holder of ``name``."""
        self.closes[name] = self.closes.get(name, 0) + 1

    def overdue(self, now: float) -> Mapping[str, float]:
        """Return for how many seconds each suspect has been due to be closed."""
        return {
            name: now - self.written_at.get(name, 0.0) - self.patience(name)
            for name in suspects(self.view, now)
        }

    def patience(self, name: str) -> float:
        """Return how long a suspect may be silent on the log, in seconds."""
        closes = min(self.closes.get(name, 0), LONGEST_DOUBLING)
        return float(self.first_patience * 2**closes)
