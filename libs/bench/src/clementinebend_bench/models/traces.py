"""Seeded traces: bursts, shared prompt prefixes, long tails of output length.

A load of 1.0 is the rate at which a service's engines are busy all the time
when ``cached_share`` of the prompt tokens is found in their caches, whichever
of slots or prefill is short. Experiments take the share that round robin gets,
so that loads are shares of what the engines carry without any routing policy.
"""

from collections import defaultdict
from collections.abc import Iterator
from math import log
from random import Random
from typing import NamedTuple

from clementinebend_bench.models.deployments import Deployment, TeamProfile
from clementinebend_bench.models.engine import (
    BATCH_COST,
    BLOCK_TOKENS,
    EngineSize,
    prefill_seconds,
)

OUTPUT_MEDIAN = 40
OUTPUT_SIGMA = 0.9
OUTPUT_LIMIT = 600

TEMPLATE_BLOCKS = (24, 56)
"""Least and most blocks of a prompt prefix that a team's requests share."""

TAIL_BLOCKS = (2, 8)
TURN_BLOCKS = (2, 5)
CONTINUED_SHARE = 0.3
"""Requests that continue an earlier conversation of their team."""

MEAN_SAMPLES = 20_000
"""Samples from which the mean size of a request is worked out."""

CONVERSATIONS_KEPT = 20
PROMPT_LIMIT_BLOCKS = 96

BURST_SECONDS = 8.0
BURST_FACTORS = (0.4, 1.6)
"""Factors on a team's rate; it changes between them at random times."""


class Request(NamedTuple):
    """One request of a trace; ``entry`` is the zone whose entry gets it."""

    request: str
    time: float
    entry: str
    team: str
    service: str
    blocks: tuple[str, ...]
    output: int

    @property
    def prompt(self) -> int:
        """Return the length of the prompt in tokens."""
        return len(self.blocks) * BLOCK_TOKENS


class Phase(NamedTuple):
    """A time in which a team's rate is ``factor`` times a common one."""

    start: float
    length: float
    factor: float


def make_trace(
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    cached_share: float = 0.0,
) -> tuple[Request, ...]:
    """Return all requests of a deployment in order of time."""
    rate = load / engine_seconds(deployment.size, cached_share)
    requests = [
        request
        for pool in deployment.pools
        for team in deployment.teams
        for request in _team_requests(
            deployment, pool.service, team, rate * pool.engines, seconds, seed
        )
    ]
    return tuple(sorted(requests, key=lambda request: request.time))


def engine_seconds(size: EngineSize, cached_share: float) -> float:
    """Return the time of an engine that a mean request takes."""
    random = Random(0)
    samples = [
        (output_length(random), _mean_prompt(random)) for _ in range(MEAN_SAMPLES)
    ]
    output = sum(length for length, _ in samples) / MEAN_SAMPLES
    prompt = sum(length for _, length in samples) / MEAN_SAMPLES
    prefill = prefill_seconds(size, round(prompt * (1 - cached_share)))
    step = size.step * (1 + BATCH_COST * size.slots)
    return max(prefill, (prefill + step * output) / size.slots)


def _mean_prompt(random: Random) -> float:
    """Return a sample of a prompt's length in tokens."""
    blocks = random.randint(*TEMPLATE_BLOCKS) + random.randint(*TAIL_BLOCKS)
    while random.random() < CONTINUED_SHARE:
        blocks += random.randint(*TURN_BLOCKS)
    return float(min(blocks, PROMPT_LIMIT_BLOCKS) * BLOCK_TOKENS)


def output_length(random: Random) -> int:
    """Return a sample of an answer's length in tokens, with a long tail."""
    length = random.lognormvariate(log(OUTPUT_MEDIAN), OUTPUT_SIGMA)
    return max(1, min(OUTPUT_LIMIT, round(length)))


def _team_requests(
    deployment: Deployment,
    service: str,
    team: TeamProfile,
    rate: float,
    seconds: float,
    seed: int,
) -> Iterator[Request]:
    name = f"{deployment.name}/{service}/{team.name}"
    random = Random(f"{seed}/{name}")
    templates = _templates(name, team, random)
    conversations: dict[int, tuple[str, ...]] = defaultdict(tuple)
    for number, time in enumerate(arrival_times(rate * team.share, seconds, random)):
        blocks = _prompt(f"{name}/{number}", templates, conversations, random)
        conversations[number % CONVERSATIONS_KEPT] = blocks
        yield Request(
            f"{name}/{number}",
            time,
            random.choice(deployment.zones),
            team.name,
            service,
            blocks,
            output_length(random),
        )


def _templates(
    name: str, team: TeamProfile, random: Random
) -> tuple[tuple[str, ...], ...]:
    return tuple(
        tuple(
            f"{name}/template{template}/{block}"
            for block in range(random.randint(*TEMPLATE_BLOCKS))
        )
        for template in range(team.templates)
    )


def _prompt(
    name: str,
    templates: tuple[tuple[str, ...], ...],
    conversations: dict[int, tuple[str, ...]],
    random: Random,
) -> tuple[str, ...]:
    if conversations and random.random() < CONTINUED_SHARE:
        start = conversations[random.choice(tuple(conversations))]
        added = random.randint(*TURN_BLOCKS)
    else:
        start = random.choice(templates)
        added = random.randint(*TAIL_BLOCKS)
    tail = tuple(f"{name}/{block}" for block in range(added))
    return (start + tail)[:PROMPT_LIMIT_BLOCKS]


def arrival_times(
    rate: float, seconds: float, random: Random, bursts: bool = True
) -> Iterator[float]:
    """Yield the times of arrivals whose rate changes between two levels.

    The levels are scaled so that the mean rate over the trace is ``rate``;
    without ``bursts`` the rate does not change.
    """
    phases = _phases(seconds, random) if bursts else [Phase(0.0, seconds, 1.0)]
    mean_factor = sum(phase.length * phase.factor for phase in phases) / seconds
    for phase in phases:
        phase_rate = rate * phase.factor / mean_factor
        time = phase.start + random.expovariate(phase_rate)
        while time < phase.start + phase.length:
            yield time
            time += random.expovariate(phase_rate)


def _phases(seconds: float, random: Random) -> list[Phase]:
    phases = []
    start = 0.0
    while start < seconds:
        length = min(seconds - start, random.expovariate(1 / BURST_SECONDS))
        phases.append(Phase(start, length, random.choice(BURST_FACTORS)))
        start += length
    return phases
