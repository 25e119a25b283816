"""The plain calls at one boot of an endpoint, and the time that it takes for one.

They are calls without a prompt. Kept by the process that keeps the endpoint's queue.
Times are in seconds on the monotonic clock.
"""

from collections import OrderedDict
from itertools import takewhile
from math import inf
from typing import NamedTuple

from clementinebend_routing.service_time import (
    MAX_RUNNING_SECONDS,
    ServiceTime,
    known_seconds,
    on_answer,
)

MAX_CALLS = 10_000
"""Maximum number of calls tracked. An evicted call contributes no sample."""


LOST_RATIO = 10.0
"""How many times the service time a call may run after a later one was answered. Beyond
that, the notification of its end is taken to be lost. If such calls counted as running
until ``MAX_CALL_SECONDS``, the endpoints with the most calls would seem the fullest."""


class SentCall(NamedTuple):
    """A running call, sent while ``place - 1`` others ran at the endpoint."""

    at: float
    place: int


class PlainCalls:
    """The running calls, by request, and the service time.

    ``slots`` is the number of calls that the endpoint runs at a time, 0 if unknown.
    """

    def __init__(self) -> None:
        self.sent: OrderedDict[str, SentCall] = OrderedDict()
        self.slots = 0
        self.service = ServiceTime()
        self.answered_until = -inf

    def on_sent(self, request: str, now: float) -> None:
        """Record a call that was sent to the endpoint."""
        self.sent.pop(request, None)
        self.sent[request] = SentCall(now, len(self.sent) + 1)
        if len(self.sent) > MAX_CALLS:
            self.sent.popitem(last=False)

    def on_answered(self, request: str, slots: int, now: float) -> bool:
        """Record a call's whole good answer; return false if the call is not known."""
        call = self.sent.pop(request, None)
        if call is None:
            return False
        self.slots = slots
        self.service = on_answer(self.service, self._work_seconds(call, now), now)
        self.answered_until = max(self.answered_until, call.at)
        return True

    def on_ended(self, request: str) -> None:
        """Record that a call has ended; without an answer it contributes no sample."""
        self.sent.pop(request, None)

    def pop_lost(self, now: float) -> list[str]:
        """Remove and return the calls whose end must have been missed."""
        longest = LOST_RATIO * (self.service.seconds or inf)
        until = min(self.answered_until, now - longest)
        lost = list(takewhile(lambda call: self.sent[call].at < until, self.sent))
        for request in lost:
            del self.sent[request]
        return lost

    def service_seconds(self, now: float) -> float | None:
        """Return how long the endpoint takes for a call, or None if unknown."""
        return known_seconds(self.service, self._running_seconds(now), now)

    def _work_seconds(self, call: SentCall, now: float) -> float:
        """Return the time since a call was sent, without its wait for a slot."""
        crowding = call.place / self.slots if self.slots > 0 else 1.0
        return (now - call.at) / max(1.0, crowding)

    def _running_seconds(self, now: float) -> float:
        """Return for how long the oldest call runs that indicates the endpoint's pace.

        A call that a later one has overtaken does not: its work is long, or the
        notification of its end was lost.
        """
        least = max(self.answered_until, now - MAX_RUNNING_SECONDS)
        oldest = next((call for call in self.sent.values() if call.at > least), None)
        return 0.0 if oldest is None else self._work_seconds(oldest, now)
