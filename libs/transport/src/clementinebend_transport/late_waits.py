"""Waits with a timeout that return a result that is ready when the timeout expires.

After a late iteration of the event loop, a timeout and what it waits for are due in the
same iteration. ``asyncio.timeout`` raises ``TimeoutError`` then, although the result is
ready.
"""

from asyncio import (
    Event,
    Future,
    Handle,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait,
)
from asyncio import timeout as time_limit
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

from clementinebend_transport.metrics import counter

T = TypeVar("T")

SETTLE_ITERATIONS = 4
"""Event loop iterations that a task needs to end once its result is available."""

SETUP_ITERATIONS = 8
"""Event loop iterations that an established connection needs to be set up."""

ANSWER_ITERATIONS = 16
"""Event loop iterations in which an answer whose bytes have arrived is passed on."""

late_waits = counter(
    "clementinebend_late_waits_total",
    "Waits that found what they waited for only after their timeout had expired.",
)


async def wait_until_done(
    future: Future[Any], seconds: float, iterations: int = SETTLE_ITERATIONS
) -> bool:
    """Wait up to some seconds for a future or task; return whether it is done.

    After the timeout, the event loop runs some more iterations. The future is not
    cancelled, neither by the timeout nor with the caller.
    """
    if future.done():
        return True
    loop = get_running_loop()
    until = loop.time() + seconds
    await wait((future,), timeout=seconds)
    for _ in range(iterations):
        if not future.done():
            await sleep(0.0)
    if future.done() and loop.time() >= until:
        late_waits.inc()
    return future.done()


async def result_within(
    work: Awaitable[T], seconds: float, iterations: int = ANSWER_ITERATIONS
) -> T:
    """Return what ``work`` returns within some seconds.

    Raises ``TimeoutError``, or what ``work`` raises. After the timeout, the event loop
    runs some more iterations before ``work`` is cancelled. It runs in the caller's
    task, so that no result can be lost if the caller is cancelled.
    """
    loop = get_running_loop()
    until = loop.time() + seconds
    async with time_limit(None) as limit:
        timer = LateTimer(until, lambda: limit.reschedule(loop.time()), iterations)
        try:
            result = await work
        finally:
            timer.cancel()
    if loop.time() >= until:
        late_waits.inc()
    return result


class LateTimer:
    """Calls a function some iterations of the event loop after a time has come.

    What arrives by that time is handled first, also in a late iteration. The time is
    in that of the event loop.
    """

    def __init__(
        self,
        at: float,
        function: Callable[[], object],
        iterations: int = ANSWER_ITERATIONS,
    ) -> None:
        self.function = function
        self.iterations_left = iterations
        self.loop = get_running_loop()
        self.next_call: Handle = self.loop.call_at(at, self._count_iteration)

    def cancel(self) -> None:
        """Do not call the function any more."""
        self.next_call.cancel()

    def _count_iteration(self) -> None:
        if self.iterations_left == 0:
            self.function()
            return
        self.iterations_left -= 1
        self.next_call = self.loop.call_soon(self._count_iteration)


async def wait_until_set(event: Event, seconds: float | None) -> bool:
    """Wait up to some seconds for an event; return whether it is set."""
    try:
        async with time_limit(seconds):
            await event.wait()
    except TimeoutError:
        if not event.is_set():
            return False
        late_waits.inc()
    return True


async def set_up_within(
    setup: Coroutine[Any, Any, T], seconds: float, discard: Callable[[T], object]
) -> T:
    """Return the connection that ``setup`` opens, within some seconds.

    Raises ``TimeoutError``, or what ``setup`` raises. A connection that is established
    as the time expires is returned. One that completes after the timeout, or after the
    caller was cancelled, is passed to ``discard``.
    """
    task = create_task(setup)
    try:
        if not await wait_until_done(task, seconds, SETUP_ITERATIONS):
            raise TimeoutError("no connection in time")
    except BaseException:
        task.cancel()
        task.add_done_callback(partial(_discard_result, discard))
        raise
    return task.result()


def _discard_result(discard: Callable[[T], object], task: Task[T]) -> None:
    if not task.cancelled() and task.exception() is None:
        discard(task.result())
