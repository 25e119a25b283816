"""Many small members of a fleet in one process, for measuring one real one.

Sidecars are the product's own gates without an endpoint; peers answer ``Hello``
and open a stream of their own to the entry; entries open streams to a sidecar.
Prints the ports that sidecars and peers listen on as one JSON line.
"""

from asyncio import Event, create_task, gather, sleep
from collections.abc import Awaitable
from sys import argv, stdout
from typing import Any, NamedTuple

from msgspec.json import decode, encode

from clementinebend_declarations.models import ServiceKind
from clementinebend_entry.heartbeat import heartbeat_interval, silence_limit
from clementinebend_entry.peer_link import PeerLink
from clementinebend_entry.settings import Peer
from clementinebend_entry.sidecar_link import Address, SidecarLink
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.identifiers import RunId, new_incarnation
from clementinebend_records.messages import Hello, RunStart
from clementinebend_sidecar.clock import tick_forever
from clementinebend_sidecar.connections import connection_handler
from clementinebend_sidecar.gate.state import GateLimits, Identity, empty_gate
from clementinebend_sidecar.owner import GateOwner
from clementinebend_transport.lifecycle import run_until_stopped
from clementinebend_transport.message_stream import MessageStream, serve_messages

LOCALHOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b")
SLOTS = 32
QUEUE_BOUND = 256
RETENTION_SECONDS = 120.0
RETENTION_BYTES = 1 << 24
DRAIN_SECONDS = 30.0


class Members(NamedTuple):
    """How many of each; ``entry_port`` and ``sidecar_port`` are the real ones.

    Peers open streams to the first, entries to the second.
    """

    sidecars: int = 0
    peers: int = 0
    entries: int = 0
    entry_port: int = 0
    sidecar_port: int = 0


class Ports(NamedTuple):
    """Where sidecars and peers listen; ``port`` is any of them, 0 if none."""

    sidecars: tuple[int, ...]
    peers: tuple[int, ...]


class IdleRunner:
    """Executes nothing: no run is ever sent."""

    def start(self, start: RunStart) -> None:
        """Begin nothing."""

    def stop(self, run: RunId) -> None:
        """Stop nothing."""


def sidecar_name(number: int) -> str:
    """Return the endpoint's name of a sidecar, numbered from 0."""
    return f"engine-{number + 1}"


def peer_name(number: int) -> str:
    """Return the name of a peer, numbered from 0; the real one is ``entry-1``."""
    return f"entry-{number + 2}"


def zone_of(number: int) -> str:
    """Return the availability zone of a member."""
    return ZONES[number % len(ZONES)]


def hello_of(role: str, name: str, zone: str) -> Hello:
    """Return what a member says of itself."""
    return Hello(role, name, new_incarnation(name), zone, SCHEMA_VERSION, 0)


async def serve_sidecar(number: int) -> int:
    """Run the gate of a sidecar and return its port."""
    name = sidecar_name(number)
    identity = Identity(
        name, zone_of(number), new_incarnation(name), SCHEMA_VERSION, ServiceKind.MODEL
    )
    limits = GateLimits(
        SLOTS, QUEUE_BOUND, RETENTION_SECONDS, RETENTION_BYTES, DRAIN_SECONDS
    )
    owner = GateOwner(empty_gate(identity, limits))
    owner.runner = IdleRunner()
    _keep(owner.run())
    _keep(tick_forever(owner, None))
    server = await serve_messages(connection_handler(owner), LOCALHOST, 0)
    return server.port


async def serve_peer(number: int, peers: int, entry_port: int) -> int:
    """Run a peer, with a stream of its own to the entry, and return its port."""
    hello = hello_of("entry", peer_name(number), zone_of(number + 1))

    async def serve(stream: MessageStream) -> None:
        stream.post(hello)
        beats = create_task(repeat_hello(stream, hello, heartbeat_interval(peers)))
        while await stream.receive() is not None:
            continue
        beats.cancel()

    server = await serve_messages(serve, LOCALHOST, 0)
    entry = Peer("entry-1", zone_of(0), LOCALHOST, entry_port)
    silence = silence_limit(peers)
    _keep(PeerLink(entry, lambda: hello, lambda news: None, silence).run())
    return server.port


async def repeat_hello(stream: MessageStream, hello: Hello, interval: float) -> None:
    """Repeat ``Hello`` for ever, as entries do."""
    while True:
        await sleep(interval)
        stream.post(hello)


def open_entry(number: int, sidecar_port: int) -> None:
    """Run an entry's link to a sidecar."""
    hello = hello_of("entry", peer_name(number), zone_of(number))
    address = Address(sidecar_name(0), LOCALHOST, sidecar_port)
    _keep(SidecarLink(address, lambda: hello, lambda news: None).run())


async def serve_members(members: Members, stopped: Event) -> int:
    """Run all members until the event is set."""
    sidecars = await gather(*map(serve_sidecar, range(members.sidecars)))
    peers = await gather(
        *(
            serve_peer(number, members.peers, members.entry_port)
            for number in range(members.peers)
        )
    )
    for number in range(members.entries):
        open_entry(number, members.sidecar_port)
    line = encode(Ports(tuple(sidecars), tuple(peers))).decode()
    stdout.write(line + "\n")
    stdout.flush()
    await stopped.wait()
    return 0


_tasks: list[Any] = []


def _keep(job: Awaitable[None]) -> None:
    """Run a job for as long as the process lives."""
    _tasks.append(create_task(job))  # type: ignore[arg-type]


if __name__ == "__main__":
    asked = decode(argv[1], type=Members)
    raise SystemExit(run_until_stopped(lambda stopped: serve_members(asked, stopped)))
