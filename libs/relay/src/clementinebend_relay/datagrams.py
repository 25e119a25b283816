"""A UDP socket for messages, owned by the process that made it."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable, Iterable
from typing import Any, cast

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.messages import (
    InvalidMessage,
    Message,
    decode_message,
    encode_message,
)
from clementinebend_transport.client_connection import Address


class DatagramSocket(DatagramProtocol):
    """Sends messages and hands those that come to ``on_message``."""

    def __init__(self, on_message: Callable[[Message, Address], None]) -> None:
        self.on_message = on_message
        self.transport: DatagramTransport | None = None

    def connection_made(self, transport: object) -> None:
        """Take over the socket."""
        self.transport = cast(DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a message."""
        message = decode_message(data)
        if isinstance(message, InvalidMessage):
            log_decision("datagram refused", sender=str(addr), problem=message.problem)
            return
        self.on_message(message, Address(*addr[:2]))

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens at an address: the entry there is gone."""

    def send(self, message: Message, address: Address) -> None:
        """Send a message, if the socket is open."""
        if self.transport is not None:
            self.transport.sendto(encode_message(message), address)

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Send a message to several, encoded once."""
        if self.transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_socket(
    address: Address, on_message: Callable[[Message, Address], None]
) -> DatagramSocket:
    """Return a socket bound to ``address``; raises ``OSError`` if it cannot be."""
    loop = get_running_loop()
    _, socket = await loop.create_datagram_endpoint(
        lambda: DatagramSocket(on_message), local_addr=address
    )
    return socket
