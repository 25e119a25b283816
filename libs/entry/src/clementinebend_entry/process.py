"""One entry process: its tasks, and what they tell one another."""

from asyncio import Event, Task, create_task, gather
from json import dumps
from logging import getLogger
from sys import stdout
from typing import Any

from clementinebend_admission.request_memory import max_bodies, max_received
from clementinebend_entry.exceptions import ListenError
from clementinebend_entry.fleet import Fleet
from clementinebend_entry.handler import Handler
from clementinebend_entry.readiness import Readiness
from clementinebend_entry.settings import EntrySettings
from clementinebend_entry.stopping import stop_in_order
from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_records.identifiers import Incarnation
from clementinebend_transport.body_room import (
    BodyRoom,
    RequestBodies,
    reject_body,
    request_bodies,
)
from clementinebend_transport.http_server import (
    HttpServer,
    ServerLimits,
    serve_http,
)
from clementinebend_transport.http_types import MIB
from clementinebend_transport.message_stream import MessageServer, serve_messages

logger = getLogger(__name__)


async def run_entry(
    settings: EntrySettings, incarnation: Incarnation, stop: Event
) -> int:
    """Serve until ``stop`` is set, then end in order; return the exit code.

    Raises ``ListenError`` if an address cannot be bound.
    """
    fleet = Fleet(settings, incarnation, stop)
    readiness = Readiness(fleet, stop)
    peer_server = await listen_to_peers(settings, fleet)
    http_server = await listen_to_callers(settings, fleet, readiness)
    announce(http_server, peer_server)
    tasks = [create_task(job, name=name) for name, job in fleet.jobs()]
    for task in tasks:
        watch(task, stop_process)
    await stop.wait()
    code = await stop_in_order(settings, fleet, http_server)
    await end_all(tasks)
    await peer_server.close()
    await fleet.close()
    await http_server.close()
    return code


async def listen_to_peers(settings: EntrySettings, fleet: Fleet) -> MessageServer:
    """Accept the streams of peer entries."""
    host, port = settings.peer_host, settings.peer_port
    try:
        return await serve_messages(fleet.peer_server.serve, host, port)
    except OSError as error:
        raise ListenError("peer_port", host, port, str(error)) from error


async def listen_to_callers(
    settings: EntrySettings, fleet: Fleet, readiness: Readiness
) -> HttpServer:
    """Accept the connections of callers."""
    handler = Handler(fleet.services, fleet.directory, readiness)
    limits = ServerLimits(
        max_header_bytes=settings.max_header_bytes,
        max_connections=settings.max_connections,
        header_timeout=settings.header_timeout_s,
        body_timeout=settings.body_timeout_s,
        write_timeout=settings.write_timeout_s,
        idle_timeout=settings.idle_timeout_s,
    )
    host, port = settings.host, settings.port
    bodies = bounded_bodies(settings.memory_mb * MIB)
    try:
        return await serve_http(handler.handle, host, port, limits, bodies=bodies)
    except OSError as error:
        raise ListenError("port", host, port, str(error)) from error


def bounded_bodies(memory: int) -> RequestBodies:
    """Return the room for requests in a process with ``memory`` bytes."""
    bodies = request_bodies(BodyRoom(max_bodies(memory)), reject_body)
    bodies.received.limit = max_received(memory)
    return bodies


def announce(http_server: HttpServer, peer_server: MessageServer) -> None:
    """Print the ports as one JSON line."""
    ports = {"port": http_server.port, "peer_port": peer_server.port}
    stdout.write(dumps(ports) + "\n")
    stdout.flush()
    logger.info("listening", extra=ports)


async def end_all(tasks: list[Task[Any]]) -> None:
    """Cancel the tasks that run for ever."""
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
