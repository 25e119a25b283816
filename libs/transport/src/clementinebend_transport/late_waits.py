"""Waits with a timeout that return what has come when the timeout expires.

After a late iteration of the event loop, a timeout and what it waits for are due in the
same iteration. ``asyncio.timeout`` raises ``TimeoutError`` then, though nothing is
missing.
"""

from asyncio import Event, Future, get_running_loop, timeout, wait
from typing import Any

from clementinebend_transport.metrics import counter

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
    if future.done() and loop.time() >= until:
        late_waits.inc()
    return future.done()


async def wait_until_set(event: Event, seconds: float) -> bool:
    """Wait up to some seconds for an event; return whether it is set."""
    try:
        async with timeout(seconds):
            await event.wait()
    except TimeoutError:
        if not event.is_set():
            return False
        late_waits.inc()
    return True
