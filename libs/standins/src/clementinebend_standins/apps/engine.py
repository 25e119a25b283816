"""HTTP face of the model engine."""

from collections.abc import AsyncIterator, Awaitable, Callable
from os import _exit
from sys import maxsize
from time import monotonic
from typing import NamedTuple, TypedDict

from msgspec import DecodeError, ValidationError
from msgspec.json import decode
from msgspec.msgpack import decode as unpack
from msgspec.msgpack import encode as pack

from clementinebend_records.identifiers import new_run_id
from clementinebend_standins.apps.batcher import Batcher, EngineFaults
from clementinebend_standins.apps.completions import (
    CHAT_PATH,
    DONE_EVENT,
    TEXT_PATH,
    BadRequest,
    Completion,
    end_event,
    read_completion,
    text_event,
    usage_event,
    usage_of,
    whole_answer,
)
from clementinebend_standins.http_app import (
    JSON_TYPE,
    error_response,
    json_response,
    path_of,
    query_number,
    with_faults,
)
from clementinebend_standins.models.engine import EngineLimits, Run, RunStatus
from clementinebend_standins.models.lagged import visible_value
from clementinebend_standins.models.orders import (
    ACTIONS,
    EngineOrder,
    OldFencing,
    OrdersState,
    UnknownAction,
    execute_order,
)
from clementinebend_standins.models.prefix_cache import changes_since
from clementinebend_standins.models.text import text_between
from clementinebend_transport.http_server import Handler, Request, Response

EVENT_STREAM = ("content-type", "text/event-stream")
MSGPACK = ("content-type", "application/msgpack")


class EngineSettings(NamedTuple):
    """How an engine is started; ``report_lag_ms`` is the age of load reports."""

    models: tuple[str, ...]
    limits: EngineLimits = EngineLimits()
    tokens_per_chunk: int = 4
    report_lag_ms: int = 0
    fenced: bool = False


class OrderBody(TypedDict, total=False):
    """The body of ``POST /orders``."""

    fencing: int
    action: str
    model: str
    role: str


class KvExport(NamedTuple):
    """A run as it travels to another engine, in place of its KV cache."""

    completion: Completion
    generated: int


