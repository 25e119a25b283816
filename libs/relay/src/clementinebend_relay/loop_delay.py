"""Observes how late the event loop of this process runs.

While it is late, answers that have arrived are not read, so that missing answers are
no evidence against the processes that were asked.
"""

from asyncio import sleep
from collections.abc import Callable
from math import inf

from clementinebend_relay.decisions import log_decision
from clementinebend_transport.metrics import histogram

SAMPLE_SECONDS = 0.1
"""Interval in seconds of the samples."""

LATE_SECONDS = 0.1
"""Delay in seconds above which the event loop counts as late."""

SETTLE_SECONDS = 0.05
"""Seconds after a late iteration in which answers that arrived during it are read."""

LOG_INTERVAL = 1.0
"""Minimum seconds between two log lines."""

DELAY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Upper bounds of the buckets in seconds, around timeouts of 0.015 to 0.6 s."""

event_loop_delay = histogram(
    "clementinebend_event_loop_delay_seconds",
    "Seconds by which timers of this process were late, sampled.",
    buckets=DELAY_BUCKETS,
)


class LoopDelay:
    """Samples the delay of the event loop; logs when it is late."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.due_at: float | None = None
        self.late_until = -inf
        self.logged_at = -inf
        self.unlogged = 0

    def is_late(self) -> bool:
        """Return whether the event loop is late, or was just now."""
        now = self.clock()
        is_overdue = self.due_at is not None and now - self.due_at > LATE_SECONDS
        return is_overdue or now < self.late_until

    async def run(self) -> None:
        """Sample forever."""
        while True:
            self.due_at = self.clock() + SAMPLE_SECONDS
            await sleep(SAMPLE_SECONDS)
            self.on_sample(self.clock() - self.due_at)

    def on_sample(self, delay: float) -> None:
        """Record a delay in seconds; log it if the event loop is late."""
        event_loop_delay.observe(max(0.0, delay))
        if delay <= LATE_SECONDS:
            return
        now = self.clock()
        self.late_until = now + SETTLE_SECONDS
        if now - self.logged_at < LOG_INTERVAL:
            self.unlogged += 1
            return
        log_decision("event loop late", delay_s=round(delay, 3), unlogged=self.unlogged)
        self.logged_at = now
        self.unlogged = 0
