"""UDP socket that sends and receives messages."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from asyncio.trsock import TransportSocket
from collections.abc import Callable, Iterable
from contextlib import suppress
from socket import SO_RCVBUF, SOL_SOCKET, socket
from typing import Any, cast

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.messages import (
    InvalidMessage,
    Message,
    decode_message,
    encode_message,
)
from clementinebend_transport.client_connection import Address
from clementinebend_transport.traffic import traffic

RECEIVE_BUFFER_BYTES = 2**20
"""Size of the receive buffer in bytes, where the system allows it. Datagrams wait there
while the event loop is late, and are lost once it is full."""

MAX_RECEIVED_AT_ONCE = 200
"""Maximum number of datagrams received in one iteration of the event loop, some 10 ms.
asyncio receives one, so that queued answers would miss their timeouts."""

MAX_DATAGRAM_BYTES = 65_536
"""Maximum size of a datagram in bytes; source: udp(7)."""


class DatagramSocket(DatagramProtocol):
    """Sends messages and passes received ones to ``on_message``."""

    def __init__(self, on_message: Callable[[Message, Address], None]) -> None:
        self.on_message = on_message
        self.transport: DatagramTransport | None = None
        self.socket: socket | None = None

    def connection_made(self, transport: object) -> None:
        """Store the transport of the open socket."""
        self.transport = cast(DatagramTransport, transport)
        self.socket = self.transport.get_extra_info("socket").dup()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the socket."""
        if self.socket is not None:
            self.socket.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Process a datagram and those queued behind it."""
        self._receive(data, addr)
        for _ in range(MAX_RECEIVED_AT_ONCE - 1):
            waiting = self._next_waiting()
            if waiting is None:
                return
            self._receive(*waiting)

    def _next_waiting(self) -> tuple[bytes, Any] | None:
        """Return the next datagram queued in the socket and its sender, if any."""
        if self.socket is None:
            return None
        try:
            return self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:  # none is left, or the socket is closed
            return None

    def _receive(self, data: bytes, addr: Any) -> None:
        """Decode a datagram; log and drop it if it is not a message."""
        traffic.received += len(data)
        message = decode_message(data)
        if isinstance(message, InvalidMessage):
            log_decision("datagram refused", sender=str(addr), problem=message.problem)
            return
        self.on_message(message, Address(*addr[:2]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port: the entry there has stopped."""

    def send(self, message: Message, address: Address) -> None:
        """Send a message; do nothing while the socket is not open."""
        if self.transport is not None:
            data = encode_message(message)
            traffic.sent += len(data)
            self.transport.sendto(data, address)

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to several addresses, encoding it only once."""
        if self.transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            traffic.sent += len(data)
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_socket(
    address: Address, on_message: Callable[[Message, Address], None]
) -> DatagramSocket:
    """Return a socket bound to ``address``; raise ``OSError`` if binding fails."""
    loop = get_running_loop()
    transport, socket = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(on_message), local_addr=address
    )
    raise_receive_buffer(transport.get_extra_info("socket"))
    return socket


def raise_receive_buffer(socket: TransportSocket) -> None:
    """Raise the receive buffer of a socket as far as the system allows it."""
    with suppress(OSError):
        if socket.getsockopt(SOL_SOCKET, SO_RCVBUF) < RECEIVE_BUFFER_BYTES:
            socket.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
