"""Experiment 5: what the path of a request costs, beside a bare relay.

Real processes on loopback: callers, entry, sidecar, engine; and callers,
relay, engine, over the same transport. Each engine step gives one token, and
each token is one piece of the stream.
"""

from asyncio import run as run_loop
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from clementinebend_bench.launcher.fleet_files import MODEL, TEAM_KEY, Plan
from clementinebend_bench.launcher.fleets import LocalFleet, running_fleet
from clementinebend_bench.launcher.loading import RELAY_PROGRAM, Measured, measure
from clementinebend_bench.launcher.processes import RunningProcess
from clementinebend_bench.programs.load import Order
from clementinebend_bench.rows import Row, percentile, ratio_of

TOKENS = 250
"""Tokens of an answer: 11 million a second over 44,000 requests a second."""

SHORT_TOKENS = 1
PROMPT_BYTES = 400
FULL_SECONDS = 3.5
HALF_SECONDS = 4.0
SHORT_SECONDS = 2.0
CALLERS = 48
MOST_IN_FLIGHT = 96
HALF = 0.5
MILLISECONDS = 1000.0
MICROSECONDS = 1e6

THROUGHPUT_BAR = 0.7
FIRST_TOKEN_BAR_MS = 5.0

PLAN = Plan(
    entries=2,
    engines=3,
    services=0,
    budget_tokens=10**12,
    engine_args=("--step-ms", "5", "--slots", "64", "--tokens-per-chunk", "1"),
    entry_settings={"slots_per_endpoint": 64},
    sidecar_settings={"slots": 64},
)
ENTRY = "entry-1"
RELAY = "relay"
SIDECARS = "engine-"


class PathFigures(NamedTuple):
    """All loads: full and short ones in closed loops, half load in open ones."""

    fleet_full: Measured
    relay_full: Measured
    fleet_short: Measured
    relay_short: Measured
    fleet_half: Measured
    relay_half: Measured
    direct_half: Measured
    half_rate: float


class UnitCost(NamedTuple):
    """Processor seconds for each request, and more for each token."""

    request: float
    token: float


def run(seed: int) -> tuple[Row, ...]:
    """Return latency and throughput of the path beside the bare relay's."""
    with TemporaryDirectory(prefix="clementinebend-path-") as directory:
        figures = run_loop(measure_path(Path(directory), seed))
    return (
        *latency_rows(figures),
        *throughput_rows(figures),
        *cost_rows(figures),
        *failure_rows(figures),
    )


async def measure_path(directory: Path, seed: int) -> PathFigures:
    """Start a fleet and a relay before the same engines, and load both."""
    async with running_fleet(directory, PLAN) as fleet:
        engines = tuple(fleet.url(f"{name}-endpoint") for name in fleet.endpoints)
        relay = await fleet.processes.start_process([*RELAY_PROGRAM, *engines])
        fleet.running[RELAY] = relay
        entry = (fleet.url(ENTRY),)

        async def load(urls: tuple[str, ...], make: Callable[..., Order]) -> Measured:
            return await measure(fleet.processes, make(urls, seed), _watched(fleet))

        await load(entry, _short)
        fleet_full = await load(entry, _full)
        relay_full = await load((relay.url,), _full)
        fleet_short = await load(entry, _short)
        relay_short = await load((relay.url,), _short)
        rate = HALF * capacity_of(fleet_full, ENTRY)

        def half(urls: tuple[str, ...], seed: int) -> Order:
            order = _order(urls, seed, HALF_SECONDS, TOKENS)
            return order._replace(rate=rate, in_flight=MOST_IN_FLIGHT)

        return PathFigures(
            fleet_full,
            relay_full,
            fleet_short,
            relay_short,
            await load(entry, half),
            await load((relay.url,), half),
            await load(engines, half),
            rate,
        )


def capacity_of(measured: Measured, program: str) -> float:
    """Return the requests a second that one core of a program bears."""
    return len(measured.answered.whole) / measured.cpu_of(program)


def tokens_per_core(measured: Measured, programs: str) -> float:
    """Return the tokens a second that one core of these programs bears."""
    return measured.answered.tokens / measured.cpu_of(programs)


def unit_cost(full: Measured, short: Measured, programs: str) -> UnitCost:
    """Return the cost of a request and of a token from two sizes of answers."""
    requests = [len(each.answered.whole) for each in (full, short)]
    seconds = [
        each.cpu_of(programs) / number
        for each, number in zip((full, short), requests, strict=True)
    ]
    token = (seconds[0] - seconds[1]) / (TOKENS - SHORT_TOKENS)
    return UnitCost(seconds[1] - token * SHORT_TOKENS, token)


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


def _watched(fleet: LocalFleet) -> dict[str, RunningProcess]:
    names = (*fleet.entries, *fleet.endpoints, RELAY)
    return {name: fleet.running[name] for name in names if name in fleet.running}


def _order(urls: tuple[str, ...], seed: int, seconds: float, tokens: int) -> Order:
    return Order(
        urls, seconds, CALLERS, 0.0, tokens, PROMPT_BYTES, MODEL, TEAM_KEY, seed
    )


def _full(urls: tuple[str, ...], seed: int) -> Order:
    return _order(urls, seed, FULL_SECONDS, TOKENS)


def _short(urls: tuple[str, ...], seed: int) -> Order:
    return _order(urls, seed, SHORT_SECONDS, SHORT_TOKENS)
