"""Reading of an endpoint's answer as a whole, within bounds of time and size."""

from asyncio import timeout_at
from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_client import OpenAnswer


class BodyFailure(NamedTuple):
    """No whole body; ``broke_off`` tells that the connection ended within it."""

    problem: str
    broke_off: bool = False


async def read_body(
    answer: OpenAnswer, deadline: float, max_bytes: int
) -> Result[bytes, BodyFailure]:
    """Return the body of an answer of at most ``max_bytes`` bytes, or what went wrong.

    ``deadline`` is a time of the event loop. An answer that is not read to its
    end is closed, as its connection cannot serve again.
    """
    chunks_read: list[bytes] = []
    size = 0
    is_whole = False
    try:
        async with timeout_at(deadline):
            async for chunk in answer.chunks:
                chunks_read.append(chunk)
                size += len(chunk)
                if size > max_bytes:
                    problem = f"the answer is larger than {max_bytes} bytes"
                    return Error(BodyFailure(problem))
        is_whole = True
    except TimeoutError:
        return Error(BodyFailure("the time limit passed within the answer"))
    except TruncatedAnswer as error:
        return Error(BodyFailure(f"the answer broke off: {error}", broke_off=True))
    finally:
        if not is_whole:
            answer.close()
    return Ok(b"".join(chunks_read))
