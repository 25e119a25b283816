"""Connections that a caller keeps, and what became of each request on them."""

from asyncio import StreamReader, StreamWriter, get_running_loop, open_connection
from asyncio import timeout as time_limit
from typing import NamedTuple

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)

from tests.lib.platform_fleet import BODY, HOST, KEY, Entry
from tests.lib.processes import LOCALHOST

ANSWER_SECONDS = 12.0
"""Seconds after which a caller takes a request for unanswered."""

CROSSING_SECONDS = 0.2
"""A request whose connection ends so many seconds after its last byte may have crossed
the close: the server need not have read it."""

READ_BYTES = 64 * 1024

PROMPT = 20
"""Tokens in the prompt of a stream."""


class Caller(NamedTuple):
    """What a caller sends: the team's key, and how long it waits.

    The ids of its requests begin with ``name``.
    """

    name: str = "kept"
    key: str = KEY
    deadline_ms: int = 3000


class Sent(NamedTuple):
    """One whole request; times are the event loop's, in seconds.

    ``status`` is None without the head of an answer, ``is_whole`` tells whether all of
    the answer came, ``was_killed`` whether the entry was killed instead.
    """

    request_id: str
    target: str
    entry: Entry
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes
    is_whole: bool
    was_killed: bool = False

    @property
    def seconds(self) -> float:
        """Seconds from the last byte of the request to the end."""
        return self.ended_at - self.sent_at


class KeptConnection:
    """A caller's connection to an entry, used for one request after another."""

    def __init__(self, entry: Entry, streams: tuple[StreamReader, StreamWriter]):
        self.entry = entry
        self.reader, self.writer = streams
        self.parser = Connection(CLIENT)
        self.status: int | None = None
        self.body = bytearray()

    def is_open(self) -> bool:
        """Return whether a further request may be sent, as far as the caller knows."""
        is_idle = self.parser.our_state is self.parser.their_state is DONE
        return is_idle and not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close it."""
        self.writer.close()

    async def ask(self, request_id: str, target: str, caller: Caller) -> Sent:
        """Send a whole request, and read its answer until it or the connection ends."""
        clock = get_running_loop().time
        if self.parser.our_state is DONE:
            self.parser.start_next_cycle()
        self.status = None
        self.body.clear()
        self.writer.write(self._bytes_of(_request(request_id, target, caller)))
        sent_at = clock()
        try:
            async with time_limit(ANSWER_SECONDS):
                is_whole = await self._read_answer()
        except (OSError, RemoteProtocolError, TimeoutError):
            is_whole = False
        return Sent(
            request_id,
            target,
            self.entry,
            sent_at,
            clock(),
            self.status,
            bytes(self.body),
            is_whole,
        )

    def _bytes_of(self, request: Request) -> bytes:
        events = (request, Data(data=BODY), EndOfMessage())
        return b"".join(self.parser.send(event) or b"" for event in events)

    async def _read_answer(self) -> bool:
        """Read an answer; return whether it is whole."""
        while True:
            event = self.parser.next_event()
            if event is NEED_DATA:
                self.parser.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, Response):
                self.status = event.status_code
            elif isinstance(event, Data):
                self.body += event.data
            elif isinstance(event, EndOfMessage):
                return True
            elif isinstance(event, ConnectionClosed):
                return False


async def connect(entry: Entry) -> KeptConnection:
    """Connect to an entry; raises ``OSError`` if it takes no connection."""
    return KeptConnection(entry, await open_connection(LOCALHOST, entry.port))


def is_lost(sent: Sent, has_run: bool, delay: float = 0.0) -> bool:
    """Tell whether a request that the entry may have read has no whole answer.

    ``delay`` is how many seconds before ``ended_at`` the connection may have ended, as
    the caller was late itself.
    """
    if sent.is_whole or sent.was_killed:
        return False
    return has_run or sent.seconds - delay > CROSSING_SECONDS


def _request(request_id: str, target: str, caller: Caller) -> Request:
    headers = {
        "host": HOST,
        "authorization": f"Bearer {caller.key}",
        "content-length": str(len(BODY)),
        "x-request-id": request_id,
        "x-deadline-ms": str(caller.deadline_ms),
    }
    if "stream" in target:
        headers |= {"x-token-usage": f"{PROMPT},24", "x-prefix-hash": f"aa:{PROMPT}"}
    return Request(method="POST", target=target, headers=[*headers.items()])
