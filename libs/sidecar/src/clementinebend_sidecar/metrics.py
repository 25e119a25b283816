"""Counters and gauges of a sidecar."""

from collections.abc import Callable

from prometheus_client import Counter as PrometheusCounter

from clementinebend_sidecar.gate.effects import Count, Counter
from clementinebend_sidecar.gate.state import GateState
from clementinebend_transport.metrics import counter, gauge

LABELLED: dict[Counter, PrometheusCounter] = {
    Counter.RUNS: counter(
        "clementinebend_runs_total", "Runs that were executed.", ("outcome",)
    ),
    Counter.REFUSALS: counter(
        "clementinebend_refusals_total", "Requests that did not run.", ("reason",)
    ),
}

PLAIN: dict[Counter, PrometheusCounter] = {
    Counter.TOKENS: counter("clementinebend_tokens_total", "Tokens on receipts."),
    Counter.OVERRUN: counter(
        "clementinebend_overrun_total",
        "Alarm: runs that took more tokens than were reserved for them.",
    ),
    Counter.UNKNOWN_USAGE: counter(
        "clementinebend_unknown_usage_total",
        "Runs charged with their whole reservation, as no usage was told.",
    ),
    Counter.ATTACHMENTS: counter(
        "clementinebend_attachments_total", "Requests attached to an earlier run."
    ),
    Counter.EVICTIONS: counter(
        "clementinebend_answers_evicted_total", "Answers that are no longer kept."
    ),
}

ORDERS = counter(
    "clementinebend_engine_orders_total", "Orders to the engine.", ("outcome",)
)


def count(effect: Count) -> None:
    """Add to a counter."""
    labelled = LABELLED.get(effect.counter)
    if labelled is None:
        PLAIN[effect.counter].inc(effect.amount)
        return
    labelled.labels(effect.label).inc(effect.amount)


def show_state(state: Callable[[], GateState]) -> None:
    """Let gauges read the gate's state whenever metrics are asked for."""
    gauges: tuple[tuple[str, str, Callable[[GateState], float]], ...] = (
        ("running", "Runs that execute.", lambda gate: len(gate.executing)),
        ("queued", "Runs that wait for a slot.", lambda gate: len(gate.queue)),
        (
            "receipts_kept",
            "Receipts that are not known to be logged.",
            lambda gate: len(gate.receipts),
        ),
        (
            "answer_bytes_kept",
            "Bytes of answers kept for retries.",
            lambda gate: gate.figures["bytes_kept"],
        ),
        ("leaving", "1 while leaving.", lambda gate: gate.figures["leaving"]),
    )
    for name, documentation, read in gauges:
        shown = gauge(f"clementinebend_{name}", documentation)
        shown.set_function(lambda read=read: float(read(state())))  # type: ignore[misc]
