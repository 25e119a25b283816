"""Virtual token counters: who is served next.

Source: Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024).
A team's counter is the tokens served to it, divided by its weight. The
backlogged team with the least counter is served next. A team that comes back
from idleness is lifted to the least counter among the backlogged ones, so it
can neither save up service nor be punished for use that hurt nobody.
"""

from heapq import heappop, heappush
from typing import NamedTuple

from clementinebend_admission.models import Arrival

USED_SHARE_SMOOTHING = 0.1
"""Weight of the newest request in a team's share of its upper bounds used."""

MIN_WEIGHT = 1e-6


class QueuedArrival(NamedTuple):
    """Order in a team's queue: priority, then order of arrival."""

    order: tuple[int, int]
    arrival: Arrival


class TeamState(NamedTuple):
    """Counter and queue of one team.

    ``queue`` is a heap that may hold requests that have left; ``waiting`` maps
    those that are truly there. ``used_share`` is the part of its upper bounds
    that the team's requests use on average.
    """

    weight: float
    counter: float
    queue: list[QueuedArrival]
    waiting: dict[str, Arrival]
    waiting_tokens: int = 0
    used_share: float = 1.0
    running: int = 0


def new_team(weight: float, counter: float) -> TeamState:
    """Return a team with nothing queued."""
    return TeamState(max(MIN_WEIGHT, weight), counter, [], {})


def enqueue(team: TeamState, arrival: Arrival, sequence: int) -> TeamState:
    """Put a request into the team's queue."""
    heappush(team.queue, QueuedArrival((arrival.priority, sequence), arrival))
    team.waiting[arrival.request] = arrival
    return team._replace(waiting_tokens=team.waiting_tokens + arrival.tokens)


def dequeue(team: TeamState, request: str) -> TeamState:
    """Take a request out of the team's queue."""
    arrival = team.waiting.pop(request)
    if not team.waiting:
        team.queue.clear()
    return team._replace(waiting_tokens=team.waiting_tokens - arrival.tokens)


def next_arrival(team: TeamState) -> Arrival | None:
    """Return the request that the team runs next."""
    while team.queue and team.queue[0].arrival.request not in team.waiting:
        heappop(team.queue)
    return team.queue[0].arrival if team.queue else None


def charge(team: TeamState, tokens: float) -> TeamState:
    """Return the team with ``tokens`` served more; negative ones are given back."""
    return team._replace(counter=team.counter + tokens / team.weight)


def raise_counter(team: TeamState, floor: float) -> TeamState:
    """Return the team with its counter not below ``floor``."""
    return team._replace(counter=max(team.counter, floor))


def update_used_share(team: TeamState, bound: int, tokens: int) -> TeamState:
    """Return the team with one more sample of the share of a bound it used."""
    share = min(1.0, tokens / max(1, bound))
    return team._replace(
        used_share=team.used_share + USED_SHARE_SMOOTHING * (share - team.used_share)
    )


def next_team(teams: dict[str, TeamState], backlogged: dict[str, None]) -> str | None:
    """Return the backlogged team with the least counter, first come first."""
    return min(backlogged, key=lambda name: teams[name].counter, default=None)


def tokens_ahead(
    teams: dict[str, TeamState], backlogged: dict[str, None], arrival: Arrival
) -> float:
    """Return the queued tokens that are served before ``arrival``.

    Of its own team these are all that go before it or along with it; of another one
    what that team may be served until its counter is level with this team's.
    """
    own = teams[arrival.team]
    ahead = float(
        sum(
            queued.tokens
            for queued in own.waiting.values()
            if queued.priority <= arrival.priority
        )
    )
    level = own.counter + ahead * own.used_share / own.weight
    others = (
        _tokens_before_level(teams[name], level)
        for name in backlogged
        if name != arrival.team
    )
    return ahead + sum(others)


def _tokens_before_level(team: TeamState, level: float) -> float:
    served = (level - team.counter) * team.weight / max(MIN_WEIGHT, team.used_share)
    if served <= 0:
        return 0.0
    return min(served, float(team.waiting_tokens))
