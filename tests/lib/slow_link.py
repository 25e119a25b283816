"""A host's link to the store: loopback connections that share a bounded rate."""

from asyncio import (
    FIRST_COMPLETED,
    Server,
    StreamReader,
    StreamWriter,
    create_task,
    get_running_loop,
    open_connection,
    sleep,
    start_server,
    wait,
)
from contextlib import suppress

PIECE_BYTES = 4 * 1024


class SlowLink:
    """Passes requests on at once and answers at ``rate`` bytes a second in all.

    ``carried`` counts the bytes of answers; while ``is_held`` none passes.
    """

    def __init__(self, target_port: int, rate: float) -> None:
        self.target_port = target_port
        self.rate = rate
        self.carried = 0
        self.is_held = False
        self.free_at = 0.0
        self.writers: set[StreamWriter] = set()
        self.server: Server | None = None

    @property
    def port(self) -> int:
        """The port to connect to."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """End the connections that are open now."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        far_reader, far_writer = await open_connection("127.0.0.1", self.target_port)
        both = {writer, far_writer}
        self.writers |= both
        ways = (
            create_task(self._pass_on(reader, far_writer, is_answer=False)),
            create_task(self._pass_on(far_reader, writer, is_answer=True)),
        )
        await wait(ways, return_when=FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        self.writers -= both
        for end in both:
            end.transport.abort()

    async def _pass_on(
        self, reader: StreamReader, writer: StreamWriter, is_answer: bool
    ) -> None:
        with suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                if is_answer:
                    await self._carry(len(piece))
                writer.write(piece)
                await writer.drain()

    async def _carry(self, size: int) -> None:
        """Wait until the link has carried ``size`` more bytes."""
        now = get_running_loop().time()
        self.free_at = max(now, self.free_at) + size / self.rate
        self.carried += size
        await sleep(self.free_at - now)
        while self.is_held:  # noqa: ASYNC110 - a switch of the test, not an event
            await sleep(PIECE_BYTES / self.rate)
