"""Connections and bytes that come while the event loop is late, with a timeout."""

from asyncio import StreamReader, StreamWriter, Task, create_task, sleep, start_server
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from select import POLLIN, poll
from socket import create_connection, create_server, socket

import pytest

from clementinebend_relay import gateway as gateway_module
from clementinebend_relay.gateway import Gateway
from clementinebend_relay.models import Endpoint
from clementinebend_relay.quarantine import end_detector
from clementinebend_relay.quarantine.end_detector import is_refused
from clementinebend_transport.client_connection import Address
from tests.lib.processes import free_port
from tests.unit.transport.loopback import (
    HOST,
    PATIENCE,
    connect,
    delay_event_loop,
    read_all,
    read_until,
    until,
)

LIMIT_SECONDS = 0.3
LATE_SECONDS = 2 * LIMIT_SECONDS
"""How long one iteration of the event loop takes."""


@asynccontextmanager
async def forwarding(listener: socket) -> AsyncIterator[tuple[Gateway, int]]:
    """Run a gateway to a listening socket; give it and its port."""
    gateway = Gateway(Address(*listener.getsockname()))
    server = await start_server(gateway.accept, HOST, 0)
    try:
        yield gateway, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        await gateway.close()


def accept(listener: socket) -> socket:
    """Return the store's end of a connection from the gateway."""
    listener.settimeout(PATIENCE)
    store, _ = listener.accept()
    store.settimeout(PATIENCE)
    return store


async def open_tunnel(
    listener: socket, port: int
) -> tuple[StreamReader, StreamWriter, socket]:
    """Return both ends of a tunnel that forwards."""
    reader, writer = await connect(port)
    writer.write(b"a")
    await until(lambda: has_connection(listener))
    store = accept(listener)
    store.sendall(b"b")
    assert await read_until(reader, b"b") == b"b"
    return reader, writer, store


def has_connection(listener: socket) -> bool:
    """Return whether a connection waits to be accepted."""
    poller = poll()
    poller.register(listener, POLLIN)
    return bool(poller.poll(0))


async def test_bytes_that_arrive_in_a_late_iteration_are_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a tunnel closed for idleness with bytes in it."""
    monkeypatch.setattr(gateway_module, "IDLE_TIMEOUT", LIMIT_SECONDS)
    with create_server((HOST, 0)) as listener:
        async with forwarding(listener) as (_, port):
            reader, writer, store = await open_tunnel(listener, port)
            with store:
                writer.write(b"c")
                store.sendall(b"d")
                delay_event_loop(LATE_SECONDS)
                assert await read_until(reader, b"d") == b"d"
                assert store.recv(10) == b"ac"
            writer.close()


async def test_an_idle_tunnel_is_closed_after_a_late_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway_module, "IDLE_TIMEOUT", LIMIT_SECONDS)
    with create_server((HOST, 0)) as listener:
        async with forwarding(listener) as (gateway, port):
            reader, writer, store = await open_tunnel(listener, port)
            with store:
                delay_event_loop(LATE_SECONDS)
                await until(lambda: not gateway.connections)
            writer.close()


async def test_a_store_that_is_connected_in_a_late_iteration_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a store that listens, and is taken for out of reach."""
    monkeypatch.setattr(gateway_module, "CONNECT_TIMEOUT", LIMIT_SECONDS)
    accept_caller = Gateway.accept

    def accept_late(
        gateway: Gateway, reader: StreamReader, writer: StreamWriter
    ) -> None:
        accept_caller(gateway, reader, writer)
        delays.append(create_task(delay_after(1)))

    delays: list[Task[None]] = []
    monkeypatch.setattr(Gateway, "accept", accept_late)
    with create_server((HOST, 0)) as listener:
        async with forwarding(listener) as (_, port):
            reader, writer, store = await open_tunnel(listener, port)
            store.close()
            assert await read_all(reader) == b""
            writer.close()
    assert len(delays) == 1


async def delay_after(passes: int) -> None:
    """Delay the event loop after some iterations."""
    for _ in range(passes):
        await sleep(0)
    delay_event_loop(LATE_SECONDS)


@pytest.mark.parametrize("passes", range(1, 9))
async def test_a_connection_refused_in_a_late_iteration_proves_an_end(
    monkeypatch: pytest.MonkeyPatch, passes: int
) -> None:
    """Guards against a refused connection that is taken for no answer."""
    monkeypatch.setattr(end_detector, "CONNECT_TIMEOUT", LIMIT_SECONDS)
    endpoint = Endpoint("e0", "pool", Address(HOST, free_port()), "z", 4, False)
    checking = create_task(is_refused(endpoint))
    await delay_after(passes)
    assert await checking


async def test_an_endpoint_that_does_not_accept_is_not_taken_for_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(end_detector, "CONNECT_TIMEOUT", LIMIT_SECONDS)
    with create_server((HOST, 0), backlog=0) as listener:
        address = Address(*listener.getsockname())
        endpoint = Endpoint("e0", "pool", address, "z", 4, False)
        with create_connection(address):
            checking = create_task(is_refused(endpoint))
            await delay_after(1)
            assert not await checking
