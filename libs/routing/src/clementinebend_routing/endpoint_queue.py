"""Queue state of one endpoint, kept by a single process for all entries. Pure.

Load pattern: many entries send to the same endpoints, and each would need to know what
all others send before it selects one. With the state broadcast every one or two
seconds, 68 entries saw the same idle endpoint and all sent to it. Each endpoint's queue
is therefore kept by one process that is notified of every call, and entries query it
for a few endpoints just before they select one. The cost per call does not depend on
the size of the fleet.

Times are in seconds on the monotonic clock, prompt lengths in tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from clementinebend_routing.plain_calls import PlainCalls
from clementinebend_routing.prefill import UNKNOWN_PACE, Pace, on_first_token
from clementinebend_routing.sessions import PromptPart, uncached_tokens

MAX_CACHED_PARTS = 4_000
"""Maximum number of prompt parts tracked as cached by one engine."""

UNREAD_TIMEOUT = 4.0
"""How long a prompt counts as unread. Callers abandon a stream without events after
about 2 s, so after this time the notification of its first token or its end must have
been lost."""

MAX_CALL_SECONDS = 60.0
"""How long a call counts as running if its end is not reported."""


class QueuedCall(NamedTuple):
    """A call with ``tokens`` to prefill behind the ``ahead`` tokens of other calls."""

    priority: int
    tokens: int
    ahead: int
    sent_at: float
    parts: tuple[PromptPart, ...]


class QueueReport(NamedTuple):
    """State of a queue as seen by a new call.

    ``running`` is the number of calls, ``ahead`` the unread tokens that are processed
    first. ``unread`` is the number of tokens of the call's prompt that are not cached.
    ``pace`` is the recent number of seconds per token until a first token, or None if
    unknown. ``has_permit`` tells whether a permit to send the call was granted, or is
    None if none was requested or the count is incomplete.
    """

    running: int
    ahead: int
    unread: int
    pace: float | None
    has_permit: bool | None = None


class EndpointQueue:
    """The calls at one boot of an endpoint."""

    def __init__(self) -> None:
        self.running: OrderedDict[str, float] = OrderedDict()
        self.unread: OrderedDict[str, QueuedCall] = OrderedDict()
        self.cached: OrderedDict[str, None] = OrderedDict()
        self.pace = Pace()
        self.plain = PlainCalls()

    def on_sent(
        self,
        request: str,
        priority: int,
        tokens: int,
        parts: tuple[PromptPart, ...],
        now: float,
    ) -> None:
        """Record a call that was sent to the endpoint."""
        self._expire(now)
        ahead = self.ahead(priority)
        self.running[request] = now
        if parts:
            self.unread[request] = QueuedCall(priority, tokens, ahead, now, parts)
        else:
            self.plain.on_sent(request, now)

    def on_read(
        self,
        request: str,
        now: float,
        pool_median: Pace = UNKNOWN_PACE,
        slots: int = 0,
    ) -> None:
        """Record that the first token of a call, or a whole plain answer, arrived."""
        if self.plain.on_answered(request, slots, now):
            self.running.pop(request, None)
        call = self.unread.pop(request, None)
        if call is None:
            return
        elapsed = now - call.sent_at
        self.pace = on_first_token(
            self.pace, elapsed, call.ahead + call.tokens, pool_median
        )
        for part in call.parts:
            self.cached[part.name] = None
            self.cached.move_to_end(part.name)
        while len(self.cached) > MAX_CACHED_PARTS:
            self.cached.popitem(last=False)

    def on_ended(self, request: str) -> None:
        """Record that a call has ended, whether it succeeded or not."""
        self.running.pop(request, None)
        self.unread.pop(request, None)
        self.plain.on_ended(request)

    def ahead(self, priority: int) -> int:
        """Return the number of unread tokens processed before a new call's prompt."""
        return sum(
            call.tokens for call in self.unread.values() if call.priority <= priority
        )

    def report(
        self, priority: int, parts: Sequence[PromptPart], now: float
    ) -> QueueReport:
        """Return the state of the queue as seen by a new call."""
        self._expire(now)
        unread = uncached_tokens(self.cached, parts)
        return QueueReport(
            len(self.running), self.ahead(priority), unread, self.pace.seconds
        )

    def _expire(self, now: float) -> None:
        """Drop the oldest calls whose end was not reported in time."""
        while self.unread:
            request, call = next(iter(self.unread.items()))
            if now - call.sent_at < UNREAD_TIMEOUT:
                break
            del self.unread[request]
        while self.running:
            request, sent_at = next(iter(self.running.items()))
            if now - sent_at < MAX_CALL_SECONDS:
                break
            del self.running[request]
            self.plain.on_ended(request)
        for request in self.plain.pop_lost(now):
            self.running.pop(request, None)
