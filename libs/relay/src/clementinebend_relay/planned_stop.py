"""Decides which calls an entry still takes while it stops as planned.

A call that is cut as the process ends may have run. One that is refused before it is
sent has not, and its caller goes on at another entry at once.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from math import ceil

from clementinebend_relay.admission import Admitted
from clementinebend_relay.models import Reason, Rejection

RECENT_CALLS = 32
"""Number of the last whole answers of a route that tell how long its calls take."""

MAX_ROUTES = 2_000
"""Maximum number of routes of which that is kept; about 2 MB."""

USUAL_SHARE = 0.9
"""Share of the calls of a route that take no longer than usual."""

DURATION_FACTOR = 1.25
"""How much longer than the recent ones a call is expected to take at most."""

RETRY_AFTER = 0.0
"""Retry-after delay in seconds: the other entries take the call at once."""


class PlannedStop:
    """The order to stop, and how long calls take until their answers are whole.

    ``ends_at`` is when answers in progress are cut, None before the order.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ends_at: float | None = None
        self.durations: OrderedDict[str, deque[float]] = OrderedDict()

    def on_whole(self, route: str, seconds: float) -> None:
        """Record that a call of a route had its whole answer after some seconds."""
        recent = self.durations.setdefault(route, deque(maxlen=RECENT_CALLS))
        recent.append(seconds)
        self.durations.move_to_end(route)
        if len(self.durations) > MAX_ROUTES:
            self.durations.popitem(last=False)

    def rejection(self, admitted: Admitted) -> Rejection | None:
        """Return the rejection of a call that is not expected to end in time."""
        if self.ends_at is None:
            return None
        if self.clock() + self._expected_seconds(admitted) <= self.ends_at:
            return None
        message = "this entry stops before the answer would be whole"
        return Rejection(Reason.STOPPING, message, RETRY_AFTER, is_last=True)

    def _expected_seconds(self, admitted: Admitted) -> float:
        """Return how long a call takes at most, going by the last ones of its route.

        A call that may not be repeated is expected to take as long as the longest.
        """
        recent = self.durations.get(admitted.route.name)
        if not recent:
            return admitted.time_limit
        share = USUAL_SHARE if admitted.route.may_repeat else 1.0
        usual = sorted(recent)[ceil(share * len(recent)) - 1]
        return min(admitted.time_limit, DURATION_FACTOR * usual)
