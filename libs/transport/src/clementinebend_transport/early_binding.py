"""Ports that are bound before the program is loaded.

Loading a program's modules takes some 0.4 s. Callers that connect meanwhile
wait for that long, instead of being turned away by a port nobody listens on.

This module imports nothing but ``socket``, so that it is loaded first.
"""

import socket

BACKLOG = 1024
"""Connections that the kernel holds for us before we accept them."""

RECEIVE_QUEUE_BYTES = 32 * 1024
"""What the kernel keeps of a connection that is not read, as for the round trip of a
region at 5 MB/s. Without a bound it keeps up to some MB of each."""

_bound: dict[tuple[str, int], socket.socket] = {}


def bind_early(host: str, port: int) -> None:
    """Listen on an address; raises ``OSError`` if it cannot be bound."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        limit_receive_queue(listening)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    _bound[host, port] = listening


def take_bound(host: str, port: int) -> socket.socket | None:
    """Return the socket that was bound to an address early, once."""
    return _bound.pop((host, port), None)


def limit_receive_queue(listening: socket.socket) -> None:
    """Bound what the kernel keeps for each connection that the socket accepts."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_QUEUE_BYTES)


def prepare_listening(descriptor: int) -> None:
    """Bound the queues of a socket that listens: of its connections, and of each.

    An event loop that is told of a backlog accepts as many connections at once.
    """
    with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as duplicate:
        limit_receive_queue(duplicate)
        duplicate.listen(BACKLOG)
