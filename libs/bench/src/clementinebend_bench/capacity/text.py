"""The whole written part of the capacity page."""

from collections.abc import Iterable

from clementinebend_bench.capacity.entry import entry_tables
from clementinebend_bench.capacity.facts import (
    Fact,
    control_facts,
    data_plane_facts,
)
from clementinebend_bench.capacity.others import (
    log_tables,
    operator_tables,
    sidecar_tables,
)
from clementinebend_bench.capacity.sources import Sources
from clementinebend_bench.capacity.tables import table_lines

FACT_HEADINGS = ("what", "worked out", "formula", "what it means")


def capacity_text(sources: Sources) -> str:
    """Return all tables, and the runs that they are worked out from."""
    tables = (
        *entry_tables(sources),
        *sidecar_tables(sources),
        *operator_tables(sources),
        *log_tables(sources),
    )
    lines = [
        *_runs(sources),
        "## Data plane",
        "",
        *_fact_lines(data_plane_facts(sources)),
        "## Control",
        "",
        *(line for table in tables for line in table_lines(table)),
        "### State, windows and rates",
        "",
        *_fact_lines(control_facts(sources)),
        "## Slopes as measured",
        "",
        *_slope_lines(sources),
    ]
    return "\n".join(lines)


def _runs(sources: Sources) -> list[str]:
    slopes, path = sources.slopes, sources.path
    command = "clementinebend-bench run --seed"
    return [
        f"Runs: `{command} {slopes.seed}`, experiment slopes, of {slopes.date} "
        f"({slopes.seconds} s), and `{command} {path.seed}`, experiment path, of "
        f"{path.date}; times in UTC. Each cost is size x cost of each, a "
        "least-squares slope of that run unless the row says otherwise.",
        "",
    ]


def _fact_lines(facts: Iterable[Fact]) -> list[str]:
    rows = [f"| {' | '.join(fact)} |" for fact in facts]
    return [f"| {' | '.join(FACT_HEADINGS)} |", "| --- | --- | --- | --- |", *rows, ""]


def _slope_lines(sources: Sources) -> list[str]:
    rows = [
        f"| {name} | {line.at_zero:.4g} | {line.slope:.4g} | {line.error:.2g} | "
        f"{', '.join(f'{size:g}: {value:.4g}' for size, value in line.points)} |"
        for name, line in sources.slopes.lines.items()
    ]
    return [
        "| line | at none | for each | farthest point | points |",
        "| --- | --- | --- | --- | --- |",
        *rows,
    ]
