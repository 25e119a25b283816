"""The result of an experiment: rows of a value, its baseline and its bar."""

from collections.abc import Sequence
from math import ceil
from typing import NamedTuple


class Row(NamedTuple):
    """One figure as measured.

    ``bar`` says in words what is asked, ``met`` whether the run met it;
    ``met`` is ``None`` for figures that no bar is set for. ``ratio`` is
    ``value / baseline``.
    """

    name: str
    value: float
    unit: str
    baseline_name: str = ""
    baseline: float | None = None
    ratio: float | None = None
    bar: str = ""
    met: bool | None = None


def ratio_of(value: float, baseline: float) -> float | None:
    """Return ``value / baseline``, or ``None`` beside a baseline of zero."""
    return value / baseline if baseline else None


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile of ``values``."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[max(0, ceil(len(ordered) * percent / 100) - 1)]
