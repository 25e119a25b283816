"""Counts the bytes that pass to and from a server on loopback."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    start_server,
)
from asyncio import open_connection as connect

LOCALHOST = "127.0.0.1"
READ_BYTES = 64 * 1024


class ByteMeter:
    """Listens on ``port``, passes all on to ``target`` and counts it."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.total = 0
        self.server: Server
        self.tasks: set[Task[None]] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await start_server(self.accept, LOCALHOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve a connection in a task of its own."""
        task = create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Pass one connection on."""
        try:
            from_target, to_target = await connect(LOCALHOST, self.target)
        except OSError:
            writer.close()
            return
        await gather(self.copy(reader, to_target), self.copy(from_target, writer))

    async def copy(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Pass one direction on until it ends."""
        try:
            while data := await reader.read(READ_BYTES):
                self.total += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()


async def metered(target: int) -> ByteMeter:
    """Return a meter that listens before ``target``."""
    meter = ByteMeter(target)
    await meter.start()
    return meter
