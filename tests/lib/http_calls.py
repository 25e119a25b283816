"""Short calls over HTTP for tests, and servers that run inside the test."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from json import dumps, loads
from typing import Any, NamedTuple

from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_server import Handler, serve_http

CALL_TIMEOUT = 60.0
"""Seconds; only a call that never ends reaches it."""

NO_HEADERS: Mapping[str, str] = {}


class Called(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body read as JSON."""
        return loads(self.body)


class Caller(NamedTuple):
    """A client of one server."""

    client: HttpClient
    url: str

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Called:
        """Send bytes as they are, anything else as JSON; must be answered."""
        outcome = await self.client.request(
            method,
            self.url + path,
            headers=tuple(headers.items()),
            body=_body(content),
            timeout=CALL_TIMEOUT,
        )
        if outcome.is_error():
            raise AssertionError(f"{method} {path} failed: {outcome.error}")
        answer = outcome.ok
        return Called(answer.status, answer.headers, answer.body)

    async def get(self, path: str, **headers: str) -> Any:
        """Return the JSON of a ``GET`` that must succeed."""
        called = await self.call("GET", path, headers=headers)
        assert called.status == 200, called
        return called.json()

    async def set_faults(self, **faults: Any) -> None:
        """Switch faults of a stand-in."""
        called = await self.call("PUT", "/faults", faults)
        assert called.status == 200, called


@asynccontextmanager
async def calling(url: str) -> AsyncIterator[Caller]:
    """Give a caller of the server at ``url``."""
    client = HttpClient()
    try:
        yield Caller(client, url)
    finally:
        await client.close()


@asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[Caller]:
    """Serve ``handler`` on loopback and give a caller of it."""
    server = await serve_http(handler, "127.0.0.1", 0)
    try:
        async with calling(f"http://127.0.0.1:{server.port}") as caller:
            yield caller
    finally:
        await server.close()


class Streamed(NamedTuple):
    """What the events of a completion say; ``is_whole`` if it ended in DONE."""

    text: str
    reason: str | None
    usage: dict[str, Any] | None
    is_whole: bool


def read_events(body: bytes) -> Streamed:
    """Return the completion in a body of server-sent events."""
    lines = [event.removeprefix("data: ") for event in body.decode().split("\n\n")]
    events = [loads(line) for line in lines if line not in ("", "[DONE]")]
    choices = [choice for event in events for choice in event.get("choices", ())]
    reasons = [choice["finish_reason"] for choice in choices]
    usages = [event["usage"] for event in events if event.get("usage")]
    return Streamed(
        "".join(map(_text_of, choices)),
        next((reason for reason in reasons if reason), None),
        usages[-1] if usages else None,
        lines[-2:] == ["[DONE]", ""],
    )


def _text_of(choice: dict[str, Any]) -> str:
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""


def _body(content: Any) -> bytes:
    if content is None:
        return b""
    return content if isinstance(content, bytes) else dumps(content).encode()
