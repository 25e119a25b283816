"""Counters of the calls to the platform's store."""

from clementinebend_transport.metrics import counter

discarded_bytes = counter(
    "clementinebend_store_discarded_bytes_total",
    "Bytes of the store's answers that were given up before they were whole.",
)
