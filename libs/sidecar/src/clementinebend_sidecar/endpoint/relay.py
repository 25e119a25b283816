"""Answers of an endpoint as events of the gate."""

from clementinebend_records.identifiers import RunId
from clementinebend_sidecar.gate.events import HeadArrived, PieceArrived
from clementinebend_sidecar.runner import Tell
from clementinebend_transport.http_client import Answer

PIECE_BYTES = 262_144
"""Largest piece of an answer that is not streamed; far below a message's limit."""

DEFAULT_TYPE = "application/octet-stream"


def relay_whole(run: RunId, answer: Answer, tell: Tell) -> None:
    """Tell a whole answer in pieces."""
    tell(head_of(run, answer.status, answer.headers))
    for start in range(0, len(answer.body), PIECE_BYTES):
        tell(PieceArrived(run, answer.body[start : start + PIECE_BYTES]))


def head_of(run: RunId, status: int, headers: dict[str, str]) -> HeadArrived:
    """Return the event for the head of an answer."""
    return HeadArrived(run, status, headers.get("content-type", DEFAULT_TYPE))
