"""Measured service times, and the waits and retry times worked out from them.

Durations are in seconds unless a name ends in ``_ms``.
"""

from typing import NamedTuple
from zlib import crc32

from clementinebend_admission.models import Capacity

SMOOTHING = 0.05
"""Weight of the newest finished request in the moving averages."""

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
UNKNOWN_RETRY_AFTER_MS = 1_000
"""Told when nothing has been measured yet."""

RETRY_SPREAD = 0.5
"""Retry times are spread over this share, so that callers do not return at once."""


class ServiceMeasure(NamedTuple):
    """Moving averages over finished requests; ``samples`` of 0 means unknown."""

    samples: int = 0
    duration: float = 0.0
    tokens: float = 0.0


def add_sample(measure: ServiceMeasure, duration: float, tokens: int) -> ServiceMeasure:
    """Return the averages with one more finished request in them."""
    samples = measure.samples + 1
    weight = max(SMOOTHING, 1 / samples)
    return ServiceMeasure(
        samples,
        measure.duration + weight * (duration - measure.duration),
        measure.tokens + weight * (tokens - measure.tokens),
    )


def concurrency(capacity: Capacity, measure: ServiceMeasure) -> float:
    """Return how many average requests the capacity runs at one time."""
    if capacity.tokens is None or not measure.tokens:
        return float(capacity.slots)
    return min(float(capacity.slots), max(1.0, capacity.tokens / measure.tokens))


def expected_wait(capacity: Capacity, measure: ServiceMeasure, ahead: float) -> float:
    """Return the wait behind ``ahead`` queued tokens when nothing is free now."""
    if not capacity.slots:
        return float("inf")
    if not measure.samples:
        return 0.0
    requests_ahead = ahead / max(1.0, measure.tokens)
    return (requests_ahead + 1) * measure.duration / concurrency(capacity, measure)


def retry_after_ms(wait: float, request: str) -> int:
    """Return when to come back, spread by ``request`` and kept within limits."""
    if wait == float("inf"):
        return UNKNOWN_RETRY_AFTER_MS
    spread = 1 + RETRY_SPREAD * (crc32(request.encode()) % 1000) / 1000
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, round(wait * spread * 1000)))
