"""Costs of real processes by what surrounds them: links, peers, rates."""

from asyncio import run as run_loop
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from clementinebend_bench.slopes.fit import Line, Point, fit_line
from clementinebend_bench.slopes.rigs import RigPlan, Used, measure_wave

ENTRY = "entry"
SIDECAR = "sidecar"

WAVES: tuple[tuple[RigPlan, ...], ...] = (
    (
        RigPlan(),
        RigPlan(links=25),
        RigPlan(links=50),
        RigPlan(links=100),
        RigPlan(SIDECAR),
        RigPlan(SIDECAR, links=16),
    ),
    (
        RigPlan(peers=5),
        RigPlan(peers=10),
        RigPlan(peers=20),
        RigPlan(hosts=500),
        RigPlan(hosts=1000),
        RigPlan(hosts=2000),
    ),
    (
        RigPlan(budgets=1000),
        RigPlan(budgets=5000),
        RigPlan(changes=0.5),
        RigPlan(changes=1.0),
        RigPlan(changes=2.0),
        RigPlan(SIDECAR, budgets=1000),
        RigPlan(SIDECAR, budgets=5000),
    ),
    (
        RigPlan(bills=100.0),
        RigPlan(bills=300.0),
        RigPlan(bills=1000.0),
        RigPlan(SIDECAR, links=64),
        RigPlan(SIDECAR, changes=1.0),
        RigPlan(SIDECAR, changes=2.0),
    ),
)
"""What is measured at one time; few enough to leave the machine half free.

Up to 20 peers get a heartbeat each second; more do not get more altogether.
"""


class Dimension(NamedTuple):
    """A size that varies while all others stay as they are."""

    role: str
    field: str


DIMENSIONS = (
    Dimension(ENTRY, "links"),
    Dimension(ENTRY, "peers"),
    Dimension(ENTRY, "hosts"),
    Dimension(ENTRY, "budgets"),
    Dimension(ENTRY, "changes"),
    Dimension(ENTRY, "bills"),
    Dimension(SIDECAR, "links"),
    Dimension(SIDECAR, "budgets"),
    Dimension(SIDECAR, "changes"),
)
FIGURES = ("cpu", "resident", "bytes", "appends")


def live_lines() -> dict[str, Line]:
    """Return the lines of all dimensions and figures by name."""
    with TemporaryDirectory(prefix="clementinebend-slopes-") as directory:
        used = run_loop(_measure_all(Path(directory)))
    return {
        f"{dimension.role}: {figure} by {dimension.field}": fit_line(
            Point(getattr(plan, dimension.field), figure_of(used[plan], figure))
            for plan in plans_of(dimension)
        )
        for dimension in DIMENSIONS
        for figure in FIGURES
    }


def plans_of(dimension: Dimension) -> tuple[RigPlan, ...]:
    """Return the plans in which nothing but one size differs from the least."""
    least = RigPlan(dimension.role)
    plans = (plan for wave in WAVES for plan in wave if plan.role == dimension.role)
    return tuple(
        plan
        for plan in plans
        if plan._replace(**{dimension.field: getattr(least, dimension.field)}) == least
    )


def figure_of(used: Used, figure: str) -> float:
    """Return one figure; ``bytes`` are all bytes of control traffic."""
    if figure == "bytes":
        return used.log_bytes + used.hosts_bytes + used.link_bytes + used.peer_bytes
    return float(getattr(used, figure))


async def _measure_all(directory: Path) -> dict[RigPlan, Used]:
    used: dict[RigPlan, Used] = {}
    for number, wave in enumerate(WAVES, 1):
        place = directory / f"wave-{number}"
        place.mkdir()
        used |= zip(wave, await measure_wave(place, wave), strict=True)
    return used
