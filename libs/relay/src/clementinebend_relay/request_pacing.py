"""Limits how often other entries are asked for tokens of one team's budget. Pure.

Calls that wait for the same budget share their requests: with 30 entries and an
exhausted budget, a request of each call to each entry every 30 ms would cost more than
everything else that the entries do.
"""

HOME_REQUEST_INTERVAL = 0.03
"""Seconds between requests to the home, which answers in some 5 ms; also its time limit
for an answer."""

EMPTY_ANSWER_SECONDS = 0.08
"""Seconds after an empty answer during which the home is not asked again: it remembers
the request somewhat longer. Repeated by many entries, requests would use up the
processor of a small home, and calls would be refused meanwhile."""

HOME_GONE_SECONDS = 0.17
"""Seconds without an answer after which an entry raises a quota of its own. A home that
is gone is suspected after three requests, and the next candidate answers the fourth;
quotas raised sooner compete with that candidate for the log's end, and calls are
refused meanwhile."""

ALL_REQUEST_INTERVAL = 0.15
"""Seconds between requests to all entries. What they can spare changes as calls end,
some hundred milliseconds after they began."""

UNANSWERED_EXPIRY_SECONDS = 0.2
"""Seconds after which a missing answer no longer counts against the home."""

NEVER = float("-inf")


class RequestPacing:
    """The requests for one team's budget; times are on the monotonic clock."""

    def __init__(self) -> None:
        self.home_asked_at = NEVER
        self.all_asked_at = NEVER
        self.unanswered_since: float | None = None
        self.home_paused_until = NEVER

    def may_ask_home(self, now: float) -> bool:
        """Return whether the home may be asked, and if so record the request."""
        since = now - self.home_asked_at
        if since < HOME_REQUEST_INTERVAL or now < self.home_paused_until:
            return False
        if since > UNANSWERED_EXPIRY_SECONDS or self.unanswered_since is None:
            self.unanswered_since = now
        self.home_asked_at = now
        return True

    def may_ask_all(self, now: float) -> bool:
        """Return whether all entries may be asked, and if so record the request."""
        if now - self.all_asked_at < ALL_REQUEST_INTERVAL:
            return False
        self.all_asked_at = now
        return True

    def on_home_answer(self, now: float, is_met: bool) -> None:
        """Record an answer of the home and whether it transferred anything.

        If not, it transfers tokens as soon as it can, and need not be asked meanwhile.
        """
        self.unanswered_since = None
        if not is_met:
            self.home_paused_until = now + EMPTY_ANSWER_SECONDS

    def is_home_silent(self, now: float) -> bool:
        """Return whether the home has left a request unanswered."""
        return self._silent_for(now) >= HOME_REQUEST_INTERVAL

    def is_home_gone(self, now: float) -> bool:
        """Return whether the home has not answered for so long that it may be down."""
        return self._silent_for(now) >= HOME_GONE_SECONDS

    def _silent_for(self, now: float) -> float:
        since = self.unanswered_since
        return 0.0 if since is None else now - since
