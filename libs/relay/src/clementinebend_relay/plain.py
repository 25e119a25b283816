"""Relay of answers that are given whole."""

from asyncio import timeout_at
from collections.abc import Callable

from clementinebend_relay.attempts import Attempts, Running
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.progress import CallProgress
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_types import Response


class PlainRelay:
    """Answers calls whose answer is read whole before any of it is relayed."""

    def __init__(
        self, attempts: Attempts, dispatcher: Dispatcher, clock: Callable[[], float]
    ) -> None:
        self.attempts = attempts
        self.dispatcher = dispatcher
        self.clock = clock

    async def answer(self, progress: CallProgress) -> Response | None:
        """Return an endpoint's answer; none if no attempt led to one."""
        while (running := await self.attempts.next(progress)) is not None:
            with running.hold:
                response = await self._read(running, progress)
            if response is not None:
                progress.is_whole = True
                return response
        return progress.failure

    async def _read(self, running: Running, progress: CallProgress) -> Response | None:
        endpoints = self.dispatcher.endpoints
        name = running.state.endpoint.name
        try:
            async with timeout_at(progress.deadline):
                pieces = [piece async for piece in running.answer.chunks]
        except (TimeoutError, TruncatedAnswer) as error:
            running.answer.close()
            endpoints.on_end(name, ok=False)
            progress.problem = f"the answer broke off: {error}"
            return None
        finally:
            running.answer.close()
        endpoints.on_end(name, ok=True)
        headers = self.dispatcher.protocol.caller_headers(running.answer.headers)
        return Response(running.answer.status, headers, b"".join(pieces))
