"""Experiment 5: what the path of a request costs, beside a bare relay.

Real processes on loopback: callers, entry, sidecar, engine; and callers,
relay, engine, over the same transport. Each engine step gives one token, and
each token is one piece of the stream. Writes ``build/path.json``, too.
"""

from asyncio import run as run_loop
from pathlib import Path
from tempfile import TemporaryDirectory

from clementinebend_bench.experiments.path_loads import (
    DATA_PLANE_FILE,
    ENTRY,
    RELAY,
    SIDECARS,
    PathFigures,
    UnitCost,
    capacity_of,
    data_plane,
    measure_path,
    tokens_per_core,
    unit_cost,
    write_data_plane,
)
from clementinebend_bench.rows import Row, percentile, ratio_of

MILLISECONDS = 1000.0
MICROSECONDS = 1e6

THROUGHPUT_BAR = 0.7
FIRST_TOKEN_BAR_MS = 5.0


def run(seed: int) -> tuple[Row, ...]:
    """Return latency and throughput of the path beside the bare relay's."""
    with TemporaryDirectory(prefix="clementinebend-path-") as directory:
        figures = run_loop(measure_path(Path(directory), seed))
    write_data_plane(data_plane(figures, seed), DATA_PLANE_FILE)
    return (
        *latency_rows(figures),
        *throughput_rows(figures),
        *cost_rows(figures),
        *append_rows(figures),
        *failure_rows(figures),
    )


def latency_rows(figures: PathFigures) -> tuple[Row, ...]:
    """Return what the fleet, and the relay, add to the engines' latency."""
    first = [
        _added_row("first token", "first", percent, figures) for percent in (50, 99)
    ]
    whole = [
        _added_row("whole call", "whole", percent, figures) for percent in (50, 99)
    ]
    late = first[1].value
    bar = f"< {FIRST_TOKEN_BAR_MS:.0f} ms"
    first[1] = first[1]._replace(bar=bar, met=late < FIRST_TOKEN_BAR_MS)
    offered = Row("half load offered", figures.half_rate, "requests/s")
    return (offered, *first, *whole)


def throughput_rows(figures: PathFigures) -> tuple[Row, ...]:
    """Return requests and tokens a second per core beside the relay's."""
    full, relay = figures.fleet_full, figures.relay_full
    base = tokens_per_core(relay, RELAY)
    rows = []
    for label, programs in (("entry", ENTRY), ("sidecar", SIDECARS)):
        tokens = tokens_per_core(full, programs)
        ratio = tokens / base
        bar = f">= {THROUGHPUT_BAR} of the relay's"
        met = ratio >= THROUGHPUT_BAR
        name = f"{label}: tokens/s per core"
        rows.append(Row(name, tokens, "tokens/s", RELAY, base, ratio, bar, met))
        requests = capacity_of(full, programs)
        relayed = capacity_of(relay, RELAY)
        name = f"{label}: requests/s per core"
        ratio_of_requests = ratio_of(requests, relayed)
        rows.append(
            Row(name, requests, "requests/s", RELAY, relayed, ratio_of_requests)
        )
    both = full.answered.tokens / (full.cpu_of(ENTRY) + full.cpu_of(SIDECARS))
    name = "entry and sidecar together: tokens/s per core"
    rows.append(Row(name, both, "tokens/s", RELAY, base, both / base))
    return tuple(rows)


def cost_rows(figures: PathFigures) -> tuple[Row, ...]:
    """Return the cost of a request and of a token in each program."""
    fleet = (figures.fleet_full, figures.fleet_short)
    relay = unit_cost(figures.relay_full, figures.relay_short, RELAY)
    rows = []
    for label, programs in (("entry", ENTRY), ("sidecar", SIDECARS)):
        cost = unit_cost(*fleet, programs)
        for unit, value, base in zip(UnitCost._fields, cost, relay, strict=True):
            name = f"{label}: processor time per {unit}"
            rows.append(
                Row(
                    name,
                    value * MICROSECONDS,
                    "µs",
                    RELAY,
                    base * MICROSECONDS,
                    ratio_of(value, base),
                )
            )
    return tuple(rows)


def append_rows(figures: PathFigures) -> tuple[Row, ...]:
    """Return how many appends to the log the fleet made for each request."""
    loads = {"full load": figures.fleet_full, "half load": figures.fleet_half}
    return tuple(
        Row(f"{name}: appends", load.appends / len(load.answered.whole), "a request")
        for name, load in loads.items()
    )


def failure_rows(figures: PathFigures) -> tuple[Row, ...]:
    """Return how many requests did not give a whole answer."""
    loads = {
        "full load": figures.fleet_full,
        "half load": figures.fleet_half,
        "short answers": figures.fleet_short,
    }
    counts = {
        name: sum(load.answered.failures.values()) for name, load in loads.items()
    }
    return tuple(
        Row(f"{name}: failed requests", float(failed), "", bar="0", met=not failed)
        for name, failed in counts.items()
    )


def _added_row(label: str, field: str, percent: int, figures: PathFigures) -> Row:
    loads = (figures.fleet_half, figures.relay_half, figures.direct_half)
    fleet, relay, direct = (
        percentile(getattr(load.answered, field), percent) * MILLISECONDS
        for load in loads
    )
    added, base = fleet - direct, relay - direct
    name = f"{label}: added p{percent} at half load"
    return Row(name, added, "ms", RELAY, base, ratio_of(added, base))
