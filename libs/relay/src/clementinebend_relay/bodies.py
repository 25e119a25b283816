"""Reads complete response bodies from endpoints, with limits on time and size."""

from asyncio import timeout_at
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_transport.client_connection import next_piece
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer

Reserve = Callable[[int], Awaitable[None]]
"""Returns once there is room for so many bytes of an answer in all."""


class BodyFailure(NamedTuple):
    """Why a body is incomplete; ``broke_off`` is set if the connection closed early."""

    problem: str
    broke_off: bool = False


async def read_body(
    answer: OpenAnswer,
    deadline: float,
    max_bytes: int,
    reserve: Reserve | None = None,
) -> Result[bytes, BodyFailure]:
    """Return the body of a response, of at most ``max_bytes``, or why it can't be read.

    ``deadline`` is in the time of the event loop. A response that is not read to its
    end is closed, as its connection can't be reused. With ``reserve`` it is read only
    as there is room for it.
    """
    if reserve is None:
        reserve = _reserve_nothing
    chunks_read: list[bytes] = []
    size = 0
    is_whole = False
    try:
        await _within(deadline, reserve(min(max_bytes, _announced_size(answer))))
        while (chunk := await next_piece(answer.chunks, deadline)) is not None:
            chunks_read.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                problem = f"the answer is larger than {max_bytes} bytes"
                return Error(BodyFailure(problem))
            await _within(deadline, reserve(size))
        is_whole = True
    except TimeoutError:
        return Error(BodyFailure("the time limit passed within the answer"))
    except TruncatedAnswer as error:
        return Error(BodyFailure(f"the answer broke off: {error}", broke_off=True))
    finally:
        if not is_whole:
            answer.close()
    return Ok(b"".join(chunks_read))


async def _within(deadline: float, reserving: Awaitable[None]) -> None:
    """Wait for room; raise ``TimeoutError`` if there is none by the deadline."""
    async with timeout_at(deadline):
        await reserving


async def _reserve_nothing(size: int) -> None:
    """Set no limit to the bytes of all answers together."""


def _announced_size(answer: OpenAnswer) -> int:
    """Return the size that a response's head names, 0 if it names none."""
    length = answer.headers.get("content-length", "")
    return int(length) if length.isdecimal() else 0
