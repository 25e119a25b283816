"""Clients that resume their streams, as those of the platform do."""

from asyncio import get_running_loop, sleep, timeout
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from math import inf
from random import Random
from typing import NamedTuple

from h11 import Request as HttpRequest

from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import TruncatedAnswer
from tests.lib.platform_engine import EVENTS
from tests.lib.platform_fleet import HOST, KEY, Entry, Fleet, route
from tests.lib.streams_seen import StreamRecord, StreamSeen

LONG_STREAMS = route(
    "/stream-long/", "streaming", "pool", resumable=True, timeout_ms=15_000
)
PATH = "/stream-long/x"
DEADLINE_SECONDS = 12.0
IN_TOUCH_SECONDS = 3.0
"""Seconds that an entry must have run to count as in touch."""

RETRY_SECONDS = 0.05
RECONNECT_SECONDS = 0.2
"""Seconds before the next try after one that reached no entry."""

MAX_CUT_SECONDS = 0.8
MAX_TRIES = 4
GAP_SECONDS = 2.0
"""Longest wait in seconds for the next event of a stream."""


class Attempt(NamedTuple):
    """What one attempt of a client has brought.

    ``retry_after`` is in seconds; 0 asks for a new stream.
    """

    status: int | None
    data: bytes
    is_complete: bool
    retry_after: float | None = None


class ResumingClients:
    """Clients of one fleet, at its first ``entries`` entries.

    ``started_at`` is when each entry was started last. ``on_attempt`` is called with
    the ID of each request. A part of the attempts, ``cut_share``, loses its connection
    within ``MAX_CUT_SECONDS``.
    """

    def __init__(
        self,
        fleet: Fleet,
        entries: int,
        seed: int = 1,
        path: str = PATH,
        service: str = "pool",
        on_attempt: Callable[[str], None] = lambda request_id: None,
        cut_share: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.entries = entries
        self.path = path
        self.service = service
        self.on_attempt = on_attempt
        self.cut_share = cut_share
        self.clock = get_running_loop().time
        self.random = Random(seed)
        self.numbers = count(1)
        self.started_at: dict[str, float] = {}

    async def stream(self, entry: int, names_origin: bool = True) -> StreamSeen:
        """Read a stream to its end over several tries, the first one at ``entry``.

        A stream that cannot go on is begun anew by the next try.
        """
        number = next(self.numbers)
        session = f"a{number:x}:30,b{number:x}:10"
        body = f"stream {number}".encode()
        deadline = self.clock() + DEADLINE_SECONDS
        record, answered = StreamRecord(), 0
        while answered < MAX_TRIES and self.clock() < deadline:
            request_id = f"s{number}-{len(record.tries)}"
            self.on_attempt(request_id)
            headers = {"x-prefix-hash": session, **record.headers(names_origin)}
            is_judged = self._is_judged(entry, record.version)
            attempt = await self.attempt(entry, request_id, headers, body, deadline)
            begins_anew = attempt.retry_after == 0.0
            status, data = attempt.status, attempt.data
            record.add(request_id, is_judged, status, data, begins_anew)
            if attempt.is_complete:
                break
            answered += status is not None
            usual = RETRY_SECONDS if status else RECONNECT_SECONDS
            await sleep(attempt.retry_after or usual)
            entry = self._next_entry()
        return record.seen(EVENTS)

    def _is_judged(self, entry: int, version: str) -> bool:
        """Return whether the rule on lost streams counts a try at an entry."""
        item = self.fleet.entries[entry]
        started = self.started_at.get(item.output.name, self.clock() - IN_TOUCH_SECONDS)
        serving = [
            engine
            for engine in self.fleet.engines_of(self.service)
            if engine.version == version and not engine.has_ended
        ]
        return self.clock() - started >= IN_TOUCH_SECONDS and len(serving) > 1

    def _next_entry(self) -> int:
        """Return an entry that runs, drawn at random."""
        running = [
            number
            for number, entry in enumerate(self.fleet.entries[: self.entries])
            if entry.process.returncode is None
        ]
        return self.random.choice(running) if running else 0

    def _cut_at(self) -> float:
        """Return when an attempt loses its connection."""
        if self.random.random() >= self.cut_share:
            return inf
        return self.clock() + self.random.uniform(0.0, MAX_CUT_SECONDS)

    def on_started(self, entry: Entry) -> None:
        """Record that an entry was started just now."""
        self.started_at[entry.output.name] = self.clock()

    async def attempt(
        self,
        entry: int,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
    ) -> Attempt:
        left = max(0.0, deadline - self.clock())
        sent = {
            "host": HOST,
            "content-length": str(len(body)),
            "x-request-id": request_id,
            "x-deadline-ms": str(int(left * 1000)),
            "x-token-usage": "40,24",
            "authorization": f"Bearer {KEY}",
            **headers,
        }
        request = HttpRequest(method="POST", target=self.path, headers=[*sent.items()])
        address = Address("127.0.0.1", self.fleet.entries[entry].port)
        opened = await self.fleet.client.send(address, request, body, GAP_SECONDS)
        if opened.is_error():
            return Attempt(None, b"", False)
        answer, data, is_complete = opened.ok, b"", False
        cut_at = self._cut_at()
        with suppress(TruncatedAnswer, TimeoutError):
            while True:
                async with timeout(min(GAP_SECONDS, cut_at - self.clock())):
                    piece = await anext(answer.chunks, None)
                if piece is None:
                    is_complete = answer.status == 200
                    break
                data += piece
        if not is_complete:
            answer.close()
        pause = answer.headers.get("retry-after")
        retry_after = None if pause is None else float(pause)
        return Attempt(answer.status, data, is_complete, retry_after)
