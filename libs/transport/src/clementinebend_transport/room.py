"""Room in a server's memory for what its callers send.

A request that has been begun and not finished gives way to others, if there is no room
for them: the one that has taken the longest, so that no caller keeps others out by
stopping short of its end, or by sending a byte now and then.
"""

from collections.abc import Callable, Iterable
from time import monotonic
from typing import Generic, Protocol, TypeVar

from clementinebend_transport.metrics import counter

GRACE_SECONDS = 0.5
"""Time for which a request that has been begun does not give way. A full link delays
its bytes by up to some 0.3 s."""

_given_way = counter(
    "clementinebend_http_requests_given_way_total",
    "Unfinished requests that were ended as there was no room for others.",
)


class UnfinishedRequest(Protocol):
    """A request of which a part is held."""

    def give_way(self) -> None:
        """Release what is held of the request, and end it."""


Unfinished = TypeVar("Unfinished", bound=UnfinishedRequest)


class Room(Generic[Unfinished]):
    """Bytes that a server holds; a ``limit`` of None is no bound.

    ``unfinished`` holds the requests that may give way, with the time from which each
    may. ``clock`` returns seconds.
    """

    def __init__(
        self, limit: int | None = None, clock: Callable[[], float] = monotonic
    ) -> None:
        self.limit = limit
        self.clock = clock
        self.held = 0
        self.unfinished: dict[Unfinished, float] = {}

    def has(self, size: int) -> bool:
        """Return whether ``size`` more bytes fit."""
        return self.limit is None or self.held + size <= self.limit

    def make(self, size: int, beneficiary: Unfinished | None = None) -> bool:
        """Have unfinished requests give way to ``size`` bytes; return whether they fit.

        The request that the bytes belong to does not give way to itself. A size that
        would not fit into an empty room ends no request.
        """
        if self.limit is None or self.has(size):
            return True
        if size > self.limit:
            return False
        return self.make_from(self._oldest(), size, beneficiary)

    def make_from(
        self,
        requests: Iterable[Unfinished],
        size: int,
        beneficiary: Unfinished | None = None,
    ) -> bool:
        """Have ``requests`` give way in turn until ``size`` bytes fit, as ``make``."""
        for request in requests:
            if request is beneficiary:
                continue
            request.give_way()
            _given_way.inc()
            if self.has(size):
                return True
        return False

    def add(self, request: Unfinished, seconds: float = GRACE_SECONDS) -> None:
        """Let a request give way in some seconds."""
        self.unfinished[request] = self.clock() + seconds

    def remove(self, request: Unfinished) -> None:
        """Let a request no longer give way: it has been read whole, or has ended."""
        self.unfinished.pop(request, None)

    def _oldest(self) -> list[Unfinished]:
        """Return the requests that may give way now, the oldest first."""
        now = self.clock()
        old = [request for request, at in self.unfinished.items() if at <= now]
        return sorted(old, key=self.unfinished.__getitem__)
