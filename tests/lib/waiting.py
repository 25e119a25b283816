"""Waits on conditions, bounded in time."""

from asyncio import sleep, timeout
from collections.abc import AsyncIterator, Awaitable, Callable
from inspect import isawaitable
from itertools import count, repeat

POLL_SECONDS = 0.03


async def until(
    condition: Callable[[], bool | Awaitable[bool]], within: float = 10.0
) -> None:
    """Return once ``condition`` holds; raises ``TimeoutError`` if it does not."""
    async with timeout(within):
        for _ in repeat(None):
            held = condition()
            if await held if isawaitable(held) else held:
                return
            await sleep(POLL_SECONDS)


async def ticks(pause: float, until: Callable[[], bool]) -> AsyncIterator[int]:
    """Count, with a pause of some seconds between, until a condition holds.

    Raises ``TimeoutError`` if that takes over a minute.
    """
    async with timeout(60.0):
        for number in count():
            if until():
                return
            yield number
            await sleep(pause)
