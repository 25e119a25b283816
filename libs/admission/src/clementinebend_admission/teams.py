"""Virtual token counters, which determine the team to serve next.

Source: Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024).
A team's counter is the tokens served to it, divided by its weight. The
backlogged team with the lowest counter is served next. When a team that has
nothing waiting sends a request, its counter is raised to at least the lowest
counter of the backlogged teams, or to the ``floor`` of the state if there are none.
So a team cannot accumulate service while idle, and is not penalized for service that
it got while no other team waited.
"""

from heapq import heappop, heappush
from typing import NamedTuple

from clementinebend_admission.models import Arrival

USED_SHARE_SMOOTHING = 0.1
"""Weight of the newest request in the moving average ``used_share``."""

MIN_WEIGHT = 1e-6


class QueuedArrival(NamedTuple):
    """A queued request; ``order`` is its priority, then its sequence number."""

    order: tuple[int, int]
    arrival: Arrival


class TeamState(NamedTuple):
    """Counter and queue of one team.

    ``queue`` is a heap that may still hold removed requests; ``waiting`` holds the
    requests actually queued. ``used_share`` is the moving average of the fraction
    of their upper bounds that the team's requests use.
    """

    weight: float
    counter: float
    queue: list[QueuedArrival]
    waiting: dict[str, Arrival]
    waiting_tokens: int = 0
    used_share: float = 1.0
    running: int = 0


def new_team(weight: float, counter: float) -> TeamState:
    """Return a team with an empty queue."""
    return TeamState(max(MIN_WEIGHT, weight), counter, [], {})


def enqueue(team: TeamState, arrival: Arrival, sequence: int) -> TeamState:
    """Add a request to the team's queue."""
    heappush(team.queue, QueuedArrival((arrival.priority, sequence), arrival))
    team.waiting[arrival.request] = arrival
    return team._replace(waiting_tokens=team.waiting_tokens + arrival.tokens)


def dequeue(team: TeamState, request: str) -> TeamState:
    """Remove a request from the team's queue."""
    arrival = team.waiting.pop(request)
    if not team.waiting:
        team.queue.clear()
    return team._replace(waiting_tokens=team.waiting_tokens - arrival.tokens)


def next_arrival(team: TeamState) -> Arrival | None:
    """Return the first request in the team's queue, or None if it is empty."""
    while team.queue and team.queue[0].arrival.request not in team.waiting:
        heappop(team.queue)
    return team.queue[0].arrival if team.queue else None


def charge(team: TeamState, tokens: float) -> TeamState:
    """Return the team charged for ``tokens``; a negative number is a refund."""
    return team._replace(counter=team.counter + tokens / team.weight)


def raise_counter(team: TeamState, floor: float) -> TeamState:
    """Return the team with its counter raised to at least ``floor``."""
    return team._replace(counter=max(team.counter, floor))


def update_used_share(team: TeamState, bound: int, tokens: int) -> TeamState:
    """Return the team with ``used_share`` updated by a finished request."""
    share = min(1.0, tokens / max(1, bound))
    return team._replace(
        used_share=team.used_share + USED_SHARE_SMOOTHING * (share - team.used_share)
    )


def next_team(teams: dict[str, TeamState], backlogged: dict[str, None]) -> str | None:
    """Return the team with the lowest counter; the first backlogged wins a tie."""
    return min(backlogged, key=lambda name: teams[name].counter, default=None)


def tokens_ahead(
    teams: dict[str, TeamState], backlogged: dict[str, None], arrival: Arrival
) -> float:
    """Return the queued tokens that are served before ``arrival``.

    From its own team these are all requests of the same or a more urgent priority;
    from another team, what is served until its counter reaches the counter that
    this team will have by then.
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
