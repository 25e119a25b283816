"""Engines that end under one request, and are back as new boots a moment later."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections import Counter
from typing import NamedTuple

from expression import Result

from clementinebend_transport.http_client import Answer, HttpFailure
from clementinebend_transport.http_types import Request
from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_fleet import Fleet

FATAL = b'{"ends": "engines"}'
BACK_SECONDS = 1.0
ALLOWED_ENDS = 3
WINDOW_SECONDS = 3.0
"""Seconds after the third end from which on few repetitions may reach an engine."""

ALLOWED_LATER = 3
DEADLINE_MS = 3_000


class Sent(NamedTuple):
    """A call that was made at some time, and its outcome."""

    at: float
    outcome: Task[Result[Answer, HttpFailure]]


class CrashingEngines:
    """The engines of one service; each ends under a request with ``FATAL``.

    ``allowed_ends`` is after how many ends few repetitions may reach an engine.
    """

    allowed_ends = ALLOWED_ENDS

    def __init__(self, fleet: Fleet, service: str, way: str) -> None:
        self.fleet = fleet
        self.service = service
        self.way = way
        self.fatal_body: bytes | None = FATAL
        self.clock = get_running_loop().time
        self.ends: list[float] = []
        self.tasks: list[Task[None]] = []
        for engine in fleet.engines_of(service):
            self._prepare(engine)

    def arrivals(self) -> list[float]:
        """Return when the fatal request has reached an engine."""
        return sorted(
            at
            for engine in self.fleet.engines_of(self.service)
            for at, request in zip(engine.arrived_at, engine.requests, strict=True)
            if self.is_fatal(request)
        )

    def is_fatal(self, request: Request) -> bool:
        """Tell whether the engines end under a request."""
        return request.body == FATAL

    def is_over(self, more: float) -> bool:
        """Tell whether some seconds have passed since the window's end."""
        if len(self.ends) < self.allowed_ends:
            return False
        return self.clock() > self.window_end() + more

    def window_end(self) -> float:
        """Return from when on few repetitions may reach an engine."""
        return self.ends[self.allowed_ends - 1] + WINDOW_SECONDS

    def arrivals_after_window(self) -> int:
        """Return how many repetitions reached an engine too late."""
        return sum(at > self.window_end() for at in self.arrivals())

    def new_engine(self, service: str, zone: str) -> EngineStandin:
        """Return a later boot of an engine."""
        return EngineStandin(service, zone)

    def mend(self) -> None:
        """Let no engine end under the request any more."""
        self.fatal_body = None
        for engine in self.fleet.engines_of(self.service):
            engine.fatal_body = None

    async def stop(self) -> None:
        """Bring no more engines back."""
        for task in self.tasks:
            task.cancel()

    def _prepare(self, engine: EngineStandin) -> None:
        engine.fatal_body = self.fatal_body
        engine.fatal_way = self.way
        engine.on_end = lambda: self._on_end(engine)

    def _on_end(self, engine: EngineStandin) -> None:
        self.ends.append(self.clock())
        self.tasks.append(create_task(self._come_back(engine)))

    async def _come_back(self, ended: EngineStandin) -> None:
        assert ended.server is not None
        await sleep(BACK_SECONDS)
        engine = self.new_engine(self.service, ended.zone)
        self._prepare(engine)
        await engine.start(ended.server.port)
        engine.announced_port = ended.announced_port
        self.fleet.engines.append(engine)
        self.fleet.store.put("servers", engine.name, engine.entry())


def send(
    fleet: Fleet, path: str, entry: int, body: bytes, deadline_ms: int = DEADLINE_MS
) -> Sent:
    """Make a call without waiting for its outcome."""
    at = get_running_loop().time()
    call = fleet.call(path, entry=entry, body=body, x_deadline_ms=str(deadline_ms))
    return Sent(at, create_task(call))


async def served(calls: list[Sent]) -> int:
    """Return how many calls were served whole."""
    outcomes = [await call.outcome for call in calls]
    return sum(outcome.is_ok() and outcome.ok.status == 200 for outcome in outcomes)


async def outcomes(calls: list[Sent]) -> Counter[str]:
    """Return how often calls had each status with its reason, or failed in each way."""
    return Counter([outcome_of(await call.outcome) for call in calls])


def outcome_of(result: Result[Answer, HttpFailure]) -> str:
    """Return the status and reason of an answer, or why there is none."""
    if result.is_error():
        return str(result.error)
    answer = result.ok
    return "200" if answer.status == 200 else f"{answer.status} {answer.body!r}"
