"""Puts a sidecar together, and takes it apart in order."""

import sys
from asyncio import FIRST_COMPLETED, Event, Task, create_task, gather, wait
from logging import getLogger

from msgspec.json import encode

from clementinebend_declarations.models import ServiceKind
from clementinebend_platform_client.engine import EngineClient
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_platform_client.weight_store import WeightStoreClient
from clementinebend_records.identifiers import Incarnation
from clementinebend_sidecar.clock import tick_forever
from clementinebend_sidecar.configuration import ConfigurationWatch
from clementinebend_sidecar.connections import connection_handler
from clementinebend_sidecar.endpoint.factory import endpoint_of, watches_of
from clementinebend_sidecar.exceptions import AddressInUseError
from clementinebend_sidecar.fencing import FencingReader
from clementinebend_sidecar.gate.events import DrainAsked
from clementinebend_sidecar.gate.state import GateLimits, Identity, empty_gate
from clementinebend_sidecar.metrics import show_state
from clementinebend_sidecar.operator_http import operator_handler
from clementinebend_sidecar.orders import EngineOrders
from clementinebend_sidecar.owner import GateOwner
from clementinebend_sidecar.runner import RunTasks
from clementinebend_sidecar.settings import SidecarSettings
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.lifecycle import EXIT_OK
from clementinebend_transport.message_stream import MessageServer, serve_messages

logger = getLogger(__name__)

HTTP_DRAIN_SECONDS = 1.0


async def run_sidecar(
    settings: SidecarSettings, incarnation: Incarnation, stop: Event
) -> int:
    """Serve until ``stop`` is set or a drain is asked for; return the exit code."""
    owner = GateOwner(empty_gate(_identity(settings, incarnation), _limits(settings)))
    http = HttpClient()
    owner.runner = RunTasks(endpoint_of(settings, http), owner.tell)
    show_state(lambda: owner.state)
    messages = await _serve_entries(settings, owner)
    operators = await _serve_operators(settings, owner)
    announce(messages.port, operators.port)
    configuration = _configuration(settings, http)
    orders = _orders(settings, incarnation, http, configuration)
    tasks = (
        create_task(owner.run(), name="gate"),
        create_task(tick_forever(owner, configuration), name="clock"),
        *watches_of(settings, http, owner),
        *(create_task(each.run(), name="engine orders") for each in orders),
    )
    for task in tasks:
        watch(task, stop_process)
    logger.info("serving", extra={"port": messages.port})
    await _drained(owner, stop)
    await messages.close()
    await operators.drain(HTTP_DRAIN_SECONDS)
    await operators.close()
    await _end(tasks)
    if configuration is not None:
        await configuration.close()
    for each in orders:
        await each.close()
    await http.close()
    logger.info("left")
    return EXIT_OK


def announce(port: int, http_port: int) -> None:
    """Write one JSON line on stdout for whoever started the process."""
    line = encode({"port": port, "http_port": http_port}).decode()
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def _drained(owner: GateOwner, stop: Event) -> None:
    """Wait until the gate says that nothing is left to do."""
    stopping = create_task(stop.wait())
    finished = create_task(owner.finished.wait())
    await wait((stopping, finished), return_when=FIRST_COMPLETED)
    if not finished.done():
        owner.tell(DrainAsked("signal"))
    await finished
    stopping.cancel()


async def _end(tasks: tuple[Task[None], ...]) -> None:
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)


async def _serve_entries(settings: SidecarSettings, owner: GateOwner) -> MessageServer:
    host, port = settings.host, settings.port
    try:
        return await serve_messages(connection_handler(owner), host, port)
    except OSError as error:
        raise AddressInUseError("port", host, port, str(error)) from error


async def _serve_operators(settings: SidecarSettings, owner: GateOwner) -> HttpServer:
    host, port = settings.http_host, settings.http_port
    try:
        return await serve_http(operator_handler(owner), host, port)
    except OSError as error:
        raise AddressInUseError("http_port", host, port, str(error)) from error


def _configuration(
    settings: SidecarSettings, http: HttpClient
) -> ConfigurationWatch | None:
    if not settings.log_url:
        return None
    client = http_log_client(settings.log_url, http, settings.name)
    return ConfigurationWatch(client, settings.name, settings.schema_version)


def _orders(
    settings: SidecarSettings,
    incarnation: Incarnation,
    http: HttpClient,
    configuration: ConfigurationWatch | None,
) -> tuple[EngineOrders, ...]:
    """Return the task that orders a model engine, if there is a log to ask."""
    if configuration is None or settings.kind is ServiceKind.PLAIN:
        return ()
    client = http_log_client(settings.log_url, http, settings.name)
    url = settings.weights_url
    orders = EngineOrders(
        settings,
        EngineClient(settings.endpoint_url, http),
        WeightStoreClient(url, http) if url else None,
        configuration.models,
        lambda: FencingReader(client, settings.name, incarnation),
    )
    return (orders,)


def _identity(settings: SidecarSettings, incarnation: Incarnation) -> Identity:
    return Identity(
        name=settings.name,
        zone=settings.zone,
        incarnation=incarnation,
        schema_version=settings.schema_version,
        kind=settings.kind,
    )


def _limits(settings: SidecarSettings) -> GateLimits:
    return GateLimits(
        slots=settings.slots,
        queue_bound=settings.queue_bound,
        answer_retention_s=settings.answer_retention_s,
        answer_retention_bytes=settings.answer_retention_bytes,
        drain_timeout_s=settings.drain_timeout_s,
    )
