"""Callers that keep connections and send shortly before the idle limit."""

from asyncio import sleep, wait_for
from collections.abc import Callable, Iterable
from contextlib import suppress
from itertools import count
from random import Random
from signal import SIGTERM

from tests.lib.kept_connections import Caller, KeptConnection, Sent, connect, is_lost
from tests.lib.loop_delay import LoopDelay
from tests.lib.platform_fleet import Entry, Fleet

SHORTEST_LEAD, LONGEST_LEAD = 0.02, 0.5
"""Seconds before the idle limit at which callers send."""

RECONNECT_SECONDS = 0.05
"""Seconds after which a caller whose connection was refused connects again."""

CALLER = Caller()

END_SECONDS = 0.5
"""Seconds within which the end of a process is known."""

UNKNOWN_CODE = 255
"""The exit code of a process whose end ``Popen.send_signal`` has noticed first."""


class KeptCallers:
    """Callers of some entries; ``sent`` holds what became of their requests.

    ``idle_limit`` returns the limit in seconds that callers know.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        targets: tuple[str, ...],
        idle_limit: Callable[[], float],
        caller: Caller = CALLER,
    ) -> None:
        self.fleet = fleet
        self.random = Random(f"{caller.name} {seed}")
        self.targets = targets
        self.idle_limit = idle_limit
        self.caller = caller
        self.ids = count(1)
        self.sent: list[Sent] = []
        self.reused = 0
        self.delay = LoopDelay()
        self.runs: Callable[[str], int] = fleet.runs
        self.killed: set[int] = set()
        """Process ids of the entries that were killed."""

    async def run(self, entries: int, has_stopped: Callable[[], bool]) -> None:
        """Call one of the entries after another on kept connections."""
        connection: KeptConnection | None = None
        while not has_stopped():
            connection = connection or await self._connect(entries)
            if connection is not None:
                connection = await self._ask(connection)
            await sleep(self._pause() if connection else RECONNECT_SECONDS)
            if connection is not None and not connection.is_open():
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def lost(self) -> list[Sent]:
        """Return the requests that got neither a whole answer nor a refusal."""
        return [sent for sent in self.sent if self.is_lost(sent)]

    def is_lost(self, sent: Sent) -> bool:
        """Tell whether an entry may have read a request and did not answer it."""
        has_run = self.runs(sent.request_id) > 0
        return is_lost(sent, has_run, self.delay.before(sent.ended_at))

    async def _connect(self, entries: int) -> KeptConnection | None:
        entry = self.fleet.entries[self.random.randrange(entries)]
        try:
            return await connect(entry)
        except OSError:
            return None

    async def _ask(self, connection: KeptConnection) -> KeptConnection | None:
        """Make a call; return the connection if it may be used again."""
        request_id = (
            f"{self.caller.name}-{next(self.ids)}-{self.random.randrange(10**9)}"
        )
        target = self.random.choice(self.targets)
        self.reused += connection.status is not None
        sent = await connection.ask(request_id, target, self.caller)
        self.sent.append(sent if sent.is_whole else await self._with_end(sent))
        if connection.is_open():
            return connection
        connection.close()
        return None

    async def _with_end(self, sent: Sent) -> Sent:
        """Note whether the entry of an unanswered request was killed."""
        process = sent.entry.process
        if process.pid in self.killed or await _ended_unstarted(sent.entry):
            return sent._replace(was_killed=True)
        return sent

    def _pause(self) -> float:
        lead = self.random.uniform(SHORTEST_LEAD, LONGEST_LEAD)
        return max(0.0, self.idle_limit() - lead)


def describe(lost: Iterable[Sent]) -> list[str]:
    """Return each request in words."""
    return [
        f"{sent.request_id} {sent.target} at {sent.entry.name}: status {sent.status}, "
        f"ended {sent.seconds:.3f} s after its last byte, {len(sent.body)} bytes"
        for sent in lost
    ]


async def _ended_unstarted(entry: Entry) -> bool:
    """Tell whether a signal has ended a program that was still being loaded.

    It has logged nothing, and has accepted no connection.
    """
    if entry.lines():
        return False
    with suppress(TimeoutError):
        await wait_for(entry.process.wait(), END_SECONDS)
    return entry.process.returncode in (-SIGTERM, UNKNOWN_CODE)
