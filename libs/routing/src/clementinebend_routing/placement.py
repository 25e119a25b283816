"""Placement of models on endpoints, limited by the bandwidth of the weight store.

The algorithm is greedy: the model with the highest demand per replica gets the next
replica, on an endpoint with free capacity or in place of the model that loses least by
it. A replacement must gain more than it costs by a margin, so that small changes in
demand do not move replicas. Loads are limited by an allowance of bytes that accrues at
the store's rate. The last replica of a model in demand is never removed.
"""

from collections.abc import Iterable, Mapping
from itertools import chain
from typing import NamedTuple

MIN_GAIN_RATIO = 1.5
"""A replica is replaced only if the demand gained is more than this many times the
demand lost. The first replica of a model in demand is exempt."""

BURST_SECONDS = 120.0
"""Maximum allowance, in seconds of the store's rate."""


class ModelNeed(NamedTuple):
    """Demand for a model in an arbitrary unit, and the size of its weights in bytes."""

    model: str
    demand: float
    size: int


class PlacementTarget(NamedTuple):
    """An endpoint with capacity for ``max_models`` models, including those loading."""

    endpoint: str
    zone: str
    max_models: int
    models: tuple[str, ...]


class LoadModel(NamedTuple):
    """Effect: the endpoint's sidecar orders the engine to load a model."""

    endpoint: str
    model: str


class UnloadModel(NamedTuple):
    """Effect: the endpoint's sidecar orders the engine to unload a model."""

    endpoint: str
    model: str


PlacementOrder = LoadModel | UnloadModel


class PlacementState(NamedTuple):
    """The bytes that may be loaded now, and the store's rate in bytes per second."""

    rate: float
    allowance: float
    updated_at: float


class Move(NamedTuple):
    """A new replica of a model, and the model that it replaces, if any."""

    target: PlacementTarget
    model: str
    replaced: str | None


def initial_placement(rate: float, now: float) -> PlacementState:
    """Return a state with a full allowance."""
    return PlacementState(rate, rate * BURST_SECONDS, now)


def plan_placement(
    state: PlacementState,
    needs: Iterable[ModelNeed],
    targets: Iterable[PlacementTarget],
    now: float,
) -> tuple[PlacementState, tuple[PlacementOrder, ...]]:
    """Return the orders to issue now; call again when they are completed."""
    state = _refill(state, now)
    need_by_model = {need.model: need for need in needs if need.demand > 0}
    target_by_name = {target.endpoint: target for target in targets}
    orders: list[PlacementOrder] = []
    while (move := _best_move(need_by_model, target_by_name)) is not None:
        size = need_by_model[move.model].size
        if size > state.allowance:
            break
        state = state._replace(allowance=state.allowance - size)
        target_by_name[move.target.endpoint] = _with_move(move)
        orders.extend(_orders(move))
    return state, tuple(orders)


def _refill(state: PlacementState, now: float) -> PlacementState:
    accrued = state.rate * max(0.0, now - state.updated_at)
    allowance = min(state.rate * BURST_SECONDS, state.allowance + accrued)
    return state._replace(allowance=allowance, updated_at=now)


def _best_move(
    needs: Mapping[str, ModelNeed], targets: Mapping[str, PlacementTarget]
) -> Move | None:
    """Return the move for the model with the highest demand per replica, if any."""
    replicas = _replicas(targets.values())
    neediest = sorted(
        needs.values(),
        key=lambda need: (-_demand_per_replica(need, replicas), need.model),
    )
    moves = (_move_for(need, needs, replicas, targets) for need in neediest)
    return next((move for move in moves if move is not None), None)


def _replicas(targets: Iterable[PlacementTarget]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for model in chain.from_iterable(target.models for target in targets):
        counts[model] = counts.get(model, 0) + 1
    return counts


def _demand_per_replica(need: ModelNeed, replicas: Mapping[str, int]) -> float:
    """Return the demand per replica, or infinity without replicas."""
    count = replicas.get(need.model, 0)
    return need.demand / count if count else float("inf")


def _move_for(
    need: ModelNeed,
    needs: Mapping[str, ModelNeed],
    replicas: Mapping[str, int],
    targets: Mapping[str, PlacementTarget],
) -> Move | None:
    without_model = [
        target for target in targets.values() if need.model not in target.models
    ]
    with_capacity = [
        target for target in without_model if len(target.models) < target.max_models
    ]
    zones = [target.zone for target in targets.values() if need.model in target.models]
    if with_capacity:
        return Move(
            min(with_capacity, key=lambda target: _rank(target, zones)),
            need.model,
            None,
        )
    gained_demand = need.demand / (replicas.get(need.model, 0) + 1)
    swaps = [
        (
            _demand_after_removal(model, needs, replicas),
            _rank(target, zones),
            model,
            target,
        )
        for target in without_model
        for model in target.models
    ]
    if not swaps:
        return None
    lost_demand, _, model, target = min(swaps, key=lambda swap: swap[:3])
    if need.model not in replicas and lost_demand < float("inf"):
        return Move(target, need.model, model)
    return (
        Move(target, need.model, model)
        if gained_demand > MIN_GAIN_RATIO * lost_demand
        else None
    )


def _rank(target: PlacementTarget, zones: list[str]) -> tuple[int, int, str]:
    """Prefer zones with fewer replicas of the model, then emptier endpoints."""
    return zones.count(target.zone), len(target.models), target.endpoint


def _demand_after_removal(
    model: str, needs: Mapping[str, ModelNeed], replicas: Mapping[str, int]
) -> float:
    """Return the demand per replica after one replica is removed."""
    if model not in needs:
        return 0.0
    count = replicas[model]
    return needs[model].demand / (count - 1) if count > 1 else float("inf")


def _with_move(move: Move) -> PlacementTarget:
    kept = (model for model in move.target.models if model != move.replaced)
    return move.target._replace(models=(*kept, move.model))


def _orders(move: Move) -> tuple[PlacementOrder, ...]:
    load = LoadModel(move.target.endpoint, move.model)
    if move.replaced is None:
        return (load,)
    return UnloadModel(move.target.endpoint, move.replaced), load
