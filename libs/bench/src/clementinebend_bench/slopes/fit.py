"""Straight lines through measured points."""

from collections.abc import Iterable
from statistics import linear_regression, mean
from typing import NamedTuple


class Point(NamedTuple):
    """One measurement: ``value`` at ``size``."""

    size: float
    value: float


class Line(NamedTuple):
    """``value = at_zero + slope * size``, by least squares, and how far off.

    ``error`` is the largest distance of a point from the line.
    """

    at_zero: float
    slope: float
    error: float
    points: tuple[Point, ...]

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.at_zero + self.slope * size


def fit_line(points: Iterable[Point]) -> Line:
    """Return the least-squares line through points of at least one size."""
    measured = tuple(points)
    sizes = [point.size for point in measured]
    values = [point.value for point in measured]
    if len(set(sizes)) < 2:
        slope, at_zero = 0.0, mean(values)
    else:
        slope, at_zero = linear_regression(sizes, values)
    errors = (abs(at_zero + slope * size - value) for size, value in measured)
    return Line(at_zero, slope, max(errors), measured)
