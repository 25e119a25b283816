"""The sizes that the fleet is designed for, and what a node may spend."""

from typing import NamedTuple

SECONDS_A_DAY = 86_400.0


class Target(NamedTuple):
    """All sizes; rates are a second, ``cpu`` is a share of one core."""

    entries: int = 370
    engines: int = 3_400
    requests: float = 44_000.0
    tokens: float = 11e6
    budgets: int = 22_000
    models: int = 12
    zones: int = 13
    changes_a_day: float = 9_800.0
    hosts_changed_a_day: float = 365.0
    appends: float = 400.0
    cpu: float = 0.015
    memory: float = 64e6
    bytes: float = 4_000.0

    @property
    def changes(self) -> float:
        """Configuration changes a second."""
        return self.changes_a_day / SECONDS_A_DAY

    @property
    def hosts(self) -> int:
        """Hosts on the platform's list."""
        return self.entries + self.engines

    @property
    def node_requests(self) -> float:
        """Requests a second of one entry."""
        return self.requests / self.entries

    @property
    def node_tokens(self) -> float:
        """Tokens a second of one entry."""
        return self.tokens / self.entries

    @property
    def home_budgets(self) -> float:
        """Budgets of one entry, if each has one home in each zone."""
        return self.budgets * self.zones / self.entries
