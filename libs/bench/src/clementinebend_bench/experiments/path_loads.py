"""The loads of the path experiment, and what they say of each program."""

from collections.abc import Callable
from datetime import UTC, datetime
from json import loads
from pathlib import Path
from typing import NamedTuple

from msgspec.json import decode, encode, format

from clementinebend_bench.launcher.fleet_files import MODEL, TEAM_KEY, Plan
from clementinebend_bench.launcher.fleets import LocalFleet, running_fleet
from clementinebend_bench.launcher.loading import RELAY_PROGRAM, Measured, measure
from clementinebend_bench.launcher.processes import RunningProcess
from clementinebend_bench.programs.load import Order

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

DATA_PLANE_FILE = Path("build") / "path.json"

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


class DataPlane(NamedTuple):
    """What one run says of the data plane; ``date`` is in UTC.

    Costs are in seconds of a processor; loads in requests and appends a second.
    """

    seed: int
    date: str
    entry: UnitCost
    sidecar: UnitCost
    relay: UnitCost
    entry_tokens_per_core: float
    sidecar_tokens_per_core: float
    relay_tokens_per_core: float
    half_rate: float
    half_appends: float
    full_rate: float
    full_appends: float


async def measure_path(directory: Path, seed: int) -> PathFigures:
    """Start a fleet and a relay before the same engines, and load both."""
    async with running_fleet(directory, PLAN) as fleet:
        engines = tuple(fleet.url(f"{name}-endpoint") for name in fleet.endpoints)
        relay = await fleet.processes.start_process([*RELAY_PROGRAM, *engines])
        fleet.running[RELAY] = relay
        entry = (fleet.url(ENTRY),)

        async def load(urls: tuple[str, ...], make: Callable[..., Order]) -> Measured:
            before = await _appends(fleet)
            load = await measure(fleet.processes, make(urls, seed), _watched(fleet))
            return load._replace(appends=await _appends(fleet) - before)

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


def data_plane(figures: PathFigures, seed: int) -> DataPlane:
    """Return the figures that the capacity page is made of."""
    fleet = (figures.fleet_full, figures.fleet_short)
    full, half = figures.fleet_full, figures.fleet_half
    return DataPlane(
        seed,
        datetime.now(UTC).isoformat(timespec="minutes"),
        unit_cost(*fleet, ENTRY),
        unit_cost(*fleet, SIDECARS),
        unit_cost(figures.relay_full, figures.relay_short, RELAY),
        tokens_per_core(full, ENTRY),
        tokens_per_core(full, SIDECARS),
        tokens_per_core(figures.relay_full, RELAY),
        figures.half_rate,
        half.appends / half.answered.seconds,
        len(full.answered.whole) / full.answered.seconds,
        full.appends / full.answered.seconds,
    )


def write_data_plane(summary: DataPlane, path: Path) -> None:
    """Write a summary as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    content = {
        name: value._asdict() if isinstance(value, UnitCost) else value
        for name, value in summary._asdict().items()
    }
    path.write_bytes(format(encode(content), indent=1) + b"\n")


def read_data_plane(path: Path) -> DataPlane:
    """Return the summary in a file."""
    content = decode(path.read_bytes())
    costs = {name: UnitCost(**content[name]) for name in ("entry", "sidecar", "relay")}
    return DataPlane(**{**content, **costs})


async def _appends(fleet: LocalFleet) -> int:
    answer = await fleet.client.request("GET", f"{fleet.url('log')}/stats")
    counted: int = loads(answer.ok.body).get("appends", 0)
    return counted


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
