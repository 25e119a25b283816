"""What the tables are worked out from, and assumptions that are not measured."""

from typing import NamedTuple

from clementinebend_bench.capacity.tables import Unit
from clementinebend_bench.capacity.target import Target
from clementinebend_bench.experiments.path_loads import DataPlane
from clementinebend_bench.experiments.slopes import Slopes
from clementinebend_entry.heartbeat import HEARTBEATS_PER_SECOND
from clementinebend_entry.settings import EntrySettings

CORE = Unit("% of a core", 0.01)
MEGABYTES = Unit("MB", 1e6)
BYTES_A_SECOND = Unit("B/s", 1.0)
APPENDS = Unit("appends/s", 1.0)

SUBSET: int = EntrySettings._field_defaults["subset_size"]
PLANS_A_SECOND = 4.0
"""Rounds of planning of an idle ledger task; a busy one has more."""

LATER_SUBSET = 5
LATER_PEERS = 40
LATER_REPORT_SECONDS = 4.0
LATER_HEARTBEATS = 4.0
LATER_GRANT_SECONDS = 1_000.0
LATER_BILL_BYTES = 12.0
LATER_APPEND_SECONDS = 2.0
SMALL_DOCUMENT = 100
"""Budgets of a document whose changes cost no more than a change itself."""


class Sources(NamedTuple):
    """One run of each experiment, and the target."""

    slopes: Slopes
    path: DataPlane
    target: Target

    def each(self, name: str) -> float:
        """Return the slope of a line."""
        return self.slopes.lines[name].slope

    def alone(self, name: str) -> float:
        """Return what a line gives at size zero."""
        return self.slopes.lines[name].at_zero

    @property
    def heartbeats(self) -> float:
        """Heartbeats a second that an entry sends, and as many that it gets."""
        return min(self.target.entries - 1, HEARTBEATS_PER_SECOND)

    @property
    def links(self) -> float:
        """Sidecars that an entry keeps links to."""
        return min(self.target.engines, SUBSET * self.target.models)

    @property
    def later_links(self) -> float:
        """The same with smaller subsets."""
        return LATER_SUBSET * self.target.models

    @property
    def sidecar_links(self) -> float:
        """Entries that keep a link to a sidecar."""
        return self.target.entries * self.links / self.target.engines

    @property
    def later_sidecar_links(self) -> float:
        """The same with smaller subsets."""
        return self.target.entries * self.later_links / self.target.engines

    @property
    def sums(self) -> float:
        """Settlement sums a second in the shards that one entry then reads."""
        holders = self.target.home_budgets * self.target.zones
        return holders / LATER_GRANT_SECONDS
