"""HTTP face of a plain service that counts what it executes."""

from asyncio import sleep
from collections.abc import AsyncIterator
from typing import NamedTuple

from msgspec.json import encode

from clementinebend_standins.faults import FaultSwitch
from clementinebend_standins.http_app import (
    JSON_TYPE,
    error_response,
    json_response,
    path_of,
    with_faults,
)
from clementinebend_standins.models.service import (
    Call,
    Executed,
    Executions,
    execute,
)
from clementinebend_standins.notifier import Notifier
from clementinebend_transport.http_server import Handler, Request, Response


class ServiceFaults(NamedTuple):
    """Faults of the service; the ones that are counts go down with each use.

    ``fail_before`` answers 500 without executing, ``fail_after`` executes and
    answers 500, ``truncate`` executes and ends the connection mid-body.
    ``hang`` executes and answers once it is switched off.
    """

    fail_before: int = 0
    fail_after: int = 0
    truncate: int = 0
    slow_ms: int = 0
    hang: bool = False


class ServiceApp:
    """Owns the counts and answers calls on any path."""

    def __init__(self) -> None:
        self.executions: Executions = {}
        self.changed = Notifier()
        self.faults = FaultSwitch(ServiceFaults(), self.changed.notify)

    async def handle(self, request: Request) -> Response:
        """Execute one call, or list what was executed."""
        path = path_of(request)
        if request.method == "GET" and path == "/ran":
            return json_response(200, list(map(_row, self.executions.values())))
        if self.faults.use("fail_before"):
            return error_response(500, "failed before executing")
        self.executions, executed = execute(self.executions, _call(request, path))
        await sleep(self.faults.values.slow_ms / 1000)
        while self.faults.values.hang:
            await self.changed.wait()
        if self.faults.use("fail_after"):
            return error_response(500, "failed after executing")
        body = answer_body(executed, request.body)
        if self.faults.use("truncate"):
            return Response(200, (JSON_TYPE,), _cut_off(body))
        return Response(200, (JSON_TYPE,), body)


def answer_body(executed: Executed, body: bytes) -> bytes:
    """Return the answer to one execution: what was called, and its count."""
    content = {
        "method": executed.method,
        "path": executed.path,
        "key": executed.key,
        "count": executed.calls,
        "body": body.decode(errors="replace"),
    }
    return encode(content)


def service_handler() -> Handler:
    """Return the handler of a new service."""
    app = ServiceApp()
    return with_faults(app.faults, app.handle)


def _row(executed: Executed) -> dict[str, object]:
    row = executed._asdict()
    return {"count": row.pop("calls"), **row}


def _call(request: Request, path: str) -> Call:
    run = request.headers.get("x-run-id", "")
    key = request.headers.get("idempotency-key") or run
    return Call(request.method, path, key, run)


async def _cut_off(body: bytes) -> AsyncIterator[bytes]:
    yield body[: len(body) // 2]
    raise ConnectionResetError("cut off by a fault")
