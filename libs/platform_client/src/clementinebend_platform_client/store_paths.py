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

LEAST_LIMIT = 0.3
"""Seconds for an answer of a store that answers as usual, in 4 ms; it has been
seen to take 0.25 s. A host that is cut off in silence uses another path after it."""

MOST_LIMIT = 0.7
"""The same of a store that is slow. A store that is back after a silent outage is
noticed when the calls to it have timed out."""

LIMIT_GROWTH = 1.5
"""Factor after each call without an answer."""

LIMIT_DECAY = 0.8
"""Factor after each answer."""

LIMIT_FACTOR = 3.0
"""Least limit, in times of the last answer: appends queue up behind each other."""

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
        self.is_overloaded: Callable[[], bool] = lambda: False
        self.limit = MOST_LIMIT
        """Seconds until an answer must begin, beside what a read waits. The first ones
        may take long: all entries may have started at once."""

    def on_answer(self, seconds: float) -> None:
        """Take how long it took until an answer began that was not to wait."""
        least = max(LEAST_LIMIT, LIMIT_FACTOR * seconds, self.limit * LIMIT_DECAY)
        self.limit = min(MOST_LIMIT, least)

    def on_silence(self) -> None:
        """Take that a call which was sent got no answer."""
        self.limit = min(MOST_LIMIT, self.limit * LIMIT_GROWTH)

    def move(self, direct: Address) -> None:
        """Take another address for the direct path, if it has changed."""
        if direct == self.direct:
            return
        if self.current == self.direct:
            self.current = direct
        self.direct = direct

    def on_failure(self, address: Address, problem: str, is_proof: bool = True) -> None:
        """Take another path if ``address``, which failed, is the current one.

        A failure without proof may be due to this process's load: while that is too
        high, the path stays.
        """
        if self.is_overloaded() and not is_proof:
            return
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
