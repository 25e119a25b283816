"""A model engine: runs, orders, load, cache events and KV transfer.

Nothing here repeats a call. A failure's ``sent`` tells whether the engine may
have executed it.
"""

from typing import NotRequired, TypedDict
from urllib.parse import urlencode

from expression import Ok, Result
from msgspec.json import encode

from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_platform_client.http_calls import (
    JSON_TYPE,
    call_successfully,
    decoded,
    unanswered,
    url_of,
)
from clementinebend_records.identifiers import RunId
from clementinebend_transport.http_client import Answer, HttpClient, OpenAnswer

RUN_HEADER = "x-run-id"
PRIORITY_HEADER = "x-priority"
BINARY_TYPE = ("content-type", "application/msgpack")

START_TIMEOUT = 30.0
"""Seconds until the head of an answer must have come."""
CALL_TIMEOUT = 5.0
ORDER_TIMEOUT = 600.0
"""Seconds that an order may take: loading a model is slow."""
TRANSFER_TIMEOUT = 60.0


class EngineLoad(TypedDict):
    """A load report, as old as the engine makes it; ``step_ms`` is for a step."""

    running: int
    queued: int
    slots: int
    step_ms: float
    models: list[str]


class CacheChange(TypedDict):
    """Prefix blocks stored and evicted, under the engine's own number."""

    sequence: int
    stored: list[str]
    evicted: list[str]


class CacheChanges(TypedDict):
    """Cache events; gaps in their numbers mean that some were lost."""

    events: list[CacheChange]


class EngineAction(TypedDict):
    """What an order does: ``load`` or ``unload`` a model, or take a ``role``."""

    action: str
    model: NotRequired[str]
    role: NotRequired[str]


class CancelledRun(TypedDict):
    """What the engine says of a run it has stopped."""

    total_tokens: NotRequired[int | None]


class EngineClient:
    """Talks to the engine at ``url``."""

    def __init__(self, url: str, http: HttpClient) -> None:
        self.url = url
        self.http = http

    async def start(
        self,
        path: str,
        body: bytes,
        run: RunId,
        priority: int = 0,
        timeout: float = START_TIMEOUT,
    ) -> Result[OpenAnswer, CallFailed]:
        """Start a run and return its answer, of any status, from its head on.

        ``priority`` is in the engine's own scale.
        """
        headers = (JSON_TYPE, (RUN_HEADER, run), (PRIORITY_HEADER, str(priority)))
        url = self.url.rstrip("/") + path
        opened = await self.http.open("POST", url, headers, body, timeout)
        return opened.map_error(unanswered)

    async def resume(
        self, run: RunId, token: int, timeout: float = START_TIMEOUT
    ) -> Result[OpenAnswer, CallFailed]:
        """Return a known run's answer from the token number ``token`` on."""
        query = urlencode({"from": token})
        url = f"{url_of(self.url, 'runs', run, 'resume')}?{query}"
        opened = await self.http.open("POST", url, timeout=timeout)
        return opened.map_error(unanswered)

    async def cancel(self, run: RunId) -> Result[int | None, CallFailed]:
        """Stop a run; return the tokens it took, None if that is not told."""
        url = url_of(self.url, "runs", run, "cancel")
        answer = await call_successfully(self.http, "POST", url, CALL_TIMEOUT)
        return answer.bind(_tokens)

    async def order(
        self, fencing: int, action: EngineAction
    ) -> Result[None, CallFailed]:
        """Give an order under a fencing number.

        A failure with status 409 says that the engine has seen a newer number.
        """
        body = encode({**action, "fencing": fencing})
        answer = await call_successfully(
            self.http,
            "POST",
            url_of(self.url, "orders"),
            ORDER_TIMEOUT,
            (JSON_TYPE,),
            body,
        )
        return answer.map(_nothing)

    async def load(self) -> Result[EngineLoad, CallFailed]:
        """Return the engine's load report."""
        url = url_of(self.url, "load")
        answer = await call_successfully(self.http, "GET", url, CALL_TIMEOUT)
        return answer.bind(lambda whole: decoded(whole, EngineLoad))

    async def cache_events(
        self, since: int
    ) -> Result[tuple[CacheChange, ...], CallFailed]:
        """Return the cache events with numbers above ``since``."""
        url = f"{url_of(self.url, 'cache-events')}?{urlencode({'since': since})}"
        answer = await call_successfully(self.http, "GET", url, CALL_TIMEOUT)
        return answer.bind(lambda whole: decoded(whole, CacheChanges)).map(
            lambda body: tuple(body["events"])
        )

    async def export_kv(self, run: RunId) -> Result[bytes, CallFailed]:
        """Return a run's KV cache."""
        url = url_of(self.url, "kv", run)
        answer = await call_successfully(self.http, "GET", url, TRANSFER_TIMEOUT)
        return answer.map(lambda whole: whole.body)

    async def import_kv(self, run: RunId, cache: bytes) -> Result[None, CallFailed]:
        """Hand over a run's KV cache; ``resume`` then goes on with it."""
        url = url_of(self.url, "kv", run)
        answer = await call_successfully(
            self.http, "PUT", url, TRANSFER_TIMEOUT, (BINARY_TYPE,), cache
        )
        return answer.map(_nothing)


def _tokens(answer: Answer) -> Result[int | None, CallFailed]:
    match decoded(answer, CancelledRun):
        case Result(tag="ok", ok=row):
            return Ok(row.get("total_tokens"))
        case _:
            return Ok(None)


def _nothing(answer: Answer) -> None:
    return None
