"""Checks of settings whose meaning follows from their names.

A name that ends in ``port`` is a TCP port, 0 for any free one; one that ends
in ``_s``, ``_ms`` or ``_bytes`` is a duration or a size, never negative.
"""

from collections.abc import Iterator
from typing import Any

from clementinebend_records.mapping import MappingProblem

LARGEST_PORT = 65_535
PORT_SUFFIX = "port"
MEASURE_SUFFIXES = ("_s", "_ms", "_bytes")


def measure_problems(
    settings: Any, path: tuple[str, ...] = ()
) -> Iterator[MappingProblem]:
    """Yield the ports, durations and sizes that cannot be, also nested ones."""
    if isinstance(settings, tuple):
        names = getattr(settings, "_fields", map(str, range(len(settings))))
        for name, value in zip(names, settings, strict=True):
            yield from measure_problems(value, (*path, name))
    elif path and isinstance(settings, int | float):
        yield from _number_problems(settings, path)


def _number_problems(
    value: int | float, path: tuple[str, ...]
) -> Iterator[MappingProblem]:
    name = path[-1]
    if name.endswith(PORT_SUFFIX) and not 0 <= value <= LARGEST_PORT:
        yield MappingProblem(path, f"is {value}", f"0 to {LARGEST_PORT}")
    if name.endswith(MEASURE_SUFFIXES) and not value >= 0:
        yield MappingProblem(path, f"is {value}", "0 or more")
