"""An address as of a host that is gone: nothing there takes or refuses a connection."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from socket import AF_INET, SOCK_STREAM, socket

from clementinebend_transport.client_connection import Address

CALLERS = 4
"""Connections that fill the listener's queue; the system then drops all others."""


@contextmanager
def silent_address() -> Iterator[Address]:
    """Give an address on loopback that answers nothing, as long as this is open."""
    with socket(AF_INET, SOCK_STREAM) as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        callers = [socket(AF_INET, SOCK_STREAM) for _ in range(CALLERS)]
        for caller in callers:
            caller.setblocking(False)
            with suppress(BlockingIOError):
                caller.connect(listener.getsockname())
        yield Address(*listener.getsockname())
        for caller in callers:
            caller.close()
