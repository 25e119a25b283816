"""The gateway process: passes bytes to the store, and keeps endpoints' queues.

An entry that is cut off from the store alone reaches it through a gateway on
another host. The gateway reads nothing of what it passes on. Beside that it keeps the
queue of the endpoint on its host for all entries.
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
    start_server,
    timeout,
    wait,
)
from asyncio.tasks import FIRST_COMPLETED
from contextlib import suppress
from logging import getLogger

from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_relay.announcing import Announcement, announce
from clementinebend_relay.datagrams import DatagramSocket, open_socket
from clementinebend_relay.messages import Message, QueueMessage
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_transport.client_connection import Address
from clementinebend_transport.lifecycle import EXIT_OK

PIECE_BYTES = 64 * 1024
CONNECT_SECONDS = 0.4
"""Time for a connection to the store, some hundred round trips."""

IDLE_SECONDS = 20.0
"""How long a connection may carry nothing; entries' reads wait a few seconds."""

logger = getLogger(__name__)


class Gateway:
    """Connections from entries, each with its own to the store.

    ``store`` may change; connections that are open stay as they are.
    """

    def __init__(self, store: Address) -> None:
        self.store = store
        self.serving: set[Task[None]] = set()

    def accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve a connection in a task of its own, which ``close`` ends."""
        task = create_task(self.serve(reader, writer))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def close(self) -> None:
        """End all connections."""
        tasks = tuple(self.serving)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Pass bytes both ways until one side ends."""
        try:
            async with timeout(CONNECT_SECONDS):
                store_reader, store_writer = await open_connection(*self.store)
        except (OSError, TimeoutError) as error:
            logger.warning("store not reached", extra={"problem": str(error)})
            writer.transport.abort()
            return
        ways = (
            create_task(_pass_on(reader, store_writer)),
            create_task(_pass_on(store_reader, writer)),
        )
        try:
            await wait(ways, return_when=FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            writer.transport.abort()
            store_writer.transport.abort()


async def _pass_on(reader: StreamReader, writer: StreamWriter) -> None:
    """Copy until the end, or until nothing comes for too long."""
    with suppress(OSError, TimeoutError):
        while True:
            async with timeout(IDLE_SECONDS):
                piece = await reader.read(PIECE_BYTES)
            if not piece:
                return
            writer.write(piece)
            await writer.drain()


async def _open_desk(boot: str, address: Address) -> DatagramSocket:
    """Return a socket at which entries' words about queues are taken."""

    def send(message: Message, to: Address) -> None:
        socket.send(message, to)

    keeper = QueueKeeper(boot, send, get_running_loop().time)

    def take(message: Message, sender: Address) -> None:
        if isinstance(message, QueueMessage):
            keeper.on_message(message, sender)

    socket = await open_socket(address, take)
    return socket


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
    server = await start_server(gateway.accept, *address, limit=PIECE_BYTES)
    socket = await _open_desk(boot, address)
    logger.info("started", extra={"gateway": name})
    announcing = create_task(announce(log, name, Announcement(boot, zone, *address)))
    await stop.wait()
    announcing.cancel()
    server.close()
    await gateway.close()
    socket.close()
    logger.info("stopped", extra={"code": EXIT_OK})
    return EXIT_OK
