"""An HTTP/1.1 client that reuses connections and never repeats a request.

Failures are values that tell whether any byte of the request could have gone
out; the caller decides on retries.
"""

from asyncio import get_running_loop
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable, Iterable
from math import inf
from typing import NamedTuple
from urllib.parse import urlsplit

from expression import Error, Ok, Result
from h11 import LocalProtocolError
from h11 import Request as HttpRequest
from h11 import Response as HttpResponse

from clementinebend_transport.answer_chunks import AnswerChunks, next_piece
from clementinebend_transport.client_connection import (
    Address,
    ClientConnection,
    connect,
)
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_events import headers_by_name
from clementinebend_transport.late_waits import set_up_within

__all__ = [
    "Answer",
    "HttpClient",
    "HttpFailure",
    "OpenAnswer",
    "TruncatedAnswer",
    "read_answer",
]

DEFAULT_PORT = 80
MAX_IDLE_PER_HOST = 64
MAX_IDLE_SECONDS = 30.0
"""Idle connections older than this are closed, before most servers do."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""The largest body of a whole answer, unless the caller names another size."""


class Answer(NamedTuple):
    """A whole answer; names of ``headers`` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class OpenAnswer(NamedTuple):
    """An answer whose body is still to come.

    ``chunks`` raises ``TruncatedAnswer`` if the body ends before it is whole.
    Whoever does not read it to its end calls ``close``, which closes the
    connection. With ``ends_with_channel`` the body has neither a length nor
    chunks: that it has ended does not prove that it is whole. ``buffered_bytes``
    returns how many bytes of it have arrived and are not read yet, at most, and
    ``pause`` sets whether any more are received; whoever pauses does not read.
    ``chunk_count`` returns how many chunks of it have been read, each of which takes
    processor time, or 0 if that is not known.
    """

    status: int
    headers: dict[str, str]
    chunks: AsyncIterator[bytes]
    close: Callable[[], None]
    ends_with_channel: bool = False
    buffered_bytes: Callable[[], int] = lambda: 0
    pause: Callable[[bool], None] = lambda is_paused: None
    chunk_count: Callable[[], int] = lambda: 0


class HttpFailure(NamedTuple):
    """No whole answer; ``sent`` false proves that no byte of the request left.

    ``received`` counts the bytes of the body that had come. ``broke_off`` tells that
    the other side ended the connection, or sent bytes that cannot be read or too many,
    and ``is_refused`` that it has refused a connection.
    """

    sent: bool
    message: str
    received: int = 0
    broke_off: bool = False
    is_refused: bool = False

    @property
    def is_proof(self) -> bool:
        """Whether it shows that something is wrong with the other side.

        A missing answer or connection may also be due to this side's load.
        """
        return self.broke_off or self.is_refused


class _Target(NamedTuple):
    """A request that is ready to go, and where to."""

    address: Address
    request: HttpRequest


class HttpClient:
    """Connections to any number of servers, kept open for reuse."""

    def __init__(self) -> None:
        self.idle: defaultdict[Address, deque[ClientConnection]] = defaultdict(deque)
        self.busy: set[ClientConnection] = set()
        self.is_closed = False

    async def request(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        timeout: float = 10.0,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[Answer, HttpFailure]:
        """Send a request and return the whole answer, within ``timeout`` seconds.

        A body of more than ``max_bytes`` is a failure.
        """
        deadline = get_running_loop().time() + timeout
        opened = await self.open(method, url, headers, body, timeout)
        if opened.is_error():
            return Error(opened.error)
        left = deadline - get_running_loop().time()
        answer = await read_answer(opened.ok, left, max_bytes=max_bytes)
        return answer.map_error(lambda failure: _about(method, url, failure))

    async def open(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        timeout: float = 10.0,
        connect_timeout: float | None = None,
    ) -> Result[OpenAnswer, HttpFailure]:
        """Send a request and return the answer as soon as its head has come.

        ``timeout`` (seconds) ends with the head: the body has no limit.
        ``connect_timeout`` bounds the setting up of a new connection.
        """
        target = _target(method, url, headers, body)
        if isinstance(target, str):
            return Error(HttpFailure(False, f"{method} {url}: {target}"))
        sent = await self.send(
            target.address, target.request, body, timeout, connect_timeout
        )
        return sent.map_error(lambda failure: _about(method, url, failure))

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        body: bytes,
        timeout: float,
        connect_timeout: float | None = None,
        max_idle: float = MAX_IDLE_SECONDS,
    ) -> Result[OpenAnswer, HttpFailure]:
        """Send a prepared request and return the answer once its head has come.

        ``timeout`` (seconds) ends with the head; ``connect_timeout`` bounds
        the setting up of a new connection. A connection that was idle for
        longer than ``max_idle`` is not reused: the other side may just have
        dropped it.
        """
        deadline = get_running_loop().time() + timeout
        allowed = timeout if connect_timeout is None else min(connect_timeout, timeout)
        connection = await self._connection(address, allowed, max_idle)
        if isinstance(connection, HttpFailure):
            return Error(connection)
        if connection.is_new and get_running_loop().time() >= deadline:
            connection.abort()
            return Error(HttpFailure(False, "no connection in time"))
        return await self._exchange(connection, request, body, deadline)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a server that has ended or started again."""
        for connection in self.idle.pop(address, ()):
            connection.abort()

    async def close(self) -> None:
        """Close all connections; open answers are cut off."""
        self.is_closed = True
        for connection in (*self.busy, *_all(self.idle.values())):
            connection.abort()
        self.busy.clear()
        self.idle.clear()

    async def _exchange(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        body: bytes,
        deadline: float,
    ) -> Result[OpenAnswer, HttpFailure]:
        self.busy.add(connection)
        head: HttpResponse | None = None
        try:
            connection.send(request, body)
            head = await connection.read_head(deadline)
        except TimeoutError:
            return Error(HttpFailure(True, "no answer in time"))
        except TruncatedAnswer as error:
            return Error(HttpFailure(True, str(error), broke_off=True))
        finally:
            if head is None:
                self._drop(connection)
        chunks = AnswerChunks(connection, self._release, self._drop)
        return Ok(
            OpenAnswer(
                head.status_code,
                headers_by_name(head.headers),
                chunks,
                chunks.close,
                ends_with_channel=connection.ends_with_channel,
                buffered_bytes=chunks.buffered_bytes,
                pause=chunks.pause,
                chunk_count=chunks.chunk_count,
            )
        )

    async def _connection(
        self, address: Address, allowed: float, max_idle: float
    ) -> ClientConnection | HttpFailure:
        """Return a fresh idle connection or a new one, or why there is none.

        ``allowed`` is the timeout in seconds for opening a new one.
        """
        if self.is_closed:
            return HttpFailure(False, "the client is closed")
        connection = self._take_idle(address, max_idle)
        if connection is not None:
            return connection
        try:
            return await set_up_within(
                connect(address), allowed, ClientConnection.abort
            )
        except TimeoutError:
            return HttpFailure(False, "no connection in time")
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            message = f"cannot connect: {error}"
            return HttpFailure(False, message, is_refused=is_refused)

    def _take_idle(self, address: Address, max_idle: float) -> ClientConnection | None:
        now = get_running_loop().time()
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            allowed = min(max_idle, connection.keep_alive)
            if now - connection.idle_since <= allowed and connection.is_fresh():
                return connection
            connection.abort()
        self.idle.pop(address, None)
        return None

    def _release(self, connection: ClientConnection) -> None:
        """Keep a connection whose answer is whole, for the next request."""
        self.busy.discard(connection)
        idle = self.idle[connection.address]
        if self.is_closed or not connection.is_reusable():
            connection.abort()
            return
        if len(idle) >= MAX_IDLE_PER_HOST:
            idle.popleft().abort()
        connection.next_exchange(get_running_loop().time())
        idle.append(connection)

    def _drop(self, connection: ClientConnection) -> None:
        self.busy.discard(connection)
        connection.abort()


