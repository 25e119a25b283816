"""A loopback TCP proxy whose connections can be made to misbehave."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
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
from math import inf
from socket import SO_LINGER, SOL_SOCKET

from clementinebend_transport.channel import RESET_ON_CLOSE

MODES = ("", "delay", "reset", "silent", "one_way")
"""How connections fare: well, slowly, reset at once, without any byte passed,
or with nothing passed on the way back."""

DELAY_SECONDS = 0.08
PIECE_BYTES = 4 * 1024


class Link:
    """One direction of a link that carries ``rate`` bytes a second.

    It keeps its rate while this event loop is late: the link goes on with the next
    bytes from when it was free, not from when the loop has noticed that.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0
        self.delay = 0.0

    async def carry(self, size: int) -> None:
        """Wait until the link has carried ``size`` more bytes."""
        clock = get_running_loop().time
        now = clock()
        self.free_at = max(now - self.delay, self.free_at) + size / self.rate
        if self.free_at > now:
            await sleep(self.free_at - now)
        self.delay = max(0.0, clock() - self.free_at)


class FaultProxy:
    """Passes bytes to a port, as ``mode`` says; changes act on open connections.

    All answers together pass at ``rate`` bytes a second, all requests at
    ``request_rate``, as over a slow link.
    """

    def __init__(
        self, target_port: int, rate: float = inf, request_rate: float = inf
    ) -> None:
        self.target_port = target_port
        self.links = (Link(request_rate), Link(rate))
        self.writers: set[StreamWriter] = set()
        self.mode = ""
        self.requests = Event()
        self.answers = Event()
        self.change("")
        self.server: Server | None = None

    @property
    def port(self) -> int:
        """The port to connect to."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await start_server(self._serve, "127.0.0.1", 0)

    def change(self, mode: str) -> None:
        """Let connections fare otherwise from now on."""
        self.mode = mode
        held = {"silent": (self.requests, self.answers), "one_way": (self.answers,)}
        for way in (self.requests, self.answers):
            way.set()
        for way in held.get(mode, ()):
            way.clear()
        if mode == "reset":
            for writer in tuple(self.writers):
                _reset(writer)

    def close(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.mode == "reset":
            _reset(writer)
            return
        try:
            far_reader, far_writer = await open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            _reset(writer)
            return
        self.writers |= {writer, far_writer}
        ways = (
            create_task(self._pass_on(reader, far_writer, is_answer=False)),
            create_task(self._pass_on(far_reader, writer, is_answer=True)),
        )
        await wait(ways, return_when=FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        self.writers -= {writer, far_writer}
        far_writer.transport.abort()
        with suppress(OSError):
            writer.close()

    async def _pass_on(
        self, reader: StreamReader, writer: StreamWriter, is_answer: bool
    ) -> None:
        with suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                await self.links[is_answer].carry(len(piece))
                await (self.answers if is_answer else self.requests).wait()
                if self.mode == "delay":
                    await sleep(DELAY_SECONDS)
                writer.write(piece)
                await writer.drain()


def _reset(writer: StreamWriter) -> None:
    socket = writer.transport.get_extra_info("socket")
    if socket is not None:
        socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
