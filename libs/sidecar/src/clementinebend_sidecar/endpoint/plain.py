"""Calls of a plain service."""

from asyncio import Event

from expression import Result

from clementinebend_platform_client.service import ServiceClient
from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import RunStart
from clementinebend_sidecar.endpoint.relay import relay_whole
from clementinebend_sidecar.endpoint.verdicts import no_answer, plain_verdict
from clementinebend_sidecar.gate.door import MS_PER_S
from clementinebend_sidecar.gate.events import Verdict, Whole
from clementinebend_sidecar.runner import Tell


class PlainEndpoint:
    """A plain service: one call for each run, which cannot be cancelled."""

    can_cancel = False

    def __init__(self, service: ServiceClient) -> None:
        self.service = service

    async def execute(self, start: RunStart, tell: Tell, stop: Event) -> Verdict:
        """Call the service once and tell its whole answer."""
        answer = await self.service.call(
            start.method,
            start.path,
            start.content_type,
            start.body,
            run=start.run,
            key=start.key,
            timeout=start.deadline_ms / MS_PER_S,
        )
        match answer:
            case Result(tag="ok", ok=answered):
                verdict = plain_verdict(answered.status)
                if isinstance(verdict, Whole):
                    relay_whole(start.run, answered, tell)
                return verdict
            case _:
                return no_answer(answer.error.sent, answer.error.message)

    async def cancel(self, run: RunId) -> int | None:
        """Do nothing: a plain service has no way to take a call back."""
        return None
