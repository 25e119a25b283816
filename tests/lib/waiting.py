"""Waits on conditions, bounded in time."""

from asyncio import sleep, timeout
from collections.abc import Awaitable, Callable
from inspect import isawaitable
from itertools import repeat

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
