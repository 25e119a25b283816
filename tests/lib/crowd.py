"""A crowd of HTTP clients that do not keep to the limits, as a process of its own.

Started as ``python -m tests.lib.crowd PORT SCRIPT COUNT MANNER``. Each client plays
its script on a connection to ``PORT`` and keeps the connection open. The process
prints a line once no client has sent anything for a while, and goes on until its
standard input ends.
"""

import sys
from asyncio import (
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    get_running_loop,
    open_connection,
    run,
    sleep,
)
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import StrEnum
from itertools import islice, repeat
from typing import NamedTuple

from tests.lib.raw_calls import HEAD_END
from tests.lib.waiting import until

LOCALHOST = "127.0.0.1"
KIB = 1024
MIB = 1024 * KIB
MAX_BODY_BYTES = 4 * MIB
"""The largest body, unless the operator's configuration names another limit."""

MAX_HEADER_BYTES = 16 * KIB
"""The largest head, likewise."""

WRITE_BYTES = 64 * KIB
SHORT_BYTES = 1_000
"""What is missing at the end of a body that stops short of it."""

FIELD_COUNT = 1_990
RETURN_SECONDS = 0.02
"""Pause of a client before it connects again, or tries to."""

TRICKLE_SECONDS = 0.2
"""Pause between two bytes of a client that trickles."""

QUIET_SECONDS = 1.0
"""Time without progress after which the crowd counts as placed."""

PLACING_SECONDS = 20.0
"""Longest time until the crowd counts as placed, for one that never rests."""


class Manner(StrEnum):
    """What clients do after their script."""

    STAY = "stay"
    RETURN = "return"
    """A client whose connection is closed connects again."""
    TRICKLE = "trickle"
    """A client goes on byte by byte."""


class Script(NamedTuple):
    """What a client sends: ``head``, then ``unit`` so many ``times``, then ``tail``."""

    head: bytes
    unit: bytes = b""
    times: int = 0
    tail: bytes = b""
    more: bytes = b"x"
    """The byte of which one that trickles sends more."""


def head(*fields: str) -> bytes:
    """Return the head of an allowed request, without its blank line."""
    lines = (
        "POST /safe/x HTTP/1.1",
        "host: desk.example",
        "authorization: Bearer key-1",
        "x-request-id: crowd",
        *fields,
    )
    return "\r\n".join(lines).encode()


def chunk(data: bytes, extension: str = "") -> bytes:
    """Return one chunk of a body."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension.encode(), data)


def many_fields() -> bytes:
    """Return a head within the limit, with as many fields as fit."""
    return head(*(f"f{each}:" for each in range(FIELD_COUNT)), "content-length: 10")


CHUNKED = head("transfer-encoding: chunked") + HEAD_END
LARGE_CHUNK = chunk(bytes(64 * KIB))

SCRIPTS: dict[str, Script] = {
    "announced_far_over": Script(
        head(f"content-length: {10**12}") + HEAD_END, bytes(64 * KIB), 160
    ),
    "sent_far_over": Script(CHUNKED, LARGE_CHUNK, 160),
    "announced_short_of_end": Script(
        head(f"content-length: {MAX_BODY_BYTES}") + HEAD_END,
        bytes(64 * KIB),
        63,
        bytes(64 * KIB - SHORT_BYTES),
    ),
    "large_chunks_short_of_end": Script(
        CHUNKED, LARGE_CHUNK, 63, b"10000\r\n" + bytes(64 * KIB - SHORT_BYTES)
    ),
    "small_chunks_short_of_end": Script(CHUNKED, chunk(b"x" * 9), 60_000, b"400\r\n"),
    "tiny_chunks_short_of_end": Script(CHUNKED, chunk(b"x"), 140_000, b"1\r\n"),
    "extensions": Script(CHUNKED, chunk(b"x", ";e=" + 8_000 * "e"), 100, b"1\r\n"),
    "trailer_short_of_end": Script(
        CHUNKED, chunk(b"x"), 1, b"0\r\nt: " + b"v" * (MAX_HEADER_BYTES - 1_000)
    ),
    "head_short_of_end": Script(head("f: " + (MAX_HEADER_BYTES - 1_000) * "v")),
    "many_fields": Script(many_fields() + HEAD_END, b"x", 9),
    "many_fields_short_of_end": Script(
        head("transfer-encoding: chunked") + HEAD_END,
        b"0\r\n",
        1,
        b"".join(b"f%d:\r\n" % each for each in range(FIELD_COUNT)),
    ),
    "pipelined": Script(b"", head("content-length: 0") + HEAD_END, 8_000),
    "nothing": Script(b""),
}


def writes(script: Script) -> Iterator[bytes]:
    """Yield what a client sends, in writes of some size."""
    units = max(1, WRITE_BYTES // max(1, len(script.unit)))
    yield script.head
    left = repeat(script.unit, script.times)
    while data := b"".join(islice(left, units)):
        yield data
    yield script.tail


class Client:
    """One client; ``on_progress`` is called whenever it has sent something."""

    def __init__(
        self, port: int, script: Script, manner: Manner, on_progress: Callable[[], None]
    ) -> None:
        self.port = port
        self.script = script
        self.manner = manner
        self.on_progress = on_progress

    async def run(self) -> None:
        """Play the script; forever if the client returns."""
        while True:
            with suppress(OSError):
                await self.play()
            if self.manner is not Manner.RETURN:
                return
            await sleep(RETURN_SECONDS)

    async def play(self) -> None:
        """Play the script once, until the server closes the connection."""
        reader, writer = await open_connection(LOCALHOST, self.port)
        sending = create_task(self.send(writer))
        try:
            await read_to_end(reader)
        finally:
            sending.cancel()
            writer.transport.abort()

    async def send(self, writer: StreamWriter) -> None:
        """Send the script, and more of it if the client trickles."""
        with suppress(OSError):
            for data in writes(self.script):
                writer.write(data)
                await writer.drain()
                self.on_progress()
            if self.manner is not Manner.TRICKLE:
                return
            for more in repeat(self.script.more):
                await sleep(TRICKLE_SECONDS)
                writer.write(more)
                await writer.drain()


class Progress:
    """When a client last sent something, on ``clock`` in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.at = clock()

    def note(self) -> None:
        """Remember that a client has sent something."""
        self.at = self.clock()

    def is_quiet(self) -> bool:
        """Return whether no client has for a while."""
        return self.clock() >= self.at + QUIET_SECONDS


async def read_to_end(reader: StreamReader) -> None:
    """Read and drop what the server sends."""
    while await reader.read(WRITE_BYTES):
        pass


async def play(port: int, script: Script, count: int, manner: Manner) -> None:
    """Run a crowd until standard input ends."""
    loop = get_running_loop()
    progress = Progress(loop.time)
    clients = [Client(port, script, manner, progress.note) for _ in range(count)]
    playing = [create_task(client.run()) for client in clients]
    with suppress(TimeoutError):
        await until(progress.is_quiet, PLACING_SECONDS)
    sys.stdout.write("placed\n")
    sys.stdout.flush()
    await loop.run_in_executor(None, sys.stdin.read)
    for task in playing:
        task.cancel()
    await gather(*playing, return_exceptions=True)


def main(port: str, script: str, count: str, manner: str) -> None:
    """Run a crowd as the command line says."""
    run(play(int(port), SCRIPTS[script], int(count), Manner(manner)))


if __name__ == "__main__":
    main(*sys.argv[1:])
