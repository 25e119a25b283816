"""Waits with a timeout that return what has come when the timeout expires.

After a late iteration of the event loop, a timeout and what it waits for are due in the
same iteration. ``asyncio.timeout`` raises ``TimeoutError`` then, though nothing is
missing.
"""

from asyncio import Future, get_running_loop, sleep, wait
from typing import Any

from clementinebend_transport.metrics import counter

SETTLE_ITERATIONS = 4
"""Iterations of the event loop in which a task ends that has got what it waits for."""

late_waits = counter(
    "clementinebend_late_waits_total",
    "Waits that found what they waited for only after their timeout had expired.",
)


async def wait_until_done(future: Future[Any], seconds: float) -> bool:
    """Wait up to some seconds for a future or task; return whether it is done.

    It is not cancelled, neither by the timeout nor with the caller.
    """
    if future.done():
        return True
    loop = get_running_loop()
    until = loop.time() + seconds
    await wait((future,), timeout=seconds)
    for _ in range(SETTLE_ITERATIONS):
        if not future.done():
            await sleep(0.0)
    if future.done() and loop.time() >= until:
        late_waits.inc()
    return future.done()
