"""The order in which waiting prompts get their turn. No I/O.

A waiting priority that got less than ``MIN_PRIORITY_SHARE`` of the recent tokens
precedes all others, even with late prompts. Otherwise prompts that can still be on time
precede late ones, then come priorities, 0 being the most urgent. Within a priority the
team that was served the fewest tokens recently precedes, then the prompt with the
earliest ``since``.

Counters decay, so that teams compete by what they got lately. Times are in seconds on
a monotonic clock, amounts in tokens.
"""

from collections.abc import Callable, Collection
from heapq import nsmallest
from math import exp, inf
from typing import NamedTuple

WINDOW_SECONDS = 3.0
"""Time constant of the counters: long enough to average over prompts of different
sizes, short enough for a team's former load to be forgotten within a few seconds."""

CREDIT_SECONDS = 0.25
"""How far a team's counter may lie below the lowest of the other active teams, in
seconds of the whole service. A team below its share stays below the others, and one
that returns after a pause takes no more than this before the others get their part."""

ACTIVE_SECONDS = 3.0
"""How long a team counts as active after its last prompt."""

MIN_PRIORITY_SHARE = 0.11
"""Share of the recent tokens below which a waiting priority precedes more urgent ones.
It gets a tenth in all, as it must still wait for an endpoint with room."""

MAX_TEAMS = 1_000
"""Maximum number of teams with a counter; the one that was active least recently is
dropped."""

LEAST_VALID_SECONDS = 0.05
"""How long the lowest counters of the active teams are reused: finding them takes a
pass over all teams."""

MIN_LEVEL = 1e-3
"""Tokens below which a counter counts as empty."""


class Turn(NamedTuple):
    """What decides on the turn of a prompt.

    ``since`` orders the prompts of one team, the earliest first.
    """

    request: str
    priority: int
    team: str
    is_on_time: bool
    since: float


class TeamService(NamedTuple):
    """The level of a team's counter at ``at``, and when the team was last active."""

    level: float
    at: float
    active_at: float


TurnKey = tuple[bool, bool, int, float, float, str]


def turn_key(turn: Turn, is_starved: bool, level: float) -> TurnKey:
    """Return the sort key of a prompt whose team has a ``level`` of tokens served."""
    return (
        not is_starved,
        not turn.is_on_time,
        turn.priority,
        level,
        turn.since,
        turn.request,
    )


class ServedTokens:
    """The tokens served recently, by team and by priority; they decay."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamService] = {}
        self.priorities: dict[int, float] = {}
        self.lowest: list[tuple[float, str]] = []
        self.credit = 0.0
        self.lowest_at = -inf
        self.decayed_at = 0.0

    def on_active(self, team: str, now: float) -> None:
        """Record that a team has a prompt; it keeps little credit from a pause."""
        level = max(self.level(team, now), self._least_level(team, now))
        self._store(team, TeamService(level, now, now))

    def on_served(self, team: str, priority: int, tokens: int, now: float) -> None:
        """Charge a prompt to its team and priority."""
        self._store(team, TeamService(self.level(team, now) + tokens, now, now))
        self._decay_priorities(now)
        self.priorities[priority] = self.priorities.get(priority, 0.0) + tokens

    def level(self, team: str, now: float) -> float:
        """Return the tokens served to a team, decayed to ``now``."""
        service = self.teams.get(team)
        if service is None:
            return 0.0
        return service.level * decay(now - service.at)

    def total(self, now: float) -> float:
        """Return the tokens served to all teams, decayed to ``now``."""
        return sum(self.level(team, now) for team in self.teams)

    def starved_priority(self, waiting: Collection[int], now: float) -> int | None:
        """Return the waiting priority that gets less than its least share, if any.

        Of several it is the one with the fewest tokens. A priority that waits alone is
        not starved, nor is the most urgent one, which precedes anyway.
        """
        self._decay_priorities(now)
        total = sum(self.priorities.values())
        if len(waiting) < 2 or total <= MIN_LEVEL:
            return None
        others = sorted(waiting)[1:]
        least = min(others, key=lambda each: self.priorities.get(each, 0.0))
        is_starved = self.priorities.get(least, 0.0) < MIN_PRIORITY_SHARE * total
        return least if is_starved else None

    def _least_level(self, team: str, now: float) -> float:
        """Return the level below which a team that becomes active is raised."""
        if now - self.lowest_at >= LEAST_VALID_SECONDS:
            self._find_lowest(now)
        others = [level for level, other in self.lowest if other != team]
        return min(others) - self.credit if others else 0.0

    def _find_lowest(self, now: float) -> None:
        """Find the two active teams with the lowest levels."""
        active = (
            (self.level(team, now), team)
            for team, service in self.teams.items()
            if now - service.active_at < ACTIVE_SECONDS
        )
        self.lowest = nsmallest(2, active)
        self.credit = self.total(now) * CREDIT_SECONDS / WINDOW_SECONDS
        self.lowest_at = now

    def _store(self, team: str, service: TeamService) -> None:
        self.teams.pop(team, None)
        self.teams[team] = service
        if len(self.teams) > MAX_TEAMS:
            del self.teams[next(iter(self.teams))]

    def _decay_priorities(self, now: float) -> None:
        factor = decay(now - self.decayed_at)
        decayed = {each: left * factor for each, left in self.priorities.items()}
        self.priorities = {
            each: left for each, left in decayed.items() if left > MIN_LEVEL
        }
        self.decayed_at = now


def decay(elapsed: float) -> float:
    """Return the factor by which counters have decayed after ``elapsed`` seconds."""
    return exp(-max(0.0, elapsed) / WINDOW_SECONDS)


def order_key(
    served: ServedTokens,
    waiting: Collection[int],
    level: Callable[[str], float],
    now: float,
) -> Callable[[Turn], TurnKey]:
    """Return the sort key of the prompts of the ``waiting`` priorities.

    ``level`` returns the tokens that a team was served recently.
    """
    starved = served.starved_priority(waiting, now)
    return lambda turn: turn_key(turn, turn.priority == starved, level(turn.team))