class EngineApp:
    """Answers requests; the batcher owns the runs."""

    def __init__(self, settings: EngineSettings, faults: EngineFaults):
        self.settings = settings
        self.batcher = Batcher(settings.limits, faults)
        self.faults = self.batcher.faults
        self.completions: dict[str, Completion] = {}
        self.orders = OrdersState(settings.fenced, settings.models)
        self.routes: dict[tuple[str, str], Callable[[Request], Awaitable[Response]]] = {
            ("POST", "v1"): self.complete,
            ("POST", "runs"): self.act_on_run,
            ("GET", "load"): self.report_load,
            ("GET", "cache-events"): self.list_cache_events,
            ("POST", "orders"): self.order,
            ("GET", "orders"): self.list_orders,
            ("GET", "kv"): self.export_kv,
            ("PUT", "kv"): self.import_kv,
            ("GET", "ran"): self.list_runs,
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        first = _segments(request)[0]
        route = self.routes.get((request.method, first))
        if route is None:
            return error_response(404, "no such path or method")
        return await route(request)

    async def complete(self, request: Request) -> Response:
        """Queue a new run and answer with its text."""
        path = path_of(request)
        if path not in (CHAT_PATH, TEXT_PATH):
            return error_response(404, "no such path")
        if self.faults.use("reject"):
            return error_response(503, "refused by a fault")
        run_id = request.headers.get("x-run-id") or new_run_id()
        priority = _number(request.headers.get("x-priority", ""))
        completion = read_completion(path, request.body, run_id, priority)
        if isinstance(completion, BadRequest):
            return error_response(400, completion.message)
        if completion.model not in self.orders.models:
            return error_response(404, f"model {completion.model!r} is not loaded")
        if run_id in self.completions:
            return error_response(409, f"run {run_id!r} is known already")
        self.completions[run_id] = completion
        self.batcher.submit(completion.order)
        return await self.answer(completion, 0)

    async def answer(self, completion: Completion, start: int) -> Response:
        """Answer with a run's text from the token ``start`` on."""
        if completion.stream:
            events = self.events(completion, start)
            return Response(200, (EVENT_STREAM,), events)
        run = await self.batcher.wait_for(completion.order.run, maxsize)
        text = text_between(completion.order.prompt, start, run.generated)
        body = whole_answer(completion, run, text)
        end = len(body) // 2 if self.faults.use("truncate") else len(body)
        return Response(200, (JSON_TYPE,), body[:end])

    async def events(self, completion: Completion, start: int) -> AsyncIterator[bytes]:
        """Stream a run's text; without an end marker if it was cancelled."""
        truncated = self.faults.use("truncate")
        sent = start
        while True:
            wanted = sent + self.settings.tokens_per_chunk
            run = await self.batcher.wait_for(completion.order.run, wanted)
            end = min(run.generated, wanted)
            if end <= sent:
                break
            text = text_between(completion.order.prompt, sent, end)
            yield text_event(completion, text)
            self.die_if_due()
            if truncated:
                return
            sent = end
        yield end_event(completion, run)
        if completion.include_usage:
            yield usage_event(completion, run)
        if run.status is RunStatus.FINISHED:
            yield DONE_EVENT

    def die_if_due(self) -> None:
        """Exit at once after the last chunk that a fault allows."""
        used = self.faults.use("die_after_chunks")
        if used and not self.faults.values.die_after_chunks:
            _exit(1)

    async def act_on_run(self, request: Request) -> Response:
        """Cancel a run, or stream it from a token on."""
        _, run_id, action = (*_segments(request), "", "")[:3]
        if run_id not in self.completions:
            return error_response(404, f"no run {run_id!r}")
        if action == "cancel":
            self.batcher.cancel(run_id)
            return json_response(200, _row(self.batcher.state.runs[run_id]))
        if action == "resume":
            self.batcher.resume(run_id)
            start = query_number(request, "from", 0)
            return await self.answer(self.completions[run_id], start)
        return error_response(404, "no such action")

    async def report_load(self, request: Request) -> Response:
        """Return the load as it was some time ago."""
        lag = self.settings.report_lag_ms / 1000
        load = visible_value(self.batcher.load, monotonic(), lag)
        content = {
            **load._asdict(),
            "slots": self.settings.limits.slots,
            "step_ms": self.faults.values.step_ms,
            "models": self.orders.models,
        }
        return json_response(200, content)

    async def list_cache_events(self, request: Request) -> Response:
        """Return the cache events above the number ``since``."""
        faults = self.faults.values
        latest = monotonic() - faults.event_lag_ms / 1000
        since = query_number(request, "since", 0)
        changes = changes_since(
            self.batcher.state.cache, since, latest, faults.event_gap
        )
        rows = [
            {
                "sequence": change.sequence,
                "stored": change.stored,
                "evicted": change.evicted,
            }
            for change in changes
        ]
        return json_response(200, {"events": rows})

    async def order(self, request: Request) -> Response:
        """Execute an order, or refuse an old fencing number if fenced."""
        try:
            body = decode(request.body, type=OrderBody)
        except (DecodeError, ValidationError, RecursionError) as error:
            return error_response(400, str(error))
        subject = body.get("model") or body.get("role") or ""
        order = EngineOrder(body.get("fencing", 0), body.get("action", ""), subject)
        self.orders, problem = execute_order(self.orders, order)
        match problem:
            case OldFencing(newest):
                return json_response(409, {"fencing": newest})
            case UnknownAction():
                return error_response(400, f"action must be one of {ACTIONS}")
        return await self.list_orders(request)

    async def list_orders(self, request: Request) -> Response:
        """Return what the engine serves and the orders it executed."""
        executed = [order._asdict() for order in self.orders.executed]
        return json_response(200, {**self.orders._asdict(), "executed": executed})

    async def export_kv(self, request: Request) -> Response:
        """Return a run in place of its KV cache."""
        run_id = _segments(request)[-1]
        if run_id not in self.completions:
            return error_response(404, f"no run {run_id!r}")
        generated = self.batcher.state.runs[run_id].generated
        export = KvExport(self.completions[run_id], generated)
        return Response(200, (MSGPACK,), pack(export))

    async def import_kv(self, request: Request) -> Response:
        """Take a run over from another engine; a resume starts it."""
        run_id = _segments(request)[-1]
        if run_id in self.completions:
            return error_response(409, f"run {run_id!r} is known already")
        try:
            completion, generated = unpack(request.body, type=KvExport)
        except (DecodeError, ValidationError, RecursionError) as error:
            return error_response(400, str(error))
        order = completion.order._replace(run=run_id)
        self.completions[run_id] = completion._replace(order=order)
        self.batcher.import_run(order, generated)
        return json_response(200, {"run": run_id, "generated": generated})

    async def list_runs(self, request: Request) -> Response:
        """Return all runs with what they cost."""
        runs = self.batcher.state.runs.values()
        return json_response(200, [_row(run) for run in runs])


def engine_handler(settings: EngineSettings, faults: EngineFaults) -> Handler:
    """Return the handler of a new engine."""
    app = EngineApp(settings, faults)
    return with_faults(app.faults, app.handle)


def _segments(request: Request) -> list[str]:
    return path_of(request).strip("/").split("/")


def _number(text: str) -> int:
    return int(text) if text.removeprefix("-").isdecimal() else 0


def _row(run: Run) -> dict[str, object]:
    return {"run": run.order.run, "status": run.status, **usage_of(run)}
