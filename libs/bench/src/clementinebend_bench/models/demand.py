"""Seeded demand on prepaid budgets: who asks where, for how much, for how long.

Teams are local: most of a team's requests reach the entries of its own
availability zone, as franchised desks and lodges do. Amounts are in tokens.
"""

from collections import defaultdict
from collections.abc import Iterator
from math import log
from random import Random
from typing import NamedTuple

ZONES = ("zilina-a", "zilina-b", "bystrica-a", "bystrica-b")
ENTRIES_PER_ZONE = 2

TEAM_SIZES = (8, 6, 5, 2, 2, 1, 1, 1, 1, 1)
"""Relative traffic of ten teams, a few of them large."""

HOME_SHARE = 0.6
"""Part of a team's requests that reach its home zone."""

BURST_SECONDS = 40.0
BURST_FACTORS = (0.3, 1.7)
"""Factors on a team's rate; it changes between them at random times."""

PROMPT_BYTES_MEDIAN = 600
PROMPT_SIGMA = 0.7
BYTES_PER_TOKEN = 4
OUTPUT_MEDIAN = 60
OUTPUT_SIGMA = 0.8
OUTPUT_LIMIT = 512
"""Output tokens that a caller allows: the reservation counts all of them."""

TOKENS_PER_SECOND = 35.0
FIRST_TOKEN_SECONDS = 0.2


class Spending(NamedTuple):
    """One request: its upper bound is reserved, its cost is billed."""

    number: int
    time: float
    entry: str
    budget: str
    bound: int
    cost: int
    seconds: float


def entries() -> tuple[str, ...]:
    """Return all entries; the zone is the part before the dot."""
    return tuple(f"{zone}.{number}" for zone in ZONES for number in range(2))


def zone_of(entry: str) -> str:
    """Return the availability zone of an entry."""
    return entry.partition(".")[0]


def budgets() -> tuple[str, ...]:
    """Return the names of the budgets, one for each team."""
    return tuple(f"team-{number}" for number in range(len(TEAM_SIZES)))


def make_demand(
    rate: float, seconds: float, seed: int, home_share: float = HOME_SHARE
) -> tuple[Spending, ...]:
    """Return all requests in order of time, ``rate`` a second over all teams."""
    total = sum(TEAM_SIZES)
    rows = [
        row
        for number, size in enumerate(TEAM_SIZES)
        for row in _team_demand(number, rate * size / total, seconds, seed, home_share)
    ]
    rows.sort(key=lambda row: row.time)
    return tuple(row._replace(number=number) for number, row in enumerate(rows))


def demand_by_budget(demand: tuple[Spending, ...]) -> dict[str, int]:
    """Return what all requests of each budget cost together."""
    costs: dict[str, int] = defaultdict(int)
    for row in demand:
        costs[row.budget] += row.cost
    return dict(costs)


def _team_demand(
    number: int, rate: float, seconds: float, seed: int, home_share: float
) -> Iterator[Spending]:
    random = Random(f"{seed}/{number}")
    home = ZONES[number % len(ZONES)]
    for time in _times(rate, seconds, random):
        zone = home if random.random() < home_share else random.choice(ZONES)
        entry = f"{zone}.{random.randrange(ENTRIES_PER_ZONE)}"
        prompt = int(random.lognormvariate(log(PROMPT_BYTES_MEDIAN), PROMPT_SIGMA))
        output = int(random.lognormvariate(log(OUTPUT_MEDIAN), OUTPUT_SIGMA))
        output = max(1, min(OUTPUT_LIMIT, output))
        cost = -(-prompt // BYTES_PER_TOKEN) + output
        duration = FIRST_TOKEN_SECONDS + output / TOKENS_PER_SECOND
        bound = prompt + OUTPUT_LIMIT
        yield Spending(0, time, entry, f"team-{number}", bound, cost, duration)


def _times(rate: float, seconds: float, random: Random) -> Iterator[float]:
    time, factor, phase_end = 0.0, 1.0, 0.0
    while time < seconds:
        if time >= phase_end:
            factor = random.choice(BURST_FACTORS)
            phase_end = time + random.expovariate(1 / BURST_SECONDS)
        time += random.expovariate(rate * factor)
        yield min(time, seconds)
