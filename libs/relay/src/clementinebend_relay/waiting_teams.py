"""Which teams' prompts wait for one endpoint, and which of them precede. No I/O.

Each probe for a prompt names its team, and whether the prompt waits already. The
report says whether a prompt with precedence waits at any entry. Nothing is
granted, so nothing can be lost or retained: a prompt that no longer asks is forgotten,
and so is everything when the process ends. Times are in seconds on the monotonic clock.
"""

from collections import OrderedDict
from typing import NamedTuple

from clementinebend_admission.turn_order import ServedTokens, Turn, order_key
from clementinebend_relay.messages import PromptTurn

WAITING_SECONDS = 0.15
"""How long a waiting prompt counts after it has asked. An overloaded entry checks every
0.1 s, others three times as often."""

MAX_WAITING = 1_000
"""Maximum number of teams and priorities that wait; the one that asked least recently
is dropped."""


class WaitingClass(NamedTuple):
    """The waiting prompts of a team at one priority."""

    team: str
    priority: int
    is_on_time: bool


class WaitingTeams:
    """The teams that wait for one boot of an endpoint, and what it served recently."""

    def __init__(self) -> None:
        self.waiting: OrderedDict[WaitingClass, float] = OrderedDict()
        self.served = ServedTokens()

    def on_asked(self, turn: PromptTurn, priority: int, now: float) -> bool:
        """Record a prompt; return whether one with precedence waits."""
        asking = WaitingClass(turn.team, priority, turn.is_on_time)
        if turn.is_waiting:
            self.served.on_active(turn.team, now)
            self.waiting[asking] = now
            self.waiting.move_to_end(asking)
        if len(self.waiting) > MAX_WAITING:
            self.waiting.popitem(last=False)
        return self._is_preceded(asking, now)

    def on_sent(self, team: str, priority: int, tokens: int, now: float) -> None:
        """Charge a prompt that was sent to the endpoint to its team.

        The prompt waits no longer; others of its team that do ask again soon.
        """
        self.served.on_served(team, priority, tokens, now)
        for is_on_time in (True, False):
            self.waiting.pop(WaitingClass(team, priority, is_on_time), None)

    def _is_preceded(self, asking: WaitingClass, now: float) -> bool:
        self._forget_expired(now)
        others = [each for each in self.waiting if each != asking]
        if not others:
            return False
        priorities = {each.priority for each in (asking, *others)}
        key = order_key(
            self.served, priorities, lambda team: self.served.level(team, now), now
        )
        own = key(_as_turn(asking))
        return any(key(_as_turn(other)) < own for other in others)

    def _forget_expired(self, now: float) -> None:
        while self.waiting:
            oldest = next(iter(self.waiting.values()))
            if now - oldest < WAITING_SECONDS:
                break
            self.waiting.popitem(last=False)


def _as_turn(waiting: WaitingClass) -> Turn:
    """Return what orders a class; prompts of one class do not precede one another."""
    return Turn("", waiting.priority, waiting.team, waiting.is_on_time, 0.0)
