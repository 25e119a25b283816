"""Whether a process is taken for gone, from the questions that it leaves open. Pure.

Nobody sends heartbeats to all others: a process is watched by those that need it,
and only by what they ask it anyhow. That costs as much in a fleet of four as in one
of four hundred.

Times are in seconds on the steady clock.
"""

from typing import NamedTuple

ANSWER_TIMEOUT = 0.03
"""How long an answer may take. Within a region it takes some 2 ms; more questions
within this time count as one, as they are lost or held up together."""

MAX_UNANSWERED = 3
"""Questions in a row without an answer after which a process is taken for gone: where
three datagrams in a hundred are lost, this happens once in some 5,000 to one that
lives."""


class UnansweredRequests(NamedTuple):
    """Questions that a process has left open in a row, and when the last was asked."""

    in_a_row: int = 0
    asked_at: float = float("-inf")


class FailureDetector:
    """The processes that owe answers, by the name of their boot."""

    def __init__(self) -> None:
        self.unanswered: dict[str, UnansweredRequests] = {}

    def on_asked(self, boot: str, now: float) -> None:
        """Note that a process is asked something that it must answer."""
        known = self.unanswered.get(boot, UnansweredRequests())
        if now - known.asked_at >= ANSWER_TIMEOUT:
            in_a_row = min(known.in_a_row + 1, MAX_UNANSWERED)
            self.unanswered[boot] = UnansweredRequests(in_a_row, now)

    def on_heard(self, boot: str) -> None:
        """Note that a process has sent something."""
        self.unanswered.pop(boot, None)

    def is_suspected(self, boot: str, now: float) -> bool:
        """Tell whether a process has left too many questions in a row open."""
        known = self.unanswered.get(boot)
        if known is None or known.in_a_row < MAX_UNANSWERED:
            return False
        return now - known.asked_at >= ANSWER_TIMEOUT

    def retain_only(self, boots: frozenset[str]) -> None:
        """Forget all processes but ``boots``."""
        for boot in self.unanswered.keys() - boots:
            del self.unanswered[boot]
