"""Whether a prompt can start before its caller gives up, by recent rates. No I/O.

Prompts that do not start before their callers give up show that less starts than
arrives. While that is so, late prompts are overtaken by those that can still be on
time, so prompts are accepted only if they can start on time, and the others are
rejected at once. A burst that is served late, but before the callers give up, is no
overload, nor are bursts between which endpoints have nothing to read.

Starts equal arrivals while there is enough capacity, so the start rate tells only under
overload how much can start. ``floor``, derived from the endpoints' pace, is a lower
bound of what can start; under overload only ``FLOOR_SHARE`` of it counts.

Times are in seconds on a monotonic clock, amounts in tokens.
"""

from math import exp, inf
from typing import NamedTuple

from clementinebend_admission.waiting import (
    RATE_TIME_CONSTANT,
    MovingRate,
    WaitingPrompt,
    add_to_rate,
    current_rate,
    wait_behind,
)

ENTER_SHARE, LEAVE_SHARE = 0.1, 0.05
"""Rejected prompts, as shares of those that start, above which a service becomes
overloaded and below which it no longer is. Random arrivals that are not more than can
start exceed ``DECISION_SECONDS`` less often than this."""

MIN_REJECTED = 2.0
"""Number of recently rejected prompts below which a service does not become overloaded:
single prompts of a small load are no evidence."""

OVERLOAD_SECONDS = 0.2
"""How long the share must exceed ``ENTER_SHARE``, with a rejection at the end of that
time: the rejected prompts of a single burst come together."""

CALM_SECONDS = 1.0
"""Time without a rejection after which overload has ended."""

LULL_SECONDS = 1.25
"""How long after a lull a service is not overloaded. A lull shows when a prompt starts
at an endpoint with nothing to read. The time is longer than most prompts may wait, so
those that are late start in the next lull."""

REENTRY_SECONDS = 5.0
"""The same time after a lull under overload. The prompts rejected before such a lull
could have started, as with bursts that come again and again."""

QUIET_SECONDS = 0.5
"""Time without a rejection before a lull under overload. Endpoints also have nothing to
read after an event loop was late, but callers are rejected shortly before."""

DECISION_SECONDS = 0.08
"""Longest wait of a prompt under overload. Callers that are rejected within 0.1 s can
return while the rest of their time is still of use."""

MIN_RATE_AGE = 0.25
"""Seconds of observation without which a rate is unknown."""

MAX_UNKNOWN_RATE = 100_000.0
"""Prompt tokens per second that may start if no rate is known: twice what an endpoint
usually reads, so that an unknown rate rejects nothing that could start."""

FLOOR_SHARE = 0.5
"""Share of the floor that counts under overload: an endpoint's pace includes what it
does for several prompts at once, and other entries may start more than this one."""

MIN_START_SHARE = 0.1
"""Share of the starts that more urgent prompts leave to a waiting priority."""

MAX_TEAMS = 256
"""Maximum number of teams whose start rate is kept."""


class StartOutlook(NamedTuple):
    """What decides whether a prompt can start in time.

    ``before`` are the waiting tokens that precede it. ``starts`` and ``urgent`` are
    tokens per second: what can start, and what arrives at more urgent priorities and
    will overtake it. ``is_overloaded`` is false for a prompt that arrived before the
    overload began: it keeps the time to wait with which it was accepted.
    """

    before: float
    starts: float
    urgent: float
    is_overloaded: bool


