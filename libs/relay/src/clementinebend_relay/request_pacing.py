"""When other entries were asked for parts of one team's budget. Pure.

Calls that wait for the same budget share their questions: with 30 entries and a
budget that is spent, a question of each call to each entry in each 30 ms would
cost more than all else that the entries do.
"""

HOME_REQUEST_INTERVAL = 0.03
"""Seconds between questions to the home, which answers in some 5 ms; also how
long it may take to answer."""

EMPTY_ANSWER_SECONDS = 0.08
"""Seconds after an empty answer in which the home is not asked again: it remembers the
question somewhat longer. Repeated by many entries, questions would take up all the
processor of a small home, and calls would be refused meanwhile."""

HOME_GONE_SECONDS = 0.1
"""Seconds of silence after which an entry raises a mark of its own: three questions.
A home that is held up for one question lives; marks raised too early make many
entries race with it for the log's end, and calls are refused meanwhile."""

ALL_REQUEST_INTERVAL = 0.15
"""Seconds between questions to all entries: what they can spare changes as calls
end, some hundred milliseconds after they began."""

UNANSWERED_EXPIRY_SECONDS = 0.2
"""Seconds after which an answer that did not come says nothing of the home any
more."""

NEVER = float("-inf")


class RequestPacing:
    """The questions for one team's budget; times on the steady clock."""

    def __init__(self) -> None:
        self.home_asked_at = NEVER
        self.all_asked_at = NEVER
        self.unanswered_since: float | None = None
        self.home_paused_until = NEVER

    def may_ask_home(self, now: float) -> bool:
        """Tell whether the home may be asked, and take it as asked."""
        since = now - self.home_asked_at
        if since < HOME_REQUEST_INTERVAL or now < self.home_paused_until:
            return False
        if since > UNANSWERED_EXPIRY_SECONDS or self.unanswered_since is None:
            self.unanswered_since = now
        self.home_asked_at = now
        return True

    def may_ask_all(self, now: float) -> bool:
        """Tell whether all may be asked, and take them as asked."""
        if now - self.all_asked_at < ALL_REQUEST_INTERVAL:
            return False
        self.all_asked_at = now
        return True

    def on_home_answer(self, now: float, is_met: bool) -> None:
        """Note that the home has answered, and whether it handed over something.

        If not, it hands over as soon as it can, and need not be asked meanwhile.
        """
        self.unanswered_since = None
        if not is_met:
            self.home_paused_until = now + EMPTY_ANSWER_SECONDS

    def is_home_silent(self, now: float) -> bool:
        """Tell whether the home has left a question without an answer."""
        return self._silent_for(now) >= HOME_REQUEST_INTERVAL

    def is_home_gone(self, now: float) -> bool:
        """Tell whether the home has been silent for so long that it may be gone."""
        return self._silent_for(now) >= HOME_GONE_SECONDS

    def _silent_for(self, now: float) -> float:
        since = self.unanswered_since
        return 0.0 if since is None else now - since
