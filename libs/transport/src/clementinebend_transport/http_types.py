"""Requests, responses and limits of the HTTP server."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from msgspec.json import encode

KIB = 1024
MIB = 1024 * KIB


class Request(NamedTuple):
    """A whole request; names of ``headers`` are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """An answer: whole, or streamed as pieces from an iterator.

    A streamed body whose iterator raises is cut off unterminated; with
    ``AnswerCutError`` that is not logged as a fault. The iterator is always
    started and, if it has ``aclose``, closed, unless the answer has no body. If it
    has ``held_bytes``, which returns how many bytes of the answer it holds, these count
    as held for the caller. With ``is_last`` the caller is told to connect anew, and the
    connection is closed.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]
    is_last: bool = False


class ServerLimits(NamedTuple):
    """What one caller may use up. Sizes are in bytes, times in seconds.

    ``header_timeout`` and ``body_timeout`` each bound the whole part;
    ``write_timeout`` bounds the time in which nothing can be written.
    """

    max_header_bytes: int = 32 * KIB
    max_body_bytes: int = 4 * MIB
    max_connections: int = 10_000
    header_timeout: float = 10.0
    body_timeout: float = 30.0
    write_timeout: float = 30.0
    idle_timeout: float = 75.0


Handler = Callable[[Request], Awaitable[Response]]
"""Answers one request; cancelled when the caller leaves."""


Identify = Callable[[Request], str | None]
"""Returns the id by which log lines name a request, ``None`` if it has none."""


def no_id(request: Request) -> str | None:
    """Return that a request has no id."""
    return None


def error_response(
    status: int, kind: str, message: str, retry_after: int | None = None
) -> Response:
    """Return a whole answer with a JSON error body; ``retry_after`` is in seconds."""
    body = encode({"error": {"type": kind, "message": message}})
    headers = [("content-type", "application/json")]
    if retry_after is not None:
        headers.append(("retry-after", str(retry_after)))
    return Response(status, tuple(headers), body)
