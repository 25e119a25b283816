"""How many calls a second each team sends to this entry. No I/O.

Times are in seconds on a monotonic clock, rates in calls a second.
"""

from collections import OrderedDict
from math import exp
from typing import NamedTuple

RATE_SECONDS = 0.5
"""Time constant in seconds of the moving averages. An entry may leave rotation within a
second of a client's first call, and must know that client's rate by then."""

MAX_TEAMS = 256
"""Maximum number of teams counted; the one that called least recently is dropped."""

HEAVY_SHARE = 0.3
"""Share of an entry's calls from which a team is its heaviest one. Without such a team
no single one explains the load."""


class TeamRate(NamedTuple):
    """A team's calls a second."""

    team: str
    rate: float


class CountedCalls(NamedTuple):
    """Moving average of calls a second, as of ``at``."""

    rate: float
    at: float


class TeamRates:
    """Moving averages of the calls of each team."""

    def __init__(self) -> None:
        self.teams: OrderedDict[str, CountedCalls] = OrderedDict()

    def add(self, team: str, now: float) -> None:
        """Count a call."""
        rate = self.rate(team, now) + 1.0 / RATE_SECONDS
        self.teams[team] = CountedCalls(rate, now)
        self.teams.move_to_end(team)
        if len(self.teams) > MAX_TEAMS:
            self.teams.popitem(last=False)

    def rate(self, team: str, now: float) -> float:
        """Return the calls a second of a team."""
        counted = self.teams.get(team)
        if counted is None:
            return 0.0
        return counted.rate * exp(-max(0.0, now - counted.at) / RATE_SECONDS)

    def heaviest(self, now: float) -> TeamRate | None:
        """Return the team with the most calls, None if its share is small."""
        rates = [TeamRate(team, self.rate(team, now)) for team in self.teams]
        most = max(rates, key=lambda each: each.rate, default=None)
        total = sum(each.rate for each in rates)
        if most is None or most.rate < HEAVY_SHARE * total:
            return None
        return most
