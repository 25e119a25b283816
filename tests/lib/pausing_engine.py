"""An engine that falls silent for a moment, and goes on."""

from asyncio import Event, sleep

from tests.lib.platform_engine import EngineStandin


class PausingEngine(EngineStandin):
    """Sends no byte of any answer while it is silent; it still takes requests."""

    def __init__(self, service: str, zone: str) -> None:
        super().__init__(service, zone)
        self.speaking = Event()
        self.speaking.set()

    async def fall_silent(self, seconds: float) -> None:
        """Send nothing for some seconds."""
        self.speaking.clear()
        await sleep(seconds)
        self.speaking.set()

    async def _sleep(self, seconds: float, request_id: str) -> None:
        await super()._sleep(seconds, request_id)
        await self.speaking.wait()
