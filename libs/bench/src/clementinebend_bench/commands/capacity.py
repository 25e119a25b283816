"""``clementinebend-bench capacity``: the tables of the capacity page."""

from pathlib import Path
from sys import stderr

from clementinebend_bench.capacity.page import MarkerError, replace_part
from clementinebend_bench.capacity.sources import Sources
from clementinebend_bench.capacity.target import Target
from clementinebend_bench.capacity.text import capacity_text
from clementinebend_bench.experiments import path as path_experiment
from clementinebend_bench.experiments import slopes as slopes_experiment
from clementinebend_bench.experiments.path_loads import (
    DATA_PLANE_FILE,
    read_data_plane,
)
from clementinebend_bench.experiments.slopes import SLOPES_FILE, read_slopes

DEFAULT_SEED = 1
PAGE = Path("docs") / "CAPACITY.md"
UNUSABLE_PAGE = 2


def capacity(seed: int = DEFAULT_SEED, page: str = str(PAGE)) -> int:
    """Write the tables of the capacity page, measuring first what is missing."""
    if not SLOPES_FILE.exists():
        stderr.write("measuring slopes ...\n")
        slopes_experiment.run(seed)
    if not DATA_PLANE_FILE.exists():
        stderr.write("measuring the path ...\n")
        path_experiment.run(seed)
    sources = Sources(
        read_slopes(SLOPES_FILE), read_data_plane(DATA_PLANE_FILE), Target()
    )
    target = Path(page)
    try:
        text = replace_part(target.read_text(encoding="utf-8"), capacity_text(sources))
    except (OSError, MarkerError) as error:
        stderr.write(f"{target}: {error}\n")
        return UNUSABLE_PAGE
    target.write_text(text, encoding="utf-8")
    return 0
