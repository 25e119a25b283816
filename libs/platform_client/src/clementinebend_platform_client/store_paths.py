"""Ways to the store: directly, and through gateways on other hosts.

A host that is cut off from the store alone reaches it through a gateway, a
process that passes bytes on. One path is in use; after a failure on it another
is taken, and the direct one is taken again once a probe finds it in order.
"""

from asyncio import sleep
from collections.abc import Awaitable, Callable, Sequence
from logging import getLogger

from clementinebend_transport.client_connection import Address

PROBE_PAUSE = 0.7
"""Seconds between probes of the direct path while another is in use."""

FAILED_SECONDS = 3.0
"""How long a gateway that failed is passed over while others are left."""

logger = getLogger(__name__)

Probe = Callable[[Address], Awaitable[bool]]


class StorePaths:
    """Which address store calls go to; shared by all calls of a process."""

    def __init__(self, direct: Address, clock: Callable[[], float]) -> None:
        self.direct = direct
        self.current = direct
        self.clock = clock
        self.gateways: Sequence[Address] = ()
        self.failed_at: dict[Address, float] = {}

    def move(self, direct: Address) -> None:
        """Take another address for the direct path, if it has changed."""
        if direct == self.direct:
            return
        if self.current == self.direct:
            self.current = direct
        self.direct = direct

    def on_failure(self, address: Address, problem: str) -> None:
        """Take another path if ``address``, which failed, is the current one."""
        self.failed_at[address] = self.clock()
        if address != self.current:
            return
        oldest = self.clock() - FAILED_SECONDS
        paths = (*self.gateways, self.direct)
        fit = [path for path in paths if self.failed_at.get(path, 0.0) < oldest]
        self._take(next(iter(fit), self.direct), problem)

    async def run(self, probe: Probe) -> None:
        """Go back to the direct path when it is in order, for ever."""
        while True:
            await sleep(PROBE_PAUSE)
            if self.current != self.direct and await probe(self.direct):
                self._take(self.direct, "the direct path is in order")

    def _take(self, path: Address, reason: str) -> None:
        """Take a path; one line a change, so that an outage fills no log."""
        if path == self.current:
            return
        logger.warning(
            "store path changed",
            extra={"from": str(self.current), "to": str(path), "reason": reason},
        )
        self.current = path
