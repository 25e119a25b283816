"""HTTP request handler for callers: health, readiness, metrics and calls."""

from asyncio import create_task
from collections.abc import Callable
from time import monotonic
from typing import Protocol

from expression import Result
from prometheus_client import REGISTRY, generate_latest

from clementinebend_entry.answers import error_response, json_response
from clementinebend_entry.calls import Call, parse_call
from clementinebend_entry.execution import Execution
from clementinebend_entry.lookup import Directory
from clementinebend_entry.metrics import IN_PROGRESS
from clementinebend_entry.outcomes import BadRequest, Refusal
from clementinebend_entry.responder import count_error, respond
from clementinebend_entry.services import Services
from clementinebend_records.reasons import NotRunReason
from clementinebend_transport.http_server import Request, Response
from clementinebend_transport.metrics import render_metrics

OK = 200
UNAVAILABLE = 503
TOO_LARGE = 413
NOT_READY_RETRY_MS = 1_000
OPERATIONAL_PATHS = ("/healthz", "/readyz", "/metrics")


def metrics_page() -> Response:
    """Return this project's metrics and those of ``prometheus_client``."""
    page = render_metrics()
    assert isinstance(page.body, bytes)
    return page._replace(body=page.body + generate_latest(REGISTRY))


class Readiness(Protocol):
    """Reports what this entry lacks before it can serve."""

    def for_calls(self) -> tuple[str, ...]:
        """Return what is missing to execute a call; empty if ready."""

    def for_balancer(self) -> tuple[str, ...]:
        """Return why the load balancer should send no traffic here."""


class Handler:
    """Handles HTTP requests under the current declarations."""

    def __init__(
        self,
        services: Services,
        directory: Callable[[], Directory],
        readiness: Readiness,
    ) -> None:
        self.services = services
        self.directory = directory
        self.readiness = readiness

    async def handle(self, request: Request) -> Response:
        """Handle one request and return its response."""
        path = request.target.partition("?")[0]
        if path in OPERATIONAL_PATHS:
            return self.operational_page(path)
        if self.readiness.for_calls():
            return self.refuse(Refusal(NotRunReason.NOT_READY, NOT_READY_RETRY_MS))
        directory = self.directory()
        if len(request.body) > directory.declarations.limits.max_body_bytes:
            return self.refuse(BadRequest(TOO_LARGE, "body", "is too large"))
        match parse_call(request, directory, monotonic()):
            case Result(tag="ok", ok=call):
                return await self.execute(call)
            case Result(error=error_outcome):
                return self.refuse(error_outcome)

    async def execute(self, call: Call) -> Response:
        """Execute a call and return the response for its caller."""
        execution = Execution(self.services, call)
        execution.task = create_task(execution.run(), name=f"call {call.key}")
        self.services.watch(execution.task)
        IN_PROGRESS.inc()
        return await respond(execution, IN_PROGRESS.dec)

    def refuse(self, error_outcome: BadRequest | Refusal) -> Response:
        """Return the error response for a request that is not executed."""
        count_error(error_outcome)
        return error_response(error_outcome)

    def operational_page(self, path: str) -> Response:
        """Return the health, readiness or metrics page of this process."""
        if path == "/metrics":
            return metrics_page()
        missing = self.readiness.for_balancer() if path == "/readyz" else ()
        status = UNAVAILABLE if missing else OK
        return json_response(status, {"ok": not missing, "missing": list(missing)})
