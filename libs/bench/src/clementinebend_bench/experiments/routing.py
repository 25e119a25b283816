"""Routing: time to first token against round robin and load-only policies.

Both deployments at three loads, and two variants of them at 80 %: engines that
run out of slots rather than of prefill, where cached prefixes are worth little,
and pools in which one engine is slow. All policies get the same trace; several
entries decide alone on lagging reports.
"""

from collections.abc import Iterable
from functools import partial
from itertools import product
from typing import NamedTuple

from clementinebend_bench.models.deployments import DEPLOYMENTS, Deployment
from clementinebend_bench.models.engine import EngineSize
from clementinebend_bench.models.policies import (
    fleet_routing,
    least_in_flight,
    power_of_two,
    round_robin,
)
from clementinebend_bench.models.simulation import PolicyFactory, simulate
from clementinebend_bench.models.traces import make_trace
from clementinebend_bench.parallel import map_cases
from clementinebend_bench.rows import Row, percentile, ratio_of

SECONDS = 120.0
WARM_UP_SECONDS = 20.0
CALIBRATION_SECONDS = 60.0
CALIBRATION_LOAD = 0.3

LOADS = (0.5, 0.8, 0.95)
BAR_LOAD = 0.8
BAR_RATIO = 0.6
"""Share of the best baseline's 95th percentile asked for at ``BAR_LOAD``."""

FIRST_TOKEN_DEADLINE = 0.38
"""Seconds to the first token that count as good, from the target of the aim."""

SLOT_BOUND = EngineSize(slots=8, step=0.012, tokens_per_step=512)
"""Few slots and fast prefill: the slots run out first, cached or not."""

FLEET = "fleet"
POLICIES: dict[str, PolicyFactory] = {
    FLEET: fleet_routing,
    "round robin": round_robin,
    "least in flight": least_in_flight,
    "power of two": power_of_two,
}


class Case(NamedTuple):
    """One simulation."""

    deployment: Deployment
    load: float
    policy: str
    seed: int
    cached_share: float


class Result(NamedTuple):
    """Figures of one simulation; times in seconds, the others are shares."""

    p50: float
    p95: float
    cached: float
    good: float


def run(seed: int) -> tuple[Row, ...]:
    """Return the rows of all deployments, loads and baselines."""
    settings = [*product(DEPLOYMENTS, LOADS), *((d, BAR_LOAD) for d in _variants())]
    shares = cached_shares(dict.fromkeys(one for one, _ in settings), seed)
    cases = [
        Case(deployment, load, policy, seed, shares[deployment])
        for deployment, load in settings
        for policy in POLICIES
    ]
    results = dict(zip(cases, map_cases(run_case, cases), strict=True))
    return tuple(
        row
        for deployment, load in settings
        for row in _rows(
            f"{deployment.name} at {load:.0%}",
            load == BAR_LOAD and deployment in DEPLOYMENTS,
            {
                policy: results[
                    Case(deployment, load, policy, seed, shares[deployment])
                ]
                for policy in POLICIES
            },
        )
    )


def run_case(case: Case) -> Result:
    """Return the figures of one policy on one trace."""
    trace = make_trace(
        case.deployment, case.load, SECONDS, case.seed, case.cached_share
    )
    measured = simulate(case.deployment, trace, POLICIES[case.policy], case.seed)
    counted = [one for one in measured if one.request.time >= WARM_UP_SECONDS]
    if len(measured) != len(trace):
        raise ValueError(f"{len(trace) - len(measured)} requests never started")
    times = [one.to_first_token for one in counted]
    cached = sum(one.cached for one in counted)
    prompts = sum(one.request.prompt for one in counted)
    good = sum(time <= FIRST_TOKEN_DEADLINE for time in times)
    return Result(
        percentile(times, 50),
        percentile(times, 95),
        cached / prompts,
        good / len(times),
    )


def cached_shares(
    deployments: Iterable[Deployment], seed: int
) -> dict[Deployment, float]:
    """Return the share that round robin finds cached, by deployment."""
    known = tuple(deployments)
    shares = map_cases(partial(baseline_cached_share, seed=seed), known)
    return dict(zip(known, shares, strict=True))


def baseline_cached_share(deployment: Deployment, seed: int) -> float:
    """Return the share of prompt tokens that round robin finds cached."""
    trace = make_trace(deployment, CALIBRATION_LOAD, CALIBRATION_SECONDS, seed)
    measured = simulate(deployment, trace, round_robin, seed)
    cached = sum(one.cached for one in measured)
    return cached / sum(one.request.prompt for one in measured)


def _variants() -> tuple[Deployment, ...]:
    return tuple(
        variant
        for deployment in DEPLOYMENTS
        for variant in (
            deployment._replace(name=f"{deployment.name} slot-bound", size=SLOT_BOUND),
            deployment._replace(name=f"{deployment.name} one slow", slow_engines=1),
        )
    )


def _rows(name: str, has_bar: bool, results: dict[str, Result]) -> tuple[Row, ...]:
    own = results[FLEET]
    baselines = {key: result for key, result in results.items() if key != FLEET}
    return (
        *(
            _first_token_row(name, own, key, result)
            for key, result in baselines.items()
        ),
        *(_bar_rows(name, own, baselines) if has_bar else ()),
        *_share_rows(name, own, baselines),
    )


def _first_token_row(name: str, own: Result, key: str, baseline: Result) -> Row:
    ratio = ratio_of(own.p95, baseline.p95)
    met = own.p95 < baseline.p95
    title = f"{name}: p95 to first token"
    return Row(title, own.p95, "s", key, baseline.p95, ratio, "< 1.0 of it", met)


def _bar_rows(name: str, own: Result, baselines: dict[str, Result]) -> tuple[Row, ...]:
    """Return the row of the ratio asked for at ``BAR_LOAD``."""
    best = min(baselines, key=lambda key: baselines[key].p95)
    ratio = own.p95 / baselines[best].p95
    title = f"{name}: p95 to first token, best baseline"
    bar = f"< {BAR_RATIO} of it"
    met = ratio < BAR_RATIO
    return (Row(title, own.p95, "s", best, baselines[best].p95, ratio, bar, met),)


def _share_rows(
    name: str, own: Result, baselines: dict[str, Result]
) -> tuple[Row, ...]:
    cached = max(baselines, key=lambda key: baselines[key].cached)
    good = max(baselines, key=lambda key: baselines[key].good)
    return (
        Row(
            f"{name}: prompt tokens cached",
            own.cached,
            "share",
            cached,
            baselines[cached].cached,
            ratio_of(own.cached, baselines[cached].cached),
            ">= 1.0 of it",
            own.cached >= baselines[cached].cached,
        ),
        Row(
            f"{name}: first token within {FIRST_TOKEN_DEADLINE} s",
            own.good,
            "share",
            good,
            baselines[good].good,
            ratio_of(own.good, baselines[good].good),
            ">= 1.0 of it",
            own.good >= baselines[good].good,
        ),
    )
