"""Pure functions that assemble one answer from the messages of a run.

Chunks are checked by sequence number. If the answer is transmitted again from
its start, by an attachment or by another run, bytes received before are
compared and not sent twice. An answer that differs from what was already sent
to the caller is broken; parts of two answers are never spliced.
"""

from itertools import takewhile
from typing import NamedTuple

from clementinebend_entry.sse_end_event import has_end_marker, release_limit
from clementinebend_records.messages import RunChunk, RunEnd, RunHead

EVENT_STREAM = "text/event-stream"
FIRST_ERROR_STATUS = 400


class AnswerState(NamedTuple):
    """The bytes received so far and how many were released to the caller.

    ``position`` and ``sequence`` are the byte offset and the next chunk number
    of the current transmission; ``released`` counts the bytes of ``body`` sent
    to the caller. With ``stream``, bytes are released as they arrive;
    otherwise only once the answer is complete.
    """

    stream: bool
    body: bytearray
    status: int = 0
    content_type: str = ""
    position: int = 0
    sequence: int = 0
    released: int = 0


class Release(NamedTuple):
    """Bytes to send to the caller now; often empty."""

    data: bytes


class BrokenAnswer(NamedTuple):
    """The answer cannot be completed from the current transmission."""

    message: str


def empty_answer(stream: bool) -> AnswerState:
    """Return the state before anything was received."""
    return AnswerState(stream, bytearray())


def rewind(answer: AnswerState) -> AnswerState:
    """Return the state for a new transmission of the answer from its start."""
    return answer._replace(position=0, sequence=0)


def has_begun(answer: AnswerState) -> bool:
    """Return whether any bytes were released to the caller."""
    return answer.released > 0


def apply_head(
    answer: AnswerState, head: RunHead
) -> tuple[AnswerState, BrokenAnswer | None]:
    """Apply the status and content type; fail if they contradict what was sent."""
    same = (answer.status, answer.content_type) == (head.status, head.content_type)
    if has_begun(answer) and not same:
        return answer, BrokenAnswer("the answer begins differently from what was sent")
    return answer._replace(status=head.status, content_type=head.content_type), None


def apply_chunk(
    answer: AnswerState, chunk: RunChunk
) -> tuple[AnswerState, Release | BrokenAnswer]:
    """Apply the next chunk and return the bytes that it releases."""
    if chunk.sequence != answer.sequence:
        problem = f"piece {chunk.sequence} came instead of {answer.sequence}"
        return answer, BrokenAnswer(problem)
    matched = _matching_length(answer, chunk.data)
    position = answer.position + matched
    if position < answer.released and matched < len(chunk.data):
        return answer, BrokenAnswer("the answer differs from what was sent")
    if matched < len(chunk.data):
        del answer.body[position:]
        answer.body.extend(chunk.data[matched:])
    answer = answer._replace(
        position=answer.position + len(chunk.data), sequence=answer.sequence + 1
    )
    return _release(answer)


def apply_end(
    answer: AnswerState, end: RunEnd
) -> tuple[AnswerState, BrokenAnswer | None]:
    """Check that the answer is complete."""
    if end.chunks != answer.sequence:
        return answer, BrokenAnswer(f"{answer.sequence} pieces came of {end.chunks}")
    if answer.position < answer.released:
        return answer, BrokenAnswer("the answer is shorter than what was sent")
    del answer.body[answer.position :]
    if _is_event_stream(answer) and not has_end_marker(answer.body):
        return answer, BrokenAnswer("the answer has no end marker")
    return answer, None


def unreleased_bytes(answer: AnswerState) -> bytes:
    """Return the received bytes that were held back so far."""
    return bytes(answer.body[answer.released :])


def _is_event_stream(answer: AnswerState) -> bool:
    is_stream = answer.content_type.startswith(EVENT_STREAM)
    return is_stream and answer.status < FIRST_ERROR_STATUS


def _release(answer: AnswerState) -> tuple[AnswerState, Release]:
    if not (answer.stream and _is_event_stream(answer)):
        return answer, Release(b"")
    current_body = answer.body if answer.position == len(answer.body) else None
    if current_body is None:
        return answer, Release(b"")
    limit = release_limit(current_body, answer.released)
    data = bytes(current_body[answer.released : limit])
    return answer._replace(released=limit), Release(data)


def _matching_length(answer: AnswerState, data: bytes) -> int:
    """Return how many leading bytes of ``data`` match the body at ``position``."""
    if answer.position == len(answer.body):
        return 0
    known = answer.body[answer.position : answer.position + len(data)]
    if known == data[: len(known)]:
        return len(known)
    pairs = zip(known, data, strict=False)
    return sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))
