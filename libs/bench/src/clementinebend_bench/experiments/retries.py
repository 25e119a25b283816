"""Retries: amplification and time back to normal, after a cut and a zone loss.

The naive entry retries at once whatever failed, and whatever gave no first
token in two seconds, until the caller's deadline; it refuses nothing. Beside
it the fleet's admission, retry budgets and refusals with a time to come back.
"""

from itertools import product
from typing import NamedTuple

from clementinebend_bench.experiments.routing import cached_shares
from clementinebend_bench.models.deployments import DEPLOYMENTS, Deployment
from clementinebend_bench.models.outage import simulate_fault
from clementinebend_bench.models.outage_entries import fleet_entry, naive_entry
from clementinebend_bench.models.outage_world import Fault, World
from clementinebend_bench.models.traces import Request, make_trace
from clementinebend_bench.parallel import map_cases
from clementinebend_bench.rows import Row, ratio_of

LOAD = 0.8
SECONDS = 210.0
FAULT_START = 60.0
CUT_SECONDS = 60.0
COUNTED_AFTER_CUT = 30.0
"""Seconds after the end of a cut in which requests still count for it."""

MAX_AMPLIFICATION = 1.1
NORMAL = 0.95
"""Share of good requests that counts as normal."""

WINDOW = 5
STAYS_NORMAL = 10
"""Seconds that the good share must stay normal to count as back."""

CUT = "one-minute cut"
ZONE_LOSS = "zone loss"
FLEET = "fleet"
NAIVE = "naive retries"


class Case(NamedTuple):
    """One simulation."""

    deployment: Deployment
    fault: str
    arm: str
    seed: int
    cached_share: float


class Result(NamedTuple):
    """Dispatches per request sent at all, seconds until normal, good share after."""

    amplification: float
    back_after: float
    good: float


def run(seed: int) -> tuple[Row, ...]:
    """Return the rows of both faults in both deployments."""
    settings = tuple(product(DEPLOYMENTS, (CUT, ZONE_LOSS)))
    shares = cached_shares(DEPLOYMENTS, seed)
    cases = [
        Case(deployment, fault, arm, seed, shares[deployment])
        for deployment, fault in settings
        for arm in (FLEET, NAIVE)
    ]
    results = iter(map_cases(run_case, cases))
    return tuple(
        row
        for deployment, fault in settings
        for row in _rows(f"{deployment.name}, {fault}", next(results), next(results))
    )


def run_case(case: Case) -> Result:
    """Return the figures of one arm under one fault."""
    deployment = case.deployment
    trace = make_trace(deployment, LOAD, SECONDS, case.seed, case.cached_share)
    fault = _fault(deployment, case.fault)
    naive = case.arm == NAIVE
    factory = naive_entry if naive else fleet_entry
    world = simulate_fault(deployment, trace, fault, factory, naive, case.seed, SECONDS)
    healed = fault.end if case.fault == CUT else fault.start
    counted = {
        request.request
        for request in trace
        if fault.start <= request.time < min(SECONDS, healed + COUNTED_AFTER_CUT)
    }
    sent = [request for _, request in world.dispatches if request in counted]
    after = [r for r in trace if healed <= r.time < healed + COUNTED_AFTER_CUT]
    good = sum(request.request in world.good for request in after)
    return Result(
        len(sent) / len(set(sent)), _back_after(world, trace, healed), good / len(after)
    )


def _fault(deployment: Deployment, name: str) -> Fault:
    if name == CUT:
        end = FAULT_START + CUT_SECONDS
        return Fault(FAULT_START, end, deployment.zones, entries_lost=False)
    return Fault(FAULT_START, SECONDS, deployment.zones[:1], entries_lost=True)


def _back_after(world: World, trace: tuple[Request, ...], healed: float) -> float:
    """Return the seconds until requests that arrive are answered as normal.

    That is the first second from which the good share of the arrivals of
    ``WINDOW`` seconds is normal and stays so; infinite if there is none.
    """
    last = int(SECONDS - WINDOW - STAYS_NORMAL)
    good = [
        _good_share(world, trace, second, second + WINDOW)
        for second in range(int(healed), last + STAYS_NORMAL)
    ]
    starts = (
        second
        for second in range(len(good) - STAYS_NORMAL)
        if min(good[second : second + STAYS_NORMAL]) >= NORMAL
    )
    return float(next(starts, float("inf")))


def _good_share(
    world: World, trace: tuple[Request, ...], start: float, end: float
) -> float:
    window = [one for one in trace if start <= one.time < end]
    return sum(one.request in world.good for one in window) / max(1, len(window))


def _rows(name: str, own: Result, naive: Result) -> tuple[Row, ...]:
    return (
        Row(
            f"{name}: dispatches per request",
            own.amplification,
            "x",
            NAIVE,
            naive.amplification,
            ratio_of(own.amplification, naive.amplification),
            f"<= {MAX_AMPLIFICATION}",
            own.amplification <= MAX_AMPLIFICATION,
        ),
        Row(
            f"{name}: back to normal after",
            own.back_after,
            "s",
            NAIVE,
            naive.back_after,
            ratio_of(own.back_after, naive.back_after),
            "not after it",
            own.back_after <= naive.back_after,
        ),
        Row(
            f"{name}: good in the next {COUNTED_AFTER_CUT:.0f} s",
            own.good,
            "share",
            NAIVE,
            naive.good,
            ratio_of(own.good, naive.good),
            ">= 1.0 of it",
            own.good >= naive.good,
        ),
    )
