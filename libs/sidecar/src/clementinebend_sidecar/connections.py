"""Connections of entries: one task for each, which owns its receiving side."""

from collections.abc import Awaitable, Callable
from itertools import count

from clementinebend_sidecar.gate.events import Connected, Disconnected, Received
from clementinebend_sidecar.owner import GateOwner
from clementinebend_transport.message_stream import MessageStream


def connection_handler(
    owner: GateOwner,
) -> Callable[[MessageStream], Awaitable[None]]:
    """Return the handler of streams that hands all messages to the gate."""
    numbers = count(1)

    async def handle(stream: MessageStream) -> None:
        connection = next(numbers)
        owner.streams[connection] = stream
        owner.tell(Connected(connection))
        try:
            while (message := await stream.receive()) is not None:
                owner.tell(Received(connection, message))
        finally:
            owner.tell(Disconnected(connection))

    return handle
