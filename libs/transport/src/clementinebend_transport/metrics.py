"""Counters, gauges and histograms of a process, and their page.

Source: the Prometheus text exposition format, by ``prometheus_client``.
"""

from collections.abc import Sequence
from functools import cache

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

from clementinebend_transport.http_types import Response

disable_created_metrics()  # type: ignore[no-untyped-call]

METRIC_PREFIX = "clementinebend_"

registry = CollectorRegistry()
"""All metrics of this process."""


@cache
def counter(name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
    """Return the counter called ``name``; the same one for the same arguments."""
    return Counter(_checked(name), documentation, labels, registry=registry)


@cache
def gauge(name: str, documentation: str, labels: tuple[str, ...] = ()) -> Gauge:
    """Return the gauge called ``name``; the same one for the same arguments."""
    return Gauge(_checked(name), documentation, labels, registry=registry)


@cache
def histogram(
    name: str,
    documentation: str,
    labels: tuple[str, ...] = (),
    buckets: Sequence[float] = Histogram.DEFAULT_BUCKETS,
) -> Histogram:
    """Return the histogram called ``name``; ``buckets`` must be a tuple."""
    return Histogram(
        _checked(name), documentation, labels, registry=registry, buckets=buckets
    )


def render_metrics() -> Response:
    """Return the page of all metrics of this process."""
    headers = (("content-type", CONTENT_TYPE_LATEST),)
    return Response(200, headers, generate_latest(registry))


def _checked(name: str) -> str:
    if not name.startswith(METRIC_PREFIX):
        raise ValueError(f"metric {name!r} must start with {METRIC_PREFIX!r}")
    return name
