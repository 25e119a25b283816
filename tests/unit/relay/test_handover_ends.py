"""The ends of hand-overs of silent streams, whole entries in virtual time."""

from collections.abc import Callable

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.unit.relay.silent_world import (
    FOR_GOOD,
    Silence,
    SilentWorld,
    StreamResult,
)


def read_stream(
    world_of: Callable[[], SilentWorld],
    prepare: Callable[[SilentWorld], None] = lambda world: None,
) -> tuple[SilentWorld, StreamResult]:
    """Read one stream, and check that nothing is in flight after it."""

    async def main() -> tuple[SilentWorld, StreamResult, int]:
        world = world_of()
        prepare(world)
        seen = await world.stream(1)
        await world.settle()
        counted = world.in_flight()
        await world.stop()
        return world, seen, counted

    world, seen, counted = run_virtually(main())
    assert counted == 0
    return world, seen


def one_retry(world: SilentWorld) -> None:
    """Leave a budget of one retry."""
    allowed = iter([True])
    dispatcher = world.entries[0].dispatcher
    dispatcher.may_retry = lambda service: next(allowed, False)  # type: ignore[method-assign]


@pytest.mark.parametrize("ends_after", [1.3, 1.4, 1.5])
def test_a_second_attempt_that_is_left_alone_is_not_given_up(ends_after: float) -> None:
    """Guards against streams that are cut between two endpoints."""
    silence = Silence(
        seconds=FOR_GOOD, later="slow", slow_seconds=1.4, ends_after=ends_after
    )
    _, seen = read_stream(lambda: SilentWorld(silence, max_attempts=3), one_retry)
    assert seen.is_whole, seen
