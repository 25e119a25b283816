"""The gateway process: a TCP proxy to the store that also keeps state for entries.

An entry that has lost only its own connection to the store reaches the store through a
gateway on another host. The gateway does not interpret the bytes that it forwards. It
also tracks the queue of the endpoint on its host on behalf of all entries, and keeps
the origins of some of their streams.
"""

from asyncio import (
    Event,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    sleep,
    start_server,
    timeout,
    wait,
)
from asyncio.tasks import FIRST_COMPLETED
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from logging import getLogger
from typing import NamedTuple

from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_relay.datagrams import DatagramSocket, open_socket
from clementinebend_relay.discovery import Announcement, announce
from clementinebend_relay.leaving_gateway import LeavingGateway, hand_over_origins
from clementinebend_relay.loop_delay import LoopDelay
from clementinebend_relay.messages import Message, QueueMessage
from clementinebend_relay.origin_keeper import OriginKeeper
from clementinebend_relay.origin_messages import OriginRequestMessage, OriginsMessage
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_transport.channel import RECEIVE_ITERATIONS
from clementinebend_transport.client_connection import Address
from clementinebend_transport.early_binding import prepare_listening
from clementinebend_transport.late_waits import late_waits, set_up_within
from clementinebend_transport.lifecycle import EXIT_OK
from clementinebend_transport.metrics import counter

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT = 0.4
"""Timeout in seconds for a connection to the store, about a hundred round trips."""

IDLE_TIMEOUT = 20.0
"""Seconds after which a connection without data is closed; entries' reads wait a few
seconds for records."""

MAX_CONNECTIONS = 64
"""Most connections of entries, which keep some twelve each. With what waits in both
directions they take 40 MB."""

ACCEPTS_PER_ITERATION = 16
"""Most connections that are accepted at once, and may then be refused."""

MIN_IDLE_SECONDS = 0.5
"""Shortest time without data after which a connection is closed for another one."""

logger = getLogger(__name__)

_closed = counter(
    "clementinebend_gateway_connections_closed_total",
    "Connections closed, or refused, as there were too many.",
)


class Copying:
    """A connection that is forwarded; ``used_at`` is when data last came."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.used_at = clock()

    async def copy(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Copy until the end of the stream, a connection error or the idle timeout."""
        with suppress(OSError, TimeoutError):
            while chunk := await _read(reader):
                self.used_at = self.clock()
                writer.write(chunk)
                await writer.drain()


class Gateway:
    """Forwards each connection from an entry over a connection of its own to the store.

    ``store`` may change; open connections are not affected.
    """

    def __init__(self, store: Address) -> None:
        self.store = store
        self.connections: dict[Task[None], Copying] = {}

    def accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve a connection in a separate task, which ``close`` cancels.

        Beyond ``MAX_CONNECTIONS``, the one that has been idle for longest is closed for
        it, or it is refused.
        """
        if not self._make_place():
            writer.transport.abort()
            return
        copying = Copying(get_running_loop().time)
        task = create_task(self.serve(reader, writer, copying))
        self.connections[task] = copying
        task.add_done_callback(partial(self._on_done, writer))

    def _make_place(self) -> bool:
        """Return whether one more connection may be taken."""
        if len(self.connections) < MAX_CONNECTIONS:
            return True
        _closed.inc()
        idlest = min(self.connections, key=lambda each: self.connections[each].used_at)
        latest = get_running_loop().time() - MIN_IDLE_SECONDS
        if self.connections[idlest].used_at > latest:
            return False
        del self.connections[idlest]
        idlest.cancel()
        return True

    def _on_done(self, writer: StreamWriter, task: Task[None]) -> None:
        writer.transport.abort()
        self.connections.pop(task, None)

    async def close(self) -> None:
        """Close all connections."""
        tasks = tuple(self.connections)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    async def serve(
        self, reader: StreamReader, writer: StreamWriter, copying: Copying
    ) -> None:
        """Copy bytes in both directions until one side closes its connection."""
        try:
            store_reader, store_writer = await set_up_within(
                open_connection(*self.store), CONNECT_TIMEOUT, _discard
            )
        except (OSError, TimeoutError) as error:
            logger.warning("store not reached", extra={"problem": str(error)})
            writer.transport.abort()
            return
        copy_tasks = (
            create_task(copying.copy(reader, store_writer)),
            create_task(copying.copy(store_reader, writer)),
        )
        try:
            await wait(copy_tasks, return_when=FIRST_COMPLETED)
        finally:
            for copy_task in copy_tasks:
                copy_task.cancel()
            writer.transport.abort()
            store_writer.transport.abort()


def _discard(connection: tuple[StreamReader, StreamWriter]) -> None:
    """Close a connection that was given up."""
    connection[1].transport.abort()


async def _read(reader: StreamReader) -> bytes:
    """Return the next bytes, none at the end; raise ``TimeoutError`` if idle.

    After a late iteration of the event loop, the timeout and bytes are due at once.
    """
    with suppress(TimeoutError):
        async with timeout(IDLE_TIMEOUT):
            return await reader.read(CHUNK_BYTES)
    for _ in range(RECEIVE_ITERATIONS):
        await sleep(0)
    async with timeout(0):
        chunk = await reader.read(CHUNK_BYTES)
    late_waits.inc()
    return chunk


class EntrySocket(NamedTuple):
    """A socket for messages about queues and origins, and the origins told to it."""

    socket: DatagramSocket
    origins: OriginKeeper


async def _open_entry_socket(boot: str, address: Address) -> EntrySocket:
    """Return a socket that receives entries' messages about queues and origins."""

    def send(message: Message, to: Address) -> None:
        socket.send(message, to)

    clock = get_running_loop().time
    queues, origins = QueueKeeper(boot, send, clock), OriginKeeper(boot, send, clock)

    def receive(message: Message, sender: Address) -> None:
        if isinstance(message, QueueMessage):
            queues.on_message(message, sender)
        elif isinstance(message, OriginsMessage | OriginRequestMessage):
            origins.on_message(message, sender)

    socket = await open_socket(address, receive)
    return EntrySocket(socket, origins)


async def run_gateway(
    gateway: Gateway,
    name: str,
    boot: str,
    zone: str,
    address: Address,
    log: KeyedLog,
    stop: Event,
) -> int:
    """Serve until ``stop`` is set; return the exit code."""
    server = await start_server(
        gateway.accept, *address, limit=CHUNK_BYTES, backlog=ACCEPTS_PER_ITERATION
    )
    for listening in server.sockets:
        prepare_listening(listening.fileno())
    socket, origins = await _open_entry_socket(boot, address)
    logger.info("started", extra={"gateway": name})
    discovery = create_task(announce(log, name, Announcement(boot, zone, *address)))
    sampling = create_task(LoopDelay(get_running_loop().time).run())
    await stop.wait()
    discovery.cancel()
    await hand_over_origins(LeavingGateway(name, origins, log, socket.send))
    sampling.cancel()
    server.close()
    await gateway.close()
    socket.close()
    logger.info("stopped", extra={"code": EXIT_OK})
    return EXIT_OK
