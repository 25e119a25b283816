"""Measured service times, and the wait and retry estimates based on them.

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
"""Retry time if the wait cannot be estimated because there is no capacity."""

RETRY_JITTER = 0.5
"""Maximum jitter as a fraction of a retry time, so that retries do not coincide."""


class ServiceAverages(NamedTuple):
    """Moving averages over finished requests; ``samples`` of 0 means unknown."""

    samples: int = 0
    duration: float = 0.0
    tokens: float = 0.0


def add_sample(
    averages: ServiceAverages, duration: float, tokens: int
) -> ServiceAverages:
    """Return the averages updated with a finished request."""
    samples = averages.samples + 1
    weight = max(SMOOTHING, 1 / samples)
    return ServiceAverages(
        samples,
        averages.duration + weight * (duration - averages.duration),
        averages.tokens + weight * (tokens - averages.tokens),
    )


def concurrency(capacity: Capacity, averages: ServiceAverages) -> float:
    """Return how many requests of average size can run concurrently."""
    if capacity.tokens is None or not averages.tokens:
        return float(capacity.slots)
    return min(float(capacity.slots), max(1.0, capacity.tokens / averages.tokens))


def expected_wait(capacity: Capacity, averages: ServiceAverages, ahead: float) -> float:
    """Return the wait behind ``ahead`` queued tokens if all capacity is in use."""
    if not capacity.slots:
        return float("inf")
    if not averages.samples:
        return 0.0
    requests_ahead = ahead / max(1.0, averages.tokens)
    return (requests_ahead + 1) * averages.duration / concurrency(capacity, averages)


def retry_after_ms(wait: float, request: str) -> int:
    """Return a retry time within limits, with jitter derived from ``request``."""
    if wait == float("inf"):
        return DEFAULT_RETRY_AFTER_MS
    spread = 1 + RETRY_JITTER * (crc32(request.encode()) % 1000) / 1000
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, round(wait * spread * 1000)))
