"""The two deployments of the brief, as sizes for traces and engines."""

from itertools import chain, cycle
from typing import NamedTuple

from clementinebend_bench.models.engine import Engine, EngineSize, new_engine

SLOW_FACTOR = 2.0
"""How much longer a step of a slow engine takes."""


class TeamProfile(NamedTuple):
    """A team's share of the traffic and its number of shared prompt prefixes."""

    name: str
    share: float
    templates: int


class Pool(NamedTuple):
    """The engines of one service."""

    service: str
    engines: int


class Deployment(NamedTuple):
    """Zones with one entry each, pools of engines, and teams.

    The first ``slow_engines`` of each pool take ``SLOW_FACTOR`` times as long.
    """

    name: str
    zones: tuple[str, ...]
    pools: tuple[Pool, ...]
    teams: tuple[TeamProfile, ...]
    size: EngineSize = EngineSize()
    slow_engines: int = 0


TEAM_SIZES = (
    (8, 6),
    (6, 5),
    (5, 5),
    (2, 3),
    (2, 3),
    (1, 2),
    (1, 2),
    (1, 2),
    (1, 2),
    (1, 2),
)
"""Relative traffic and shared prefixes of ten teams, a few of them large."""


def _teams(prefix: str) -> tuple[TeamProfile, ...]:
    total = sum(size for size, _ in TEAM_SIZES)
    return tuple(
        TeamProfile(f"{prefix}{number}", size / total, templates)
        for number, (size, templates) in enumerate(TEAM_SIZES)
    )


ZLATE_CISLA = Deployment(
    "zlate-cisla",
    ("zilina-a", "zilina-b", "bystrica-a", "bystrica-b"),
    (Pool("shared", 9), Pool("desk", 4)),
    _teams("desk"),
)

CONSORTIUM = Deployment(
    "consortium",
    ("bc-west-a", "bc-west-b", "bc-west-c"),
    (Pool("shared", 9), Pool("booking", 3)),
    _teams("outfitter"),
)

DEPLOYMENTS = (ZLATE_CISLA, CONSORTIUM)


def engines_of(deployment: Deployment) -> dict[str, Engine]:
    """Return the engines of a deployment, spread over its zones."""
    zones = cycle(deployment.zones)
    names = chain.from_iterable(
        ((pool.service, number) for number in range(pool.engines))
        for pool in deployment.pools
    )
    return {
        f"{service}-{number}": new_engine(
            f"{service}-{number}",
            next(zones),
            service,
            _size(deployment, number),
        )
        for service, number in names
    }


def _size(deployment: Deployment, number: int) -> EngineSize:
    size = deployment.size
    if number >= deployment.slow_engines:
        return size
    return size._replace(step=size.step * SLOW_FACTOR)
