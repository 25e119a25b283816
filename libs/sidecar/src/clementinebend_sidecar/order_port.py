"""The port that proves that a slot's earlier process is gone.

It is bound, without listening, for as long as the process lives. The kernel
gives it to one process at a time and takes it back only when that one has
ended, paused or not. Source: bind(2), without ``SO_REUSEADDR``.
"""

from asyncio import sleep
from errno import EADDRINUSE
from logging import getLogger
from socket import AF_INET, SOCK_STREAM, socket

logger = getLogger(__name__)

RETRY_SECONDS = 0.5


async def bind_order_port(host: str, port: int) -> socket:
    """Wait until the port is free and return the socket that holds it."""
    holding = socket(AF_INET, SOCK_STREAM)
    waited = False
    while not _bound(holding, host, port):
        if not waited:
            logger.warning("an earlier process holds the order port: waiting for it")
        waited = True
        await sleep(RETRY_SECONDS)
    return holding


def _bound(holding: socket, host: str, port: int) -> bool:
    try:
        holding.bind((host, port))
    except OSError as error:
        if error.errno == EADDRINUSE:
            return False
        raise
    return True
