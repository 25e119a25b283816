"""Failure detection from unanswered requests. Pure functions.

There are no heartbeats to all processes. A process is watched only by those that depend
on it, and only through the requests that they send anyway. The cost is therefore the
same in a fleet of four and in one of four hundred.

Times are in seconds on the monotonic clock.
"""

from typing import NamedTuple

ANSWER_TIMEOUT = 0.03
"""Seconds to wait for a reply. Within a region a reply takes about 2 ms. Several
requests within this time count as one, since they are lost or delayed together."""

MAX_UNANSWERED = 3
"""Consecutive unanswered requests after which a process is considered failed. With a
datagram loss of 3 %, a live process is considered failed about once in 5,000 times."""


class UnansweredRequests(NamedTuple):
    """Number of consecutive unanswered requests, and the time of the last one."""

    in_a_row: int = 0
    asked_at: float = float("-inf")


class FailureDetector:
    """Tracks unanswered requests to processes, by the id of their boot."""

    def __init__(self) -> None:
        self.unanswered: dict[str, UnansweredRequests] = {}

    def on_asked(self, boot: str, now: float) -> None:
        """Record a request to a process that must reply.

        A request to a suspected process changes nothing: only a message from it does.
        """
        known = self.unanswered.get(boot, UnansweredRequests())
        if known.in_a_row >= MAX_UNANSWERED:
            return
        if now - known.asked_at >= ANSWER_TIMEOUT:
            self.unanswered[boot] = UnansweredRequests(known.in_a_row + 1, now)

    def on_heard(self, boot: str) -> None:
        """Record a message from a process; it is no longer suspected."""
        self.unanswered.pop(boot, None)

    def unanswered_in_a_row(self, boot: str) -> int:
        """Return how many requests a process has left unanswered since it was heard."""
        return self.unanswered.get(boot, UnansweredRequests()).in_a_row

    def is_suspected(self, boot: str, now: float) -> bool:
        """Return whether a process has left too many requests unanswered."""
        known = self.unanswered.get(boot)
        if known is None or known.in_a_row < MAX_UNANSWERED:
            return False
        return now - known.asked_at >= ANSWER_TIMEOUT

    def retain_only(self, boots: frozenset[str]) -> None:
        """Drop the state of all processes except ``boots``."""
        for boot in self.unanswered.keys() - boots:
            del self.unanswered[boot]