class LoadRates:
    """Moving averages of one service's prompts at one entry.

    ``starts`` and ``arrivals`` (by priority) are in tokens per second,
    ``started_count``, ``rejected_count`` and ``teams`` (starts by team) in prompts per
    second.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.starts = MovingRate()
        self.arrivals: dict[int, MovingRate] = {}
        self.started_count = MovingRate()
        self.rejected_count = MovingRate()
        self.teams: dict[str, MovingRate] = {}
        self.exceeded_since = inf
        self.overloaded_since = inf
        self.rejected_at = -inf
        self.lull_until = -inf

    def on_arrived(self, prompt: WaitingPrompt, now: float) -> None:
        """Count a prompt that arrives."""
        if self.since is None:
            self.since = now
        rate = self.arrivals.get(prompt.priority, MovingRate())
        self.arrivals[prompt.priority] = add_to_rate(rate, prompt.tokens, now)

    def on_started(
        self, prompt: WaitingPrompt, is_endpoint_idle: bool, now: float
    ) -> None:
        """Count a prompt that starts; one at an idle endpoint may show a lull.

        ``is_endpoint_idle`` tells whether the endpoint has nothing to read before it.
        Endpoints read less urgent prompts later, so that this holds for an urgent one
        also under overload by others.
        """
        if is_endpoint_idle and self._is_least_urgent(prompt.priority, now):
            self._on_lull(now)
        self.starts = add_to_rate(self.starts, prompt.tokens, now)
        self.started_count = add_to_rate(self.started_count, 1, now)
        rate = self.teams.pop(prompt.team, MovingRate())
        self.teams[prompt.team] = add_to_rate(rate, 1, now)
        if len(self.teams) > MAX_TEAMS:
            del self.teams[next(iter(self.teams))]
        self._update(now)

    def on_rejected(self, now: float) -> None:
        """Count a prompt that is rejected."""
        self._end_if_calm(now)
        self.rejected_count = add_to_rate(self.rejected_count, 1, now)
        self.rejected_at = now
        self._update(now)
        if now - self.exceeded_since >= OVERLOAD_SECONDS:
            self.overloaded_since = min(self.overloaded_since, now)

    def is_overloaded(self, now: float) -> bool:
        """Return whether less has started than arrived for some time."""
        self._end_if_calm(now)
        return self.overloaded_since <= now

    def start_rate(self, now: float) -> float | None:
        """Return the tokens started per second, None if unknown."""
        if not self.started_count.per_second:
            return None
        return self._normalized(self.starts, now)

    def demand_rate(self, now: float) -> float:
        """Return the tokens that arrive per second."""
        return self.urgent_rate(None, now)

    def urgent_rate(self, priority: int | None, now: float) -> float:
        """Return the tokens that arrive per second at more urgent priorities.

        With None as ``priority`` all of them count.
        """
        rates = (
            self._normalized(rate, now) or 0.0
            for other, rate in self.arrivals.items()
            if priority is None or other < priority
        )
        return sum(rates)

    def team_rate(self, team: str, now: float) -> float:
        """Return how many prompts of a team start per second."""
        return self._normalized(self.teams.get(team, MovingRate()), now) or 0.0

    def outlook(
        self, prompt: WaitingPrompt, before: float, floor: float | None, now: float
    ) -> StartOutlook:
        """Return what a prompt behind ``before`` tokens can expect.

        ``floor`` is what can start at least, None if it is unknown.
        """
        is_overloaded = self.is_overloaded(now)
        is_overloaded = is_overloaded and self.overloaded_since <= prompt.arrived
        starts = self._expected_starts(floor, is_overloaded, now)
        urgent = self.urgent_rate(prompt.priority, now) if is_overloaded else 0.0
        return StartOutlook(before, starts, urgent, is_overloaded)

    def _expected_starts(
        self, floor: float | None, is_overloaded: bool, now: float
    ) -> float:
        """Return the tokens per second that can be expected to start."""
        known = self.start_rate(now)
        if known is None or (floor is None and not is_overloaded):
            return MAX_UNKNOWN_RATE
        share = FLOOR_SHARE if is_overloaded else 1.0
        return max(known, share * (floor or 0.0))

    def _is_least_urgent(self, priority: int, now: float) -> bool:
        """Return whether hardly any less urgent prompts arrive."""
        demand = self.demand_rate(now)
        return self.urgent_rate(priority + 1, now) >= (1.0 - LEAVE_SHARE) * demand

    def _on_lull(self, now: float) -> None:
        if not self.is_overloaded(now):
            self.lull_until = max(self.lull_until, now + LULL_SECONDS)
        elif now - self.rejected_at >= QUIET_SECONDS:
            self.lull_until = now + REENTRY_SECONDS

    def _update(self, now: float) -> None:
        rejected = current_rate(self.rejected_count, now)
        started = current_rate(self.started_count, now)
        is_enough = rejected * RATE_TIME_CONSTANT >= MIN_REJECTED
        if now < self.lull_until or rejected < LEAVE_SHARE * started:
            self._end()
        elif is_enough and rejected >= ENTER_SHARE * started:
            self.exceeded_since = min(self.exceeded_since, now)

    def _end_if_calm(self, now: float) -> None:
        if now - self.rejected_at > CALM_SECONDS:
            self._end()

    def _end(self) -> None:
        self.exceeded_since = self.overloaded_since = inf

    def _normalized(self, rate: MovingRate, now: float) -> float | None:
        """Return a rate without the bias of a short observation, None if unknown."""
        age = 0.0 if self.since is None else now - self.since
        if age < MIN_RATE_AGE:
            return None
        return current_rate(rate, now) / (1.0 - exp(-age / RATE_TIME_CONSTANT))


def outlook_wait(outlook: StartOutlook) -> float:
    """Return the seconds until what precedes a prompt has started, or infinity."""
    most = (1.0 - MIN_START_SHARE) * outlook.starts
    return wait_behind(outlook.before, outlook.starts, min(outlook.urgent, most))


def latest_start(prompt: WaitingPrompt, outlook: StartOutlook) -> float:
    """Return the latest time at which a prompt may start, earlier under overload."""
    if not outlook.is_overloaded:
        return prompt.wait_deadline
    return min(prompt.on_time_deadline, prompt.arrived + DECISION_SECONDS)


def can_start(prompt: WaitingPrompt, outlook: StartOutlook, now: float) -> bool:
    """Return whether a prompt that arrives can be expected to start in time."""
    return now + outlook_wait(outlook) < latest_start(prompt, outlook)


def may_wait(prompt: WaitingPrompt, outlook: StartOutlook, now: float) -> bool:
    """Return whether a prompt that waits may go on waiting.

    Without overload it may until its deadline, as what was expected of it may change.
    """
    if outlook.is_overloaded:
        return can_start(prompt, outlook, now)
    return now < prompt.wait_deadline
