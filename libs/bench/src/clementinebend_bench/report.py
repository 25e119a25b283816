"""Writing of results: the table, ``bench.json`` and a plot per experiment."""

import sys
from json import dumps
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from clementinebend_bench.rows import Row

HEADINGS = ("name", "value", "unit", "baseline", "ratio", "bar", "met")
ROW_INCHES = 0.3
PLOT_WIDTH_INCHES = 11


def write_table(results: dict[str, tuple[Row, ...]]) -> None:
    """Write one table of all rows to standard output."""
    lines = [HEADINGS, *(_cells(row) for rows in results.values() for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        sys.stdout.write("  ".join(cells).rstrip() + "\n")


def write_json(
    path: Path, seed: int, seconds: float, results: dict[str, tuple[Row, ...]]
) -> None:
    """Write all rows with the seed and the time that the run took."""
    rows = [
        {"experiment": name, **row._asdict()}
        for name, experiment_rows in results.items()
        for row in experiment_rows
    ]
    document = {"seed": seed, "seconds": round(seconds, 1), "rows": rows}
    path.write_text(dumps(document, indent=2) + "\n")


def write_plot(path: Path, name: str, rows: tuple[Row, ...]) -> None:
    """Draw each row that has a baseline as its ratio to it."""
    compared = [row for row in rows if row.ratio is not None]
    if not compared:
        return
    height = 1.5 + ROW_INCHES * len(compared)
    figure = Figure(figsize=(PLOT_WIDTH_INCHES, height))
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    labels = [f"{row.name} / {row.baseline_name}" for row in compared]
    colours = [_colour(row) for row in compared]
    axes.barh(labels, [row.ratio or 0.0 for row in compared], color=colours)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.invert_yaxis()
    axes.set_xlabel("ratio to the baseline")
    axes.set_title(name)
    figure.tight_layout()
    figure.savefig(path)


def _cells(row: Row) -> tuple[str, ...]:
    return (
        row.name,
        f"{row.value:.4g}",
        row.unit,
        "" if row.baseline is None else f"{row.baseline:.4g} ({row.baseline_name})",
        "" if row.ratio is None else f"{row.ratio:.3f}",
        row.bar,
        {True: "met", False: "NOT MET", None: ""}[row.met],
    )


def _colour(row: Row) -> str:
    return {True: "tab:green", False: "tab:red", None: "tab:gray"}[row.met]
