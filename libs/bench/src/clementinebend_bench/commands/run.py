"""``clementinebend-bench run``: all experiments, one table."""

import sys
from pathlib import Path
from time import monotonic

from clementinebend_bench.experiments.registry import EXPERIMENTS
from clementinebend_bench.report import write_json, write_plot, write_table

DEFAULT_SEED = 1
BUILD_DIRECTORY = "build"
UNKNOWN_EXPERIMENT = 2


def run(
    seed: int = DEFAULT_SEED,
    only: str | tuple[str, ...] = (),
    build: str = BUILD_DIRECTORY,
) -> int:
    """Run the experiments and write a table, ``bench.json`` and plots.

    ``only`` names one experiment, or several with commas between them. The
    exit status tells whether the run went through, not whether bars were met.
    """
    names = _names(only)
    unknown = [name for name in names if name not in EXPERIMENTS]
    if unknown:
        known = ", ".join(EXPERIMENTS)
        sys.stderr.write(f"unknown experiment {unknown[0]!r}; there are: {known}\n")
        return UNKNOWN_EXPERIMENT
    directory = Path(build)
    directory.mkdir(parents=True, exist_ok=True)
    started = monotonic()
    results = {}
    for number, name in enumerate(names, 1):
        sys.stderr.write(f"[{number}/{len(names)}] {name} ...\n")
        before = monotonic()
        results[name] = EXPERIMENTS[name](seed)
        sys.stderr.write(f"    {monotonic() - before:.1f} s\n")
        write_plot(directory / f"{name}.png", name, results[name])
    write_table(results)
    write_json(directory / "bench.json", seed, monotonic() - started, results)
    return 0


def _names(only: str | tuple[str, ...]) -> tuple[str, ...]:
    if not only:
        return tuple(EXPERIMENTS)
    return tuple(only.split(",")) if isinstance(only, str) else tuple(only)