def _target(
    method: str, url: str, headers: Iterable[tuple[str, str]], body: bytes
) -> _Target | str:
    """Return the request to send, or why it cannot be sent."""
    try:
        parts = urlsplit(url)
        port = parts.port or DEFAULT_PORT
        host = parts.hostname
        path = parts._replace(scheme="", netloc="", fragment="").geturl() or "/"
        framing = (
            ("host", parts.netloc.rpartition("@")[2]),
            ("content-length", str(len(body))),
        )
        request = HttpRequest(method=method, target=path, headers=[*framing, *headers])
    except (ValueError, LocalProtocolError) as error:
        return f"not a valid request: {error}"
    if parts.scheme != "http" or host is None:
        return "only URLs of the form http://host:port/path are supported"
    return _Target(Address(host, port), request)


async def read_answer(
    opened: OpenAnswer,
    timeout: float,
    piece_timeout: float | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Result[Answer, HttpFailure]:
    """Return the whole of an open answer, within ``timeout`` seconds.

    Each piece of the body must come within ``piece_timeout`` seconds of the one
    before; ``None`` sets no such limit. A larger body than ``max_bytes`` counts
    as a fault of the other side.
    """
    body = _Body(max_bytes)
    deadline = get_running_loop().time() + timeout
    try:
        await body.read(opened.chunks, deadline, piece_timeout)
    except TimeoutError:
        return Error(body.failure("the answer took too long"))
    except TruncatedAnswer as error:
        return Error(body.failure(str(error)))
    finally:
        opened.close()
    return Ok(Answer(opened.status, opened.headers, b"".join(body.pieces)))


class _Body:
    """The received part of an answer's body, of at most ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.pieces: list[bytes] = []
        self.size = 0

    async def read(
        self,
        chunks: AsyncIterator[bytes],
        deadline: float,
        piece_timeout: float | None,
    ) -> None:
        """Read to the end; raise ``TruncatedAnswer`` if the body stops or is large.

        Raises ``TimeoutError`` at the deadline, in the time of the event loop.
        """
        while (
            piece := await _piece_within(chunks, deadline, piece_timeout)
        ) is not None:
            self.size += len(piece)
            if self.size > self.max_bytes:
                raise TruncatedAnswer(
                    f"the answer is larger than {self.max_bytes} bytes"
                )
            self.pieces.append(piece)

    def failure(self, problem: str) -> HttpFailure:
        """Return that the body is not whole."""
        message = f"{problem}, {self.size} bytes had come"
        is_too_large = self.size > self.max_bytes
        return HttpFailure(True, message, self.size, broke_off=is_too_large)


async def _piece_within(
    chunks: AsyncIterator[bytes], deadline: float, piece_timeout: float | None
) -> bytes | None:
    allowed = inf if piece_timeout is None else piece_timeout
    stops_at = get_running_loop().time() + allowed
    try:
        return await next_piece(chunks, min(deadline, stops_at))
    except TimeoutError as error:
        if stops_at >= deadline:
            raise
        raise TruncatedAnswer(f"the answer stopped for {piece_timeout} s") from error


def _about(method: str, url: str, failure: HttpFailure) -> HttpFailure:
    """Return a failure that names the request."""
    return failure._replace(message=f"{method} {url}: {failure.message}")


def _all(groups: Iterable[Iterable[ClientConnection]]) -> Iterable[ClientConnection]:
    return (connection for group in groups for connection in group)
