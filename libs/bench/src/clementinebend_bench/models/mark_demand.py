"""Seeded demand on prepaid budgets, for a minute of a small fleet."""

from itertools import accumulate, takewhile
from random import Random
from typing import NamedTuple

TEAMS = 6
CALLS_PER_SECOND = 60.0
MEAN_TOKENS = 4_000
LARGEST_TOKENS = 40_000
LEAST_PART = 0.6
"""Least part of what a call may cost that it does cost."""

LONGEST_CALL = 1.2
"""Seconds that a call takes at most."""

DRAFT_PART = 0.25
"""Part of the calls that are long drafts, where there are any."""

DRAFT_TOKENS = 12_000
DRAFT_SECONDS = (1.0, 2.0)
"""How long a draft takes, from and to."""


class MarkCall(NamedTuple):
    """One call: what it may cost, what it does cost, and how long it takes."""

    at: float
    entry: int
    team: str
    most: int
    cost: int
    seconds: float


def team_name(number: int) -> str:
    """Return the name of a team."""
    return f"team-{number}"


def make_calls(
    entries: int,
    seconds: float,
    hot: tuple[float, float] | None,
    seed: int,
    has_drafts: bool = False,
) -> tuple[MarkCall, ...]:
    """Return the calls of all teams, which differ in size, in order of time.

    In the span ``hot`` the first team sends six times its usual. With ``has_drafts``
    some calls are large and take long.
    """
    random = Random(seed)
    calls: list[MarkCall] = []
    for number in range(TEAMS):
        rate = CALLS_PER_SECOND / TEAMS * 2 * (number + 1) / (TEAMS + 1)
        calls.extend(_team_calls(random, number, rate, entries, 0.0, seconds))
    if hot is not None:
        rate = 5 * CALLS_PER_SECOND / TEAMS * 2 / (TEAMS + 1)
        calls.extend(_team_calls(random, 0, rate, entries, *hot))
    if has_drafts:
        calls = [_as_draft(random, call) for call in calls]
    return tuple(sorted(calls))


def _team_calls(
    random: Random, number: int, rate: float, entries: int, start: float, end: float
) -> list[MarkCall]:
    gaps = iter(lambda: random.expovariate(rate), None)
    times = takewhile(lambda at: at < end, accumulate(gaps, initial=start))
    return [_call(random, at, number, entries) for at in times]


def _call(random: Random, at: float, number: int, entries: int) -> MarkCall:
    most = min(LARGEST_TOKENS, 1 + int(random.expovariate(1 / MEAN_TOKENS)))
    cost = max(1, int(most * random.uniform(LEAST_PART, 1.0)))
    seconds = random.uniform(0.1, LONGEST_CALL)
    entry = random.randrange(entries)
    return MarkCall(at, entry, team_name(number), most, cost, seconds)


def _as_draft(random: Random, call: MarkCall) -> MarkCall:
    """Return some calls as drafts, the others as they are."""
    if random.random() >= DRAFT_PART:
        return call
    most = min(LARGEST_TOKENS, 1 + int(random.expovariate(1 / DRAFT_TOKENS)))
    cost = max(1, int(most * random.uniform(LEAST_PART, 1.0)))
    return call._replace(most=most, cost=cost, seconds=random.uniform(*DRAFT_SECONDS))
