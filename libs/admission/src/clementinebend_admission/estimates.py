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
DEFAULT_RETRY_AFTER_MS = 1_000
"""Told when nothing has been measured yet."""

RETRY_JITTER = 0.5
"""Retry times are spread over this share, so that callers do not return at once."""


class ServiceAverages(NamedTuple):
    """Moving averages over finished requests; ``samples`` of 0 means unknown."""

    samples: int = 0
    duration: float = 0.0
    tokens: float = 0.0


def add_sample(
    averages: ServiceAverages, duration: float, tokens: int
) -> ServiceAverages:
    """Return the averages with one more finished request in them."""
    samples = averages.samples + 1
    weight = max(SMOOTHING, 1 / samples)
    return ServiceAverages(
        samples,
        averages.duration + weight * (duration - averages.duration),
        averages.tokens + weight * (tokens - averages.tokens),
    )


def concurrency(capacity: Capacity, averages: ServiceAverages) -> float:
    """Return how many average requests the capacity runs at one time."""
    if capacity.tokens is None or not averages.tokens:
        return float(capacity.slots)
    return min(float(capacity.slots), max(1.0, capacity.tokens / averages.tokens))


def expected_wait(capacity: Capacity, averages: ServiceAverages, ahead: float) -> float:
    """Return the wait behind ``ahead`` queued tokens when nothing is free now."""
    if not capacity.slots:
        return float("inf")
    if not averages.samples:
        return 0.0
    requests_ahead = ahead / max(1.0, averages.tokens)
    return (requests_ahead + 1) * averages.duration / concurrency(capacity, averages)


def retry_after_ms(wait: float, request: str) -> int:
    """Return when to come back, spread by ``request`` and kept within limits."""
    if wait == float("inf"):
        return DEFAULT_RETRY_AFTER_MS
    spread = 1 + RETRY_JITTER * (crc32(request.encode()) % 1000) / 1000
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, round(wait * spread * 1000)))
