"""The platform's log: append, and read from an offset.

``LogClient`` is the narrow interface; ``http_log_client`` is its adapter for
the HTTP protocol that docs/INTERFACES.md describes. Failures are values.
"""

from json import loads
from typing import Any, NamedTuple, Protocol
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result
from msgpack import unpackb
from msgspec import ValidationError, convert

from clementinebend_transport.http_client import Answer, HttpClient, HttpFailure

CLIENT_HEADER = "x-client"
REQUEST_TIMEOUT = 10.0
"""Seconds that the log may take to answer, beside the time a read waits."""
MILLISECONDS = 1000

STATUS_OK = 200
STATUS_TRIMMED = 410
STATUS_THROTTLED = 429
STATUS_MAYBE_DONE = frozenset((500, 502, 504))
"""After these statuses an append may have taken effect all the same."""


class LogFailure(NamedTuple):
    """The log gave no usable answer.

    With ``maybe_done`` an append may have taken effect. ``throttled`` says
    that the log refused because it takes no more appends at the moment.
    """

    maybe_done: bool
    message: str
    throttled: bool = False


class Trimmed(NamedTuple):
    """The log no longer keeps the offset asked for; ``oldest`` is its first."""

    oldest: int


class ReadPage(NamedTuple):
    """Records of a stream in offset order, and where to read on.

    ``oldest_offset`` is the first offset that the log still keeps.
    """

    records: tuple[tuple[int, bytes], ...]
    next_offset: int
    oldest_offset: int


class LogClient(Protocol):
    """An append-only log of named streams, each numbered from offset 0."""

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append ``data`` and return its offset."""
        ...

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> Result[ReadPage, LogFailure | Trimmed]:
        """Return up to ``limit`` records from ``offset`` on.

        Waits up to ``wait`` seconds for a first record if there is none.
        """
        ...


class HttpLogClient:
    """A ``LogClient`` over the log service's HTTP protocol."""

    def __init__(self, url: str, http: HttpClient, client_name: str) -> None:
        self.url = url.rstrip("/")
        self.http = http
        self.headers = ((CLIENT_HEADER, client_name),)

    async def append(self, stream: str, data: bytes) -> Result[int, LogFailure]:
        """Append ``data`` and return its offset."""
        answer = await self.http.request(
            "POST",
            self.stream_url(stream),
            headers=self.headers,
            body=data,
            timeout=REQUEST_TIMEOUT,
        )
        match answer:
            case Result(tag="ok", ok=answered):
                return append_outcome(answered)
            case _:
                return Error(_unanswered(answer.error))

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> Result[ReadPage, LogFailure | Trimmed]:
        """Return up to ``limit`` records from ``offset`` on."""
        wait_ms = round(wait * MILLISECONDS)
        query = urlencode({"from": offset, "limit": limit, "wait_ms": wait_ms})
        answer = await self.http.request(
            "GET",
            f"{self.stream_url(stream)}?{query}",
            headers=self.headers,
            timeout=REQUEST_TIMEOUT + wait,
        )
        match answer:
            case Result(tag="ok", ok=answered):
                return read_outcome(answered)
            case _:
                return Error(_unanswered(answer.error))

    def stream_url(self, stream: str) -> str:
        """Return the URL of a stream."""
        return f"{self.url}/streams/{quote(stream, safe='')}"


def http_log_client(
    url: str, http_client: HttpClient, client_name: str = ""
) -> LogClient:
    """Return a client of the log service at ``url``.

    ``client_name`` tells the log who asks; it is this process's name.
    """
    return HttpLogClient(url, http_client, client_name)


def append_outcome(answer: Answer) -> Result[int, LogFailure]:
    """Return the offset in the answer to an append, or what went wrong."""
    if answer.status != STATUS_OK:
        return Error(_refusal(answer))
    try:
        return Ok(convert(loads(answer.body)["offset"], int))
    except (
        ValueError,
        KeyError,
        TypeError,
        ValidationError,
        RecursionError,
    ) as error:
        return Error(
            LogFailure(True, f"log answered an append with no offset: {error}")
        )


def read_outcome(answer: Answer) -> Result[ReadPage, LogFailure | Trimmed]:
    """Return the page in the answer to a read, or what went wrong."""
    try:
        if answer.status == STATUS_TRIMMED:
            return Error(Trimmed(convert(loads(answer.body)["oldest"], int)))
        if answer.status != STATUS_OK:
            return Error(_refusal(answer))
        return Ok(_page(unpackb(answer.body)))
    except (
        ValueError,
        KeyError,
        TypeError,
        ValidationError,
        RecursionError,
    ) as error:
        return Error(LogFailure(False, f"log answered a read unreadably: {error}"))


def _page(fields: Any) -> ReadPage:
    records = convert(fields["records"], tuple[tuple[int, bytes], ...])
    return ReadPage(
        records, convert(fields["next"], int), convert(fields["oldest"], int)
    )


def _refusal(answer: Answer) -> LogFailure:
    return LogFailure(
        answer.status in STATUS_MAYBE_DONE,
        f"log answered with status {answer.status}",
        throttled=answer.status == STATUS_THROTTLED,
    )


def _unanswered(failure: HttpFailure) -> LogFailure:
    return LogFailure(failure.sent, f"log did not answer: {failure.message}")
