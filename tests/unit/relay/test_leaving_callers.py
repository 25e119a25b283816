"""Callers that leave as the first event of their stream is ready, in virtual time."""

from asyncio import CancelledError, Task, create_task, get_running_loop
from collections.abc import Callable
from typing import NamedTuple

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_relay.admission import Admitted
from clementinebend_relay.budgets import Reservation
from clementinebend_relay.endpoint_state import EndpointState
from tests.unit.relay.silent_world import (
    Silence,
    SilentWorld,
    stream_request,
)


class EndSeen(NamedTuple):
    """What an entry holds at the moment in which the task of a caller has ended."""

    in_flight: int
    settled: int


def call_after(iterations: int, function: Callable[[], object]) -> None:
    """Call a function after some iterations of the event loop."""
    loop = get_running_loop()
    if iterations:
        loop.call_soon(call_after, iterations - 1, function)
    else:
        loop.call_soon(function)


def cancel_at_first_event(
    world: SilentWorld, caller: Task[None], iterations: int
) -> None:
    """Cancel a caller some iterations after the first event of its stream is read."""
    dispatcher = world.entries[0].dispatcher
    on_first_token = dispatcher.on_first_token

    def leave(admitted: Admitted, state: EndpointState) -> None:
        on_first_token(admitted, state)
        call_after(iterations, caller.cancel)

    dispatcher.on_first_token = leave  # type: ignore[method-assign]


def settlements(world: SilentWorld) -> list[Reservation]:
    """Return the reservations that are settled from now on."""
    settled: list[Reservation] = []
    budgets = world.entries[0].budgets
    settle = budgets.settle

    def record(reservation: Reservation, spent: int) -> None:
        settled.append(reservation)
        settle(reservation, spent)

    budgets.settle = record  # type: ignore[method-assign]
    return settled


async def read(world: SilentWorld, path: str) -> None:
    """Read a stream and close it, as a connection does."""
    response = await world.entries[0].handler.handle(stream_request(1, path))
    assert not isinstance(response.body, bytes)
    try:
        async for _ in response.body:
            pass
    finally:
        await response.body.aclose()  # type: ignore[attr-defined]


async def leave_stream(path: str, iterations: int) -> EndSeen:
    """Leave a stream; return what is held as soon as its caller's task has ended."""
    world = SilentWorld(Silence(seconds=0.0))
    settled = settlements(world)
    caller = create_task(read(world, path))
    cancel_at_first_event(world, caller, iterations)
    with pytest.raises(CancelledError):
        await caller
    seen = EndSeen(world.in_flight(), len(settled))
    await world.stop()
    return seen


@pytest.mark.parametrize("iterations", range(4))
@pytest.mark.parametrize("path", ["/stream/x", "/stream-once/x"])
def test_the_attempt_of_a_caller_that_leaves_is_closed_at_once(
    path: str, iterations: int
) -> None:
    """Guards against attempts that are closed only as a generator is finalized."""
    assert run_virtually(leave_stream(path, iterations)) == EndSeen(0, 1)
