"""Whether the load that took this entry out of rotation still comes to its zone.

The load balancer sends a client to the same entry again as soon as that is back in
rotation. An entry that returns while its heaviest team goes on would be overloaded
again, so it asks the other entries of its zone how many calls that team sends them.
What they already got before the load balancer noticed the departure is not that load:
a team may have other clients.
"""

from collections.abc import Callable
from typing import NamedTuple

from clementinebend_admission.team_rates import TeamRate
from clementinebend_relay.messages import TeamRateMessage

VALID_SECONDS = 1.5
"""Seconds for which an answer is valid: three times the interval of the questions."""

PERSISTING_SHARE = 1 / 3
"""Share of the team's rate at the departure from which its load persists. Demand comes
in bursts, and a part of it may have ended."""

MAX_ANSWERS = 1_000
"""Maximum number of entries whose answers are kept."""


class RateAnswer(NamedTuple):
    """The team's calls a second at another entry, at first and as last heard ``at``."""

    first: float
    rate: float
    at: float


class DepartedLoad:
    """The heaviest team as of this entry's departure, and what others get of it."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.heaviest: TeamRate | None = None
        self.shed_rate = 0.0
        self.answers: dict[str, RateAnswer] = {}

    @property
    def team(self) -> str:
        """The team to ask the others about, empty if there is none."""
        return "" if self.heaviest is None else self.heaviest.team

    def on_departure(self, heaviest: TeamRate | None, shed_rate: float = 0.0) -> None:
        """Remember the heaviest team; earlier answers no longer count.

        ``shed_rate`` is how many of its calls a second were shed here: their retries
        reach the others already.
        """
        self.heaviest = heaviest
        self.shed_rate = shed_rate
        self.answers.clear()

    def on_return(self) -> None:
        """Forget the load, as the entry gets calls again."""
        self.on_departure(None)

    def on_message(self, message: TeamRateMessage) -> None:
        """Keep the answer of another entry."""
        if not self.team or message.team != self.team:
            return
        known = self.answers.get(message.boot)
        if known is None and len(self.answers) >= MAX_ANSWERS:
            return
        first = message.rate if known is None else known.first
        self.answers[message.boot] = RateAnswer(first, message.rate, self.clock())

    def moved_rate(self) -> float | None:
        """Return how many more of the team's calls a second the others get by now.

        None if none of them has answered recently.
        """
        oldest = self.clock() - VALID_SECONDS
        valid = [each for each in self.answers.values() if each.at >= oldest]
        if not valid:
            return None
        return self.shed_rate + sum(each.rate - each.first for each in valid)

    def persists(self) -> bool:
        """Return whether the others now get much of what the team sent here."""
        moved = self.moved_rate()
        if self.heaviest is None or moved is None:
            return False
        return moved >= PERSISTING_SHARE * self.heaviest.rate
