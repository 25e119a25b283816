"""Wakes all tasks that wait for the next change of some state."""

from asyncio import Event, timeout


class Notifier:
    """A change signal; waiters check their own condition after each wake."""

    def __init__(self) -> None:
        self.event = Event()

    def notify(self) -> None:
        """Wake everyone who waits now."""
        self.event.set()
        self.event = Event()

    async def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next change; return False when ``seconds`` pass first."""
        try:
            async with timeout(seconds):
                await self.event.wait()
        except TimeoutError:
            return False
        return True
