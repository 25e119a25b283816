"""Rejected callers that return when they were told to. No I/O.

A prompt that returns is recognized by its ``key``, which is the same for all its
repetitions. Times are in seconds on a monotonic clock.
"""

from collections import deque
from typing import NamedTuple

EARLY_SECONDS = 0.05
"""How long before its time a caller may return: clocks and timers differ by less."""

LATE_SECONDS = 2.0
"""How long after its time a caller may return: it may have to open a connection."""

MAX_CALLERS = 2_000
"""Maximum number of callers expected to return; the one rejected first is dropped."""


class ExpectedReturn(NamedTuple):
    """When a rejected caller is to return, and its place among its team's prompts.

    ``since`` is that of the prompt's first try (see ``WaitingPrompt``).
    """

    key: int
    since: float
    due: float


class ReturningCallers:
    """The callers of one service that were told to return to this entry."""

    def __init__(self) -> None:
        self.by_key: dict[int, deque[ExpectedReturn]] = {}
        self.in_order: deque[ExpectedReturn] = deque()

    def on_rejected(self, key: int, since: float, due: float) -> None:
        """Expect a rejected caller at ``due``; it keeps ``since``."""
        expected = ExpectedReturn(key, since, due)
        self.by_key.setdefault(key, deque()).append(expected)
        self.in_order.append(expected)
        if len(self.in_order) > MAX_CALLERS:
            self._drop_first()

    def on_arrived(self, key: int, now: float) -> float | None:
        """Return ``since`` of a caller that returns as told, else None.

        A caller that returns too early is still expected.
        """
        while self.in_order and self.in_order[0].due + LATE_SECONDS < now:
            self._drop_first()
        own = self.by_key.get(key, deque())
        while own and own[0].due + LATE_SECONDS < now:
            own.popleft()
        is_expected = bool(own) and own[0].due - EARLY_SECONDS <= now
        since = own.popleft().since if is_expected else None
        if not own:
            self.by_key.pop(key, None)
        return since

    def _drop_first(self) -> None:
        first = self.in_order.popleft()
        own = self.by_key.get(first.key)
        if own and own[0] == first:
            own.popleft()
            if not own:
                del self.by_key[first.key]
