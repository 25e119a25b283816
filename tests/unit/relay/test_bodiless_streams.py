"""Streams whose answer has no body for the caller, in virtual time."""

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from tests.unit.relay.silent_world import Silence, SilentWorld, stream_request
from tests.unit.relay.test_leaving_callers import EndSeen, settlements


async def close_unread(path: str) -> EndSeen:
    """Close a stream of which nothing is read, as a connection does for HEAD."""
    world = SilentWorld(Silence(seconds=0.0))
    settled = settlements(world)
    response = await world.entries[0].handler.handle(stream_request(1, path))
    await response.body.aclose()  # type: ignore[union-attr]
    seen = EndSeen(world.in_flight(), len(settled))
    await world.stop()
    return seen


@pytest.mark.parametrize("path", ["/stream/x", "/stream-once/x"])
def test_a_stream_that_is_closed_unread_is_settled(path: str) -> None:
    """Guards against budgets that stay reserved after an answer without a body."""
    assert run_virtually(close_unread(path)) == EndSeen(0, 1)
