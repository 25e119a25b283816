"""Spreading independent simulations over the processors."""

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from os import cpu_count
from typing import TypeVar

Case = TypeVar("Case")
Outcome = TypeVar("Outcome")

LEFT_FREE = 2
"""Processors that are left to others."""


def map_cases(
    function: Callable[[Case], Outcome], cases: Iterable[Case]
) -> tuple[Outcome, ...]:
    """Return ``function`` of each case, in order; all must pickle."""
    workers = max(1, (cpu_count() or 1) - LEFT_FREE)
    with ProcessPoolExecutor(workers) as pool:
        return tuple(pool.map(function, cases))
