"""One answer as it is put together from a run's messages; pure.

The pieces are checked by sequence. When the answer is told again from its
start, by an attachment or by another run, bytes that were received are
compared and not sent twice; an answer that differs from what the caller has
already got is broken, never spliced.
"""

from itertools import takewhile
from typing import NamedTuple

from clementinebend_entry.held_stream import has_end_marker, release_limit
from clementinebend_records.messages import RunChunk, RunEnd, RunHead

EVENT_STREAM = "text/event-stream"
FIRST_ERROR_STATUS = 400


class AnswerState(NamedTuple):
    """What was received, and of that what the caller has got.

    ``position`` and ``sequence`` are where the present telling has come to;
    ``released`` counts bytes of ``body`` that went to the caller. With
    ``stream`` bytes go on as they come, else only when all is there.
    """

    stream: bool
    body: bytearray
    status: int = 0
    content_type: str = ""
    position: int = 0
    sequence: int = 0
    released: int = 0


class Release(NamedTuple):
    """Bytes that may go to the caller now; often none."""

    data: bytes


class BrokenAnswer(NamedTuple):
    """The answer cannot be completed from this telling."""

    message: str


def empty_answer(stream: bool) -> AnswerState:
    """Return an answer of which nothing has come."""
    return AnswerState(stream, bytearray())


def rewind(answer: AnswerState) -> AnswerState:
    """Return the answer before a new telling from its start."""
    return answer._replace(position=0, sequence=0)


def has_begun(answer: AnswerState) -> bool:
    """Return whether the caller has got a part of the answer."""
    return answer.released > 0


def apply_head(
    answer: AnswerState, head: RunHead
) -> tuple[AnswerState, BrokenAnswer | None]:
    """Take status and content type."""
    same = (answer.status, answer.content_type) == (head.status, head.content_type)
    if has_begun(answer) and not same:
        return answer, BrokenAnswer("the answer begins differently from what was sent")
    return answer._replace(status=head.status, content_type=head.content_type), None


def apply_chunk(
    answer: AnswerState, chunk: RunChunk
) -> tuple[AnswerState, Release | BrokenAnswer]:
    """Take the next piece."""
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
    """Check that the answer is whole."""
    if end.chunks != answer.sequence:
        return answer, BrokenAnswer(f"{answer.sequence} pieces came of {end.chunks}")
    if answer.position < answer.released:
        return answer, BrokenAnswer("the answer is shorter than what was sent")
    del answer.body[answer.position :]
    if _is_event_stream(answer) and not has_end_marker(answer.body):
        return answer, BrokenAnswer("the answer has no end marker")
    return answer, None


def unreleased_bytes(answer: AnswerState) -> bytes:
    """Return what was held back."""
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
    """Return how many leading bytes of ``data`` are in the body already."""
    if answer.position == len(answer.body):
        return 0
    known = answer.body[answer.position : answer.position + len(data)]
    if known == data[: len(known)]:
        return len(known)
    pairs = zip(known, data, strict=False)
    return sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))
