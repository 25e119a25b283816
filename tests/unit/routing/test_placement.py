"""Placement follows demand, respects the store's rate, and is stable."""

from os import environ

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebend_routing.placement import (
    BURST_SECONDS,
    LoadModel,
    ModelNeed,
    PlacementOrder,
    PlacementTarget,
    UnloadModel,
    initial_placement,
    plan_placement,
)

FUZZ = environ.get("CLEMENTINEBEND_FUZZ") == "1"
MODELS = ("a", "b", "c", "d")
UNLIMITED_RATE = 1e12

needs = st.lists(
    st.builds(
        ModelNeed, st.sampled_from(MODELS), st.floats(0, 100), st.integers(1, 50)
    ),
    unique_by=lambda need: need.model,
)


@st.composite
def placement_targets(draw: st.DrawFn) -> tuple[PlacementTarget, ...]:
    sizes = draw(st.lists(st.integers(1, 3), min_size=1, max_size=6))
    return tuple(
        PlacementTarget(
            f"e{number}",
            "ab"[number % 2],
            max_models,
            tuple(draw(st.permutations(MODELS))[: draw(st.integers(0, max_models))]),
        )
        for number, max_models in enumerate(sizes)
    )


def apply_orders(
    targets: tuple[PlacementTarget, ...], orders: tuple[PlacementOrder, ...]
) -> tuple[PlacementTarget, ...]:
    by_name = {target.endpoint: target for target in targets}
    for order in orders:
        target = by_name[order.endpoint]
        if isinstance(order, UnloadModel):
            assert order.model in target.models
            models = tuple(model for model in target.models if model != order.model)
        else:
            assert order.model not in target.models
            models = (*target.models, order.model)
        assert len(models) <= target.max_models
        by_name[order.endpoint] = target._replace(models=models)
    return tuple(by_name.values())


def placed_models(targets: tuple[PlacementTarget, ...]) -> set[str]:
    return {model for target in targets for model in target.models}


@settings(max_examples=5_000 if FUZZ else 300, derandomize=not FUZZ, deadline=None)
@given(needs=needs, targets=placement_targets())
def test_plan_is_stable_and_places_every_model_in_demand_if_it_fits(
    needs: list[ModelNeed], targets: tuple[PlacementTarget, ...]
) -> None:
    state = initial_placement(UNLIMITED_RATE, 0.0)
    state, orders = plan_placement(state, needs, targets, 0.0)
    after = apply_orders(targets, orders)
    demanded = {need.model for need in needs if need.demand > 0}
    assert placed_models(targets) & demanded <= placed_models(after)
    if sum(target.max_models for target in targets) >= len(demanded):
        assert demanded <= placed_models(after)
    assert plan_placement(state, needs, after, 1.0)[1] == ()


@settings(max_examples=2_000 if FUZZ else 100, derandomize=not FUZZ, deadline=None)
@given(needs=needs, targets=placement_targets(), rate=st.floats(0.01, 1))
def test_loads_stay_within_the_allowance_of_the_store(
    needs: list[ModelNeed], targets: tuple[PlacementTarget, ...], rate: float
) -> None:
    size_by_model = {need.model: need.size for need in needs}
    state = initial_placement(rate, 0.0)
    loaded_bytes = 0
    for minute in range(20):
        state, orders = plan_placement(state, needs, targets, minute * 60.0)
        targets = apply_orders(targets, orders)
        loads = (order for order in orders if isinstance(order, LoadModel))
        loaded_bytes += sum(size_by_model[load.model] for load in loads)
        assert loaded_bytes <= rate * (BURST_SECONDS + minute * 60.0) + 1e-6


def test_replicas_follow_demand_and_spread_over_zones() -> None:
    targets = tuple(
        PlacementTarget(f"e{number}", "ab"[number // 3], 1, ()) for number in range(6)
    )
    needs = (ModelNeed("big", 50.0, 10), ModelNeed("small", 10.0, 10))
    _, orders = plan_placement(
        initial_placement(UNLIMITED_RATE, 0.0), needs, targets, 0.0
    )
    after = apply_orders(targets, orders)
    big = [target.zone for target in after if "big" in target.models]
    assert (len(big), len(after) - len(big)) == (5, 1)
    assert sorted(big) in (["a", "a", "a", "b", "b"], ["a", "a", "b", "b", "b"])


def test_a_small_difference_in_demand_moves_no_replica() -> None:
    targets = tuple(
        PlacementTarget(f"e{number}", "a", 1, ("aabb"[number],)) for number in range(4)
    )
    needs = (ModelNeed("a", 12.0, 10), ModelNeed("b", 10.0, 10))
    assert (
        plan_placement(initial_placement(UNLIMITED_RATE, 0.0), needs, targets, 0.0)[1]
        == ()
    )
