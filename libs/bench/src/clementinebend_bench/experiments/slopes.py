"""Experiment 6: how the cost of control grows with the size of the fleet.

Writes all lines to ``build/slopes.json``, from which the capacity page is made.
"""

from datetime import UTC, datetime
from pathlib import Path
from time import monotonic
from typing import NamedTuple

from msgspec.json import decode, encode, format

from clementinebend_bench.rows import Row
from clementinebend_bench.slopes.commands import command_lines
from clementinebend_bench.slopes.fit import Line
from clementinebend_bench.slopes.live import live_lines
from clementinebend_bench.slopes.pure import pure_lines

SLOPES_FILE = Path("build") / "slopes.json"


class Slopes(NamedTuple):
    """One run: when, how long, and the lines by name."""

    seed: int
    date: str
    seconds: float
    lines: dict[str, Line]


def run(seed: int) -> tuple[Row, ...]:
    """Measure all lines, write them, and return each as two rows.

    Nothing here is random; ``seed`` only names the run.
    """
    slopes = measure_slopes(seed)
    write_slopes(slopes, SLOPES_FILE)
    return tuple(row for item in slopes.lines.items() for row in line_rows(*item))


def measure_slopes(seed: int) -> Slopes:
    """Measure all lines."""
    began = monotonic()
    lines = pure_lines() | command_lines() | live_lines()
    date = datetime.now(UTC).isoformat(timespec="minutes")
    return Slopes(seed, date, round(monotonic() - began, 1), lines)


def write_slopes(slopes: Slopes, path: Path) -> None:
    """Write a run as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    content = slopes._asdict()
    content["lines"] = {name: line._asdict() for name, line in slopes.lines.items()}
    path.write_bytes(format(encode(content), indent=1) + b"\n")


def read_slopes(path: Path) -> Slopes:
    """Return the run in a file."""
    content = decode(path.read_bytes())
    lines = {
        name: Line(**{**line, "points": tuple(map(tuple, line["points"]))})
        for name, line in content["lines"].items()
    }
    return Slopes(content["seed"], content["date"], content["seconds"], lines)


def line_rows(name: str, line: Line) -> tuple[Row, Row]:
    """Return the slope of a line and its value at size zero."""
    return (
        Row(f"{name}: slope", line.slope, "for each"),
        Row(f"{name}: at none", line.at_zero, ""),
    )
