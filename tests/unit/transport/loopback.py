"""Raw peers on the loopback address, and waits on conditions."""

from asyncio import StreamReader, StreamWriter, open_connection, sleep, start_server
from asyncio import timeout as time_limit
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from time import sleep as block

from clementinebend_transport.http_server import (
    Handler,
    HttpServer,
    ServerLimits,
    serve_http,
)

HOST = "127.0.0.1"
PATIENCE = 20.0
"""Seconds after which a test gives up; never a measure of anything."""

GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


async def until(condition: Callable[[], bool]) -> None:
    async with time_limit(PATIENCE):
        while not condition():  # noqa: ASYNC110 - any condition, not an event
            await sleep(0.001)


def delay_event_loop(seconds: float) -> None:
    """Keep the event loop from running for some time, as a long callback does."""
    block(seconds)


@asynccontextmanager
async def serving(
    handler: Handler, limits: ServerLimits | None = None
) -> AsyncIterator[HttpServer]:
    server = await serve_http(handler, HOST, 0, limits or ServerLimits())
    try:
        yield server
    finally:
        await server.close()


async def connect(port: int) -> tuple[StreamReader, StreamWriter]:
    return await open_connection(HOST, port)


async def read_all(reader: StreamReader) -> bytes:
    async with time_limit(PATIENCE):
        return await reader.read()


async def read_until(reader: StreamReader, end: bytes) -> bytes:
    async with time_limit(PATIENCE):
        return await reader.readuntil(end)


async def talk(port: int, data: bytes) -> bytes:
    """Send ``data`` and return all that comes until the server closes."""
    reader, writer = await connect(port)
    writer.write(data)
    answer = await read_all(reader)
    writer.close()
    return answer


Script = Callable[[StreamReader, StreamWriter], Awaitable[None]]


@asynccontextmanager
async def scripted(script: Script) -> AsyncIterator[int]:
    """Serve each connection by ``script``; give the port."""

    async def run(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            await script(reader, writer)
        except (ConnectionError, EOFError):
            pass
        finally:
            writer.close()

    server = await start_server(run, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
