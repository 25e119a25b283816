"""Callers in the soak that keep connections until the idle limit.

Beside them the limit changes, entries run late, and engines fall silent.
"""

from asyncio import gather, sleep
from collections import Counter
from collections.abc import Callable
from random import Random

from tests.lib.kept_callers import KeptCallers
from tests.lib.kept_connections import PROMPT, Sent
from tests.lib.platform_fleet import Fleet
from tests.soak.delays import Delays
from tests.soak.promises import Seen, cut_streams, unanswered
from tests.soak.silences import Silences

CLIENTS = 10
TARGETS = ("/safe/x", "/once/x", "/stream/x", "/stream-once/x")
LIMITS_MS = (500, 700, 1000, 2000)
SHORTEST_TURN, LONGEST_TURN = 0.5, 3.0
"""Seconds between two changes of the limit."""

LARGE_SHARE = 0.3
"""Share of these changes that come in a large configuration."""

MILLISECONDS = 1000


class KeptClients:
    """Callers on kept connections, and what is done to these.

    ``publish`` writes a configuration, a large one if told so; ``killed`` holds the
    process ids of killed entries, ``paused`` how often other faults pause an entry now.
    """

    def __init__(
        self,
        seed: int,
        fleet: Fleet,
        killed: set[int],
        paused: Counter[str],
        publish: Callable[[bool], None],
    ) -> None:
        self.random = Random(f"idle limits {seed}")
        self.fleet = fleet
        self.publish = publish
        self.callers = KeptCallers(fleet, seed, TARGETS, self.idle_limit)
        self.silences = Silences(seed, fleet, self.idle_limit)
        self.callers.killed = self.silences.callers.killed = killed
        self.delays = Delays(seed, fleet, paused)

    def idle_limit(self) -> float:
        """Return the newest idle limit in seconds."""
        return (self.fleet.idle_timeout_ms or 0) / MILLISECONDS

    async def run(
        self, entries: int, calls: list[Seen], has_stopped: Callable[[], bool]
    ) -> None:
        """Call and disturb until the load ends, then note the calls in ``calls``."""
        calling = [self.callers.run(entries, has_stopped) for _ in range(CLIENTS)]
        await gather(
            self.silences.run(entries, has_stopped),
            self.delays.run(entries, has_stopped),
            self._change_limits(has_stopped),
            *calling,
        )
        self.callers.delay.stop()
        calls += map(_seen, self.callers.sent)

    def problems(self) -> list[str]:
        """Return the requests that were lost, and the streams that were cut."""
        return [
            *unanswered(self.callers),
            *unanswered(self.silences.callers),
            *cut_streams(self.silences.callers),
        ]

    def told(self) -> str:
        """Return in words what was called, and how late the test itself was."""
        silent = self.silences
        return (
            f"{len(self.callers.sent)} requests on kept connections, "
            f"{self.callers.reused} sent again, {self.delays.made} delays; "
            f"{len(silent.callers.sent)} streams, {silent.begun()} begun, "
            f"{silent.whole()} whole, {silent.ended_by_kill()} ended by a kill, "
            f"through {silent.silences} silences; "
            f"the test's event loop at most {self.callers.delay.longest():.2f} s late"
        )

    async def _change_limits(self, has_stopped: Callable[[], bool]) -> None:
        while not has_stopped():
            await sleep(self.random.uniform(SHORTEST_TURN, LONGEST_TURN))
            self.fleet.idle_timeout_ms = self.random.choice(LIMITS_MS)
            self.publish(self.random.random() < LARGE_SHARE)


def _seen(sent: Sent) -> Seen:
    status = sent.status if sent.is_whole else None
    return Seen(sent.request_id, sent.target, PROMPT, status, sent.body)
