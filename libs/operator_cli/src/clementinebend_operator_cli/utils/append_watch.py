"""A log client that remembers whether an append may have taken effect."""

from expression import Result

from clementinebend_platform_client.log_client import (
    LogClient,
    LogFailure,
    ReadPage,
    Trimmed,
)


class AppendWatch:
    """Passes calls on to ``log``; ``may_have_effect`` until proved otherwise."""

    def __init__(self, log: LogClient) -> None:
        self.log = log
        self.unproved = 0

    @property
    def may_have_effect(self) -> bool:
        """Return whether an append was not proved to have had no effect."""
        return self.unproved > 0

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append, and count it unless the log proves that it did not happen."""
        self.unproved += 1
        answer = await self.log.append(stream, data)
        if answer.is_error() and not answer.error.maybe_done:
            self.unproved -= 1
        return answer

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> Result[ReadPage, LogFailure | Trimmed]:
        """Read."""
        return await self.log.read(stream, offset, limit, wait)
