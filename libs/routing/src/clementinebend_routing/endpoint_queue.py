"""What lies before a new call at one endpoint, as one process keeps it for all. Pure.

Load pattern: many entries send to the same endpoints, and each would have to hear of
what all others send before it chooses. Told each second or two, 68 of them saw the same
idle endpoint and went there together. So each endpoint's queue is kept by one process
that hears of each call, and entries ask it about few endpoints just before they choose.
That costs a call the same at any size of the fleet.

Times are in seconds on the steady clock, amounts in tokens.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from clementinebend_routing.prefill import Pace, on_first_token
from clementinebend_routing.sessions import PromptPart, uncached_tokens

MAX_CACHED_PARTS = 4_000
"""Parts believed to be in one engine's cache."""

UNREAD_TIMEOUT = 4.0
"""How long a prompt counts as unread: callers leave a stream that gives no event for
some 2 s, so a word that it was read or ended has been lost."""

MAX_CALL_SECONDS = 60.0
"""How long a call counts as running if nothing is heard of its end."""


class QueuedCall(NamedTuple):
    """A call that was sent; ``tokens`` are to be read there, after ``ahead`` others."""

    priority: int
    tokens: int
    ahead: int
    sent_at: float
    parts: tuple[PromptPart, ...]


class QueueReport(NamedTuple):
    """What a new call would meet: ``running`` calls, and ``ahead`` tokens unread.

    ``unread`` is what would have to be read of its prompt, ``pace`` the seconds that
    each token before a first token took lately, ``has_permit`` whether a permit to
    send the call was granted, if one was requested; both if they are known.
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

    def on_sent(
        self,
        request: str,
        priority: int,
        tokens: int,
        parts: tuple[PromptPart, ...],
        now: float,
    ) -> None:
        """Take a call that is sent there."""
        self._expire(now)
        ahead = self.ahead(priority)
        self.running[request] = now
        if parts:
            self.unread[request] = QueuedCall(priority, tokens, ahead, now, parts)

    def on_read(self, request: str, now: float) -> None:
        """Take note that the first token of a call has come."""
        call = self.unread.pop(request, None)
        if call is None:
            return
        elapsed = now - call.sent_at
        self.pace = on_first_token(self.pace, elapsed, call.ahead + call.tokens)
        for part in call.parts:
            self.cached[part.name] = None
            self.cached.move_to_end(part.name)
        while len(self.cached) > MAX_CACHED_PARTS:
            self.cached.popitem(last=False)

    def on_ended(self, request: str) -> None:
        """Take note that a call has ended, however it did."""
        self.running.pop(request, None)
        self.unread.pop(request, None)

    def ahead(self, priority: int) -> int:
        """Return the tokens that are read before a new call's prompt."""
        return sum(
            call.tokens for call in self.unread.values() if call.priority <= priority
        )

    def report(
        self, priority: int, parts: Sequence[PromptPart], now: float
    ) -> QueueReport:
        """Return what a new call would meet."""
        self._expire(now)
        unread = uncached_tokens(self.cached, parts)
        return QueueReport(
            len(self.running), self.ahead(priority), unread, self.pace.seconds
        )

    def _expire(self, now: float) -> None:
        """Drop the oldest calls whose end was never heard of."""
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
