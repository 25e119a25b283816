"""HTTP face of the log service."""

from asyncio import sleep
from collections import Counter
from time import monotonic
from typing import NamedTuple

from msgpack import packb

from clementinebend_standins.faults import FaultSwitch
from clementinebend_standins.http_app import (
    error_response,
    json_response,
    path_of,
    query_number,
    with_faults,
)
from clementinebend_standins.models.log import (
    Page,
    RateExceeded,
    Trimmed,
    append,
    empty_log,
    end_offset,
    read,
    trim,
)
from clementinebend_standins.notifier import Notifier
from clementinebend_transport.http_server import Handler, Request, Response

STREAMS_PREFIX = "/streams/"
DEFAULT_LIMIT = 100
MAX_LIMIT = 1000
MAX_WAIT_MS = 30_000


class LogFaults(NamedTuple):
    """Faults of the log; 0, false or empty means none.

    ``lose_answers`` counts appends that take effect and are answered 504.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    retain: int = 0
    appends_per_second: int = 0
    cut: tuple[str, ...] = ()


class LogApp:
    """Owns the streams and answers appends and reads."""

    def __init__(self) -> None:
        self.state = empty_log()
        self.changed = Notifier()
        self.faults = FaultSwitch(LogFaults(), self.on_faults)
        self.counts: Counter[str] = Counter()

    def on_faults(self) -> None:
        """Apply a new retention, and let waiting reads see an outage."""
        self.state = trim(self.state, self.faults.values.retain)
        self.changed.notify()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        path = path_of(request)
        if path == "/stats":
            return self.stats()
        if not path.startswith(STREAMS_PREFIX):
            return error_response(404, "no such path")
        name = path.removeprefix(STREAMS_PREFIX)
        client = request.headers.get("x-client", "")
        if self.is_out(client):
            return self.unavailable()
        if request.method == "POST":
            response = self.append(name, request.body)
        elif request.method == "GET":
            response = await self.read(name, request, client)
        else:
            return error_response(405, "use GET or POST")
        await sleep(self.faults.values.slow_ms / 1000)
        return response

    def stats(self) -> Response:
        """Return counters of requests and the end of each stream."""
        ends = {name: end_offset(self.state, name) for name in self.state.streams}
        return json_response(200, {**self.counts, "streams": ends})

    def append(self, name: str, data: bytes) -> Response:
        """Append, and lose the answer if that fault is on."""
        faults = self.faults.values
        self.state, outcome = append(
            self.state,
            name,
            data,
            monotonic(),
            faults.retain,
            faults.appends_per_second,
        )
        if isinstance(outcome, RateExceeded):
            self.counts["limited"] += 1
            return error_response(429, "too many appends a second")
        self.counts["appends"] += 1
        self.changed.notify()
        if self.faults.use("lose_answers"):
            self.counts["lost_answers"] += 1
            return error_response(504, "the answer was lost")
        return json_response(200, {"offset": outcome})

    async def read(self, name: str, request: Request, client: str) -> Response:
        """Return records, waiting up to ``wait_ms`` when there are none yet."""
        self.counts["reads"] += 1
        offset = query_number(request, "from", 0)
        limit = min(query_number(request, "limit", DEFAULT_LIMIT), MAX_LIMIT)
        wait_ms = min(query_number(request, "wait_ms", 0), MAX_WAIT_MS)
        deadline = monotonic() + wait_ms / 1000
        while end_offset(self.state, name) <= offset and not self.is_out(client):
            if not await self.changed.wait(deadline - monotonic()):
                break
        if self.is_out(client):
            return self.unavailable()
        return _read_response(read(self.state, name, offset, limit))

    def is_out(self, client: str) -> bool:
        """Return whether ``client`` cannot use the log now."""
        return self.faults.values.outage or client in self.faults.values.cut

    def unavailable(self) -> Response:
        """Refuse a request without any effect."""
        self.counts["refused"] += 1
        return error_response(503, "the log is unavailable")


def log_handler() -> Handler:
    """Return the handler of a new, empty log service."""
    app = LogApp()
    return with_faults(app.faults, app.handle)


def _read_response(outcome: Page | Trimmed) -> Response:
    if isinstance(outcome, Trimmed):
        return json_response(410, {"oldest": outcome.oldest})
    content = {
        "records": outcome.records,
        "next": outcome.next_offset,
        "oldest": outcome.oldest,
    }
    return Response(200, (("content-type", "application/msgpack"),), packb(content))
