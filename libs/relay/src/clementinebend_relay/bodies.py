"""Reads complete response bodies from endpoints, with limits on time and size."""

from asyncio import get_running_loop, timeout_at
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_transport.answer_chunks import next_piece
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer

FIRST_FAILURE_STATUS = 300

FAILURE_BODY_SECONDS = 1.0
"""Maximum time in seconds for the body of an unsuccessful response."""

FAILURE_BODY_SHARE = 0.5
"""Maximum share of the remaining time that such a body takes."""

MAX_GROWING_BYTES = 256 * 1024
"""Maximum size of a body of unknown size whose reservation grows with it.

A larger one reserves the maximum size: otherwise several of them could deadlock, each
holding a part of the room and waiting for the rest.
"""

MAX_BODY_CHUNKS = 4096
"""Maximum number of chunks of a body: each one takes processor time."""

Reserve = Callable[[int], Awaitable[None]]
"""Returns once there is room for so many bytes of an answer in all."""


class BodyFailure(NamedTuple):
    """Why a body is incomplete.

    ``broke_off`` is set if the connection closed early or the body was malformed,
    ``is_too_large`` if the body exceeded its maximum size or number of chunks.
    """

    problem: str
    broke_off: bool = False
    is_too_large: bool = False

    @property
    def is_proof(self) -> bool:
        """Whether it shows a fault of the endpoint, regardless of the load here."""
        return self.broke_off or self.is_too_large


async def read_body(
    answer: OpenAnswer,
    deadline: float,
    max_bytes: int,
    reserve: Reserve | None = None,
) -> Result[bytes, BodyFailure]:
    """Return the body of a response, of at most ``max_bytes``, or why it can't be read.

    A body of more than ``MAX_BODY_CHUNKS`` chunks is not read either.
    ``deadline`` is in the time of the event loop. A response that is not read to its
    end is closed, as its connection can't be reused. With ``reserve`` it is read only
    as there is room for it. The body of an unsuccessful response has a shorter
    time limit, which leaves time to send the call to another endpoint.
    """
    if reserve is None:
        reserve = _reserve_nothing
    if answer.status >= FIRST_FAILURE_STATUS:
        deadline = _failure_deadline(deadline)
    body = bytearray()
    is_whole = False
    announced = _announced_size(answer)
    try:
        if announced > max_bytes:
            return Error(BodyFailure(f"an answer of {announced} bytes is too large"))
        await _within(deadline, reserve(announced))
        while (chunk := await next_piece(answer.chunks, deadline)) is not None:
            body += chunk
            excess = _excess(answer, len(body), max_bytes)
            if excess is not None:
                return Error(BodyFailure(excess, is_too_large=True))
            needed = _needed_room(len(body), announced, max_bytes)
            await _within(deadline, reserve(needed))
        is_whole = True
    except TimeoutError:
        return Error(BodyFailure("the time limit passed within the answer"))
    except TruncatedAnswer as error:
        return Error(BodyFailure(f"the answer broke off: {error}", broke_off=True))
    finally:
        if not is_whole:
            answer.close()
    return Ok(bytes(body))


def _excess(answer: OpenAnswer, size: int, max_bytes: int) -> str | None:
    """Return in what respect a body is too large after ``size`` bytes, if it is."""
    if size > max_bytes:
        return f"the answer is larger than {max_bytes} bytes"
    if answer.chunk_count() > MAX_BODY_CHUNKS:
        return f"the answer has more than {MAX_BODY_CHUNKS} chunks"
    return None


def _failure_deadline(deadline: float) -> float:
    """Return the deadline for the body of an unsuccessful response."""
    now = get_running_loop().time()
    return now + min(FAILURE_BODY_SECONDS, (deadline - now) * FAILURE_BODY_SHARE)


async def _within(deadline: float, reserving: Awaitable[None]) -> None:
    """Wait for room; raise ``TimeoutError`` if there is none by the deadline."""
    async with timeout_at(deadline):
        await reserving


async def _reserve_nothing(size: int) -> None:
    """Set no limit to the bytes of all answers together."""


def _needed_room(size: int, announced: int, max_bytes: int) -> int:
    """Return the room to reserve for a body after ``size`` bytes of it."""
    if size <= max(announced, MAX_GROWING_BYTES):
        return size
    return max(size, max_bytes)


def _announced_size(answer: OpenAnswer) -> int:
    """Return the size that a response's head names, 0 if it names none."""
    length = answer.headers.get("content-length", "")
    return int(length) if length.isdecimal() else 0
