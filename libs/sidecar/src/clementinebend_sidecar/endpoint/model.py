"""Runs of a model engine.

The engine is always asked for the usage. A caller who did not ask for it may
get the extra usage event of a streamed answer; clients of the OpenAI shape
ignore an event without choices.
"""

from asyncio import Event
from http import HTTPStatus

from expression import Result
from msgspec.json import encode

from clementinebend_platform_client.engine import EngineClient
from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import RunStart
from clementinebend_sidecar.endpoint.bodies import engine_body
from clementinebend_sidecar.endpoint.relay import head_of, relay_whole
from clementinebend_sidecar.endpoint.scan import Scan, scan_end, scan_piece
from clementinebend_sidecar.endpoint.verdicts import (
    NO_USAGE,
    model_verdict,
    no_answer,
    refused_by_engine,
    stream_verdict,
)
from clementinebend_sidecar.gate.door import MS_PER_S
from clementinebend_sidecar.gate.events import Broken, PieceArrived, Verdict, Whole
from clementinebend_sidecar.runner import STOP_SECONDS, Tell
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import Answer, OpenAnswer

JSON_HEADERS = {"content-type": "application/json"}


class ModelEndpoint:
    """A model engine."""

    can_cancel = True

    def __init__(self, engine: EngineClient) -> None:
        self.engine = engine

    async def execute(self, start: RunStart, tell: Tell, stop: Event) -> Verdict:
        """Run a request on the engine once and tell its answer as it comes."""
        match engine_body(start):
            case Result(tag="ok", ok=body):
                return await self.ask(start, body, tell, stop)
            case Result(error=problem):
                return _bad_request(start.run, problem, tell)
        raise AssertionError("a result is ok or an error")

    async def ask(
        self, start: RunStart, body: bytes, tell: Tell, stop: Event
    ) -> Verdict:
        """Send the request and tell the answer."""
        opened = await self.engine.start(
            start.path,
            body,
            run=start.run,
            priority=-start.priority,
            timeout=start.deadline_ms / MS_PER_S + STOP_SECONDS,
        )
        match opened:
            case Result(tag="ok", ok=answer):
                try:
                    return await _relay(start, answer, tell, stop)
                finally:
                    answer.close()
            case _:
                return no_answer(opened.error.sent, opened.error.message)

    async def cancel(self, run: RunId) -> int | None:
        """Cancel a run at the engine; return the tokens it says it took."""
        cancelled = await self.engine.cancel(run)
        return cancelled.default_value(None)


async def _relay(
    start: RunStart, answer: OpenAnswer, tell: Tell, stop: Event
) -> Verdict:
    refused = refused_by_engine(answer.status)
    if refused is not None:
        return refused
    if start.stream and answer.status == HTTPStatus.OK:
        return await _relay_stream(start.run, answer, tell, stop)
    return await _relay_body(start.run, answer, tell, stop)


async def _relay_stream(
    run: RunId, answer: OpenAnswer, tell: Tell, stop: Event
) -> Verdict:
    tell(head_of(run, answer.status, answer.headers))
    scan = Scan()
    try:
        async for piece in answer.chunks:
            scan = scan_piece(scan, piece)
            tell(PieceArrived(run, piece))
    except TruncatedAnswer as error:
        return Broken(str(error), scan.usage, certain=True)
    return stream_verdict(scan_end(scan), stop.is_set())


async def _relay_body(
    run: RunId, answer: OpenAnswer, tell: Tell, stop: Event
) -> Verdict:
    try:
        body = b"".join([piece async for piece in answer.chunks])
    except TruncatedAnswer as error:
        return Broken(str(error), usage=None, certain=True)
    verdict = model_verdict(answer.status, body, stop.is_set())
    if isinstance(verdict, Whole):
        relay_whole(run, Answer(answer.status, answer.headers, body), tell)
    return verdict


def _bad_request(run: RunId, problem: str, tell: Tell) -> Verdict:
    """Answer in the engine's place: it never gets this body."""
    body = encode({"error": {"type": "bad_request", "message": problem}})
    relay_whole(run, Answer(HTTPStatus.BAD_REQUEST, JSON_HEADERS, body), tell)
    return Whole(NO_USAGE, succeeded=False)
