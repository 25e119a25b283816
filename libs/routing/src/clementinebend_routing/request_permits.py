"""Permits for requests to an endpoint that names a request limit. No I/O.

One process grants the permits of an endpoint for all entries, from a token bucket that
fills at the limit. A token is taken when a permit is granted, so that a lost permit
costs a request and never adds one.

Scarce permits go to the most urgent calls first, and within a priority to the teams
that got least. Calls that must stand back find no permit until the bucket is fuller.

Times are in seconds on the monotonic clock.
"""

from collections import OrderedDict
from math import exp, inf
from typing import NamedTuple

from clementinebend_routing.request_limits import RequestLimit, allowed

MIN_RATE = 0.25
"""Permits per second at a lower limit: an endpoint that gets no request can't say that
its need has ended."""

MIN_DEPTH, MAX_DEPTH = 2.0, 4.0
"""Bounds of the number of permits that a bucket holds: the bound on requests leaves
little room below a limit of 1 per second."""

BACKUP_SHARE = 0.25
"""Share of the limit that a backup grants: the process that it stands in for may still
be granting permits to other entries."""

BACKUP_DEPTH = 1.0

MIN_RAMP_RATE = 1.0
"""Permits per second with which an endpoint starts whose limit is raised or ends."""

RAMP_DOUBLING_SECONDS = 0.5
RAMP_SECONDS = 3.0
"""After a limit is raised or ends, permits double in each ``RAMP_DOUBLING_SECONDS``
until ``RAMP_SECONDS``, so that not all entries turn to an idle endpoint at once."""

DEMAND_SECONDS = 5.0
"""How long a call counts as demand of its priority and team."""

TEAM_TIME_CONSTANT = 10.0
"""Time constant in seconds with which the permits that teams got are forgotten."""

UNUSED_SECONDS = 5.0
"""How long a permit is remembered whose call has not been reported as sent."""

LESS_URGENT_LEVEL, FULL_SHARE_LEVEL, ORDER_LEVEL = 1 / 2, 1 / 3, 1 / 6
"""Share of the bucket beyond the first permit that must be full for a call that is less
urgent than others, for one whose team got its share, and for one of the team that got
most; what is kept free goes to the others."""

FULL_SHARE = 0.75
"""Fraction of the mean of all teams from which on a team has got its share."""


class CallClass(NamedTuple):
    """What decides on a call's turn: its priority, where 0 is first, and its team."""

    priority: int
    team: str


class PermitAnswer(NamedTuple):
    """Whether a permit is granted, or after how many seconds to ask again."""

    is_granted: bool
    wait: float


class PermitDemand:
    """The recent demand for an endpoint's permits, by priority and by team."""

    def __init__(self) -> None:
        self.asked_at: dict[int, float] = {}
        self.teams: dict[str, float] = {}
        self.granted: dict[str, float] = {}
        self.decayed_at = 0.0

    def on_asked(self, call_class: CallClass, now: float) -> None:
        """Record a call that could use a permit."""
        self.asked_at[call_class.priority] = now
        self.teams[call_class.team] = now

    def on_granted(self, call_class: CallClass, now: float) -> None:
        """Record a permit that a call got."""
        self._forget(now)
        self.granted[call_class.team] = self.granted.get(call_class.team, 0.0) + 1.0

    def required_level(self, call_class: CallClass, now: float) -> float:
        """Return how full the bucket must be beyond one permit, from 0 to 1."""
        self._forget(now)
        level = 0.0
        if call_class.priority > min(self.asked_at, default=call_class.priority):
            level += LESS_URGENT_LEVEL
        return level + self._share_level(call_class.team)

    def _share_level(self, team: str) -> float:
        """Return the level that a team's calls require, by the permits that it got."""
        total = sum(self.granted.values())
        if len(self.teams) < 2 or not total:
            return 0.0
        got = self.granted.get(team, 0.0)
        if got <= FULL_SHARE * total / len(self.teams):
            return 0.0
        got_less = sum(self.granted.get(each, 0.0) < got for each in self.teams)
        return FULL_SHARE_LEVEL + ORDER_LEVEL * got_less / (len(self.teams) - 1)

    def _forget(self, now: float) -> None:
        oldest = now - DEMAND_SECONDS
        self.asked_at = {
            priority: at for priority, at in self.asked_at.items() if at >= oldest
        }
        self.teams = {team: at for team, at in self.teams.items() if at >= oldest}
        factor = exp(-max(0.0, now - self.decayed_at) / TEAM_TIME_CONSTANT)
        self.granted = {
            team: granted * factor
            for team, granted in self.granted.items()
            if team in self.teams
        }
        self.decayed_at = now


class PermitBucket:
    """A token bucket that fills at ``share`` of a limit.

    It starts empty: calls that came before it was there are not known.
    """

    def __init__(self, share: float, max_depth: float, now: float) -> None:
        self.share = share
        self.max_depth = max_depth
        self.level = 0.0
        self.filled_at = now
        self.limit_rate = 0.0
        self.ramp_rate = inf
        self.ramp_at = now

    def change(self, before: RequestLimit, limit: RequestLimit, now: float) -> None:
        """Apply another limit; a higher one takes effect step by step."""
        self.fill(now)
        if before.rate is None:
            self.level = min(0.0, self.level)
        rate, rate_before = allowed(limit.rate), allowed(before.rate)
        if rate > rate_before:
            self.ramp_rate = max(MIN_RAMP_RATE, min(rate_before, self.rate(now)))
            self.ramp_at = now
        else:
            self.ramp_rate = inf
        self.limit_rate = rate

    def rate(self, now: float) -> float:
        """Return the permits per second that are granted now."""
        elapsed = now - self.ramp_at
        if elapsed >= RAMP_SECONDS:
            ramp = inf
        else:
            ramp = self.ramp_rate * 2.0 ** (elapsed // RAMP_DOUBLING_SECONDS)
        return self.share * max(MIN_RATE, min(self.limit_rate, ramp))

    def depth(self) -> float:
        """Return how many permits the bucket holds."""
        return min(self.max_depth, MAX_DEPTH, MIN_DEPTH * (1.0 + self.limit_rate))

    def fill(self, now: float) -> None:
        """Add the permits of the time since the bucket was last filled."""
        if now <= self.filled_at:
            return
        rate = min(self.rate(self.filled_at), self.rate(now))
        added = rate * (now - self.filled_at)
        self.level = min(self.depth(), self.level + added)
        self.filled_at = now

    def wait(self, required_level: float, now: float) -> float:
        """Return the seconds until a call may get a permit, 0 if it may now."""
        self.fill(now)
        needed = 1.0 + required_level * (self.depth() - 1.0)
        rate = self.rate(now)
        return 0.0 if self.level >= needed else (needed - self.level) / rate

    def take(self) -> None:
        """Take one permit."""
        self.level -= 1.0

    def charge(self, now: float) -> None:
        """Take one permit for a call that was sent without, into debt if need be."""
        self.fill(now)
        self.level = max(self.level - 1.0, -max(1.0, self.rate(now)))


class EndpointPermits:
    """The permits of one boot of an endpoint, granted by one process.

    ``unused`` are the requests with a permit that were not reported as sent yet, with
    the time of the permit.
    """

    def __init__(self, now: float) -> None:
        self.limit = RequestLimit()
        self.ended_at = now
        self.used_at = now
        self.primary = PermitBucket(1.0, MAX_DEPTH, now)
        self.backup = PermitBucket(BACKUP_SHARE, BACKUP_DEPTH, now)
        self.demand = PermitDemand()
        self.unused: OrderedDict[str, float] = OrderedDict()

    def change(self, limit: RequestLimit, now: float) -> None:
        """Apply another limit, or its end."""
        for bucket in (self.primary, self.backup):
            bucket.change(self.limit, limit, now)
        if limit.rate is None:
            self.ended_at = now
        self.limit = limit

    def is_limiting(self, now: float) -> bool:
        """Return whether calls need permits: while limited, and for a while after."""
        if self.limit.rate is not None:
            return True
        return self.limit.version > 0 and now - self.ended_at < RAMP_SECONDS

    def wait(self, call_class: CallClass, now: float) -> float | None:
        """Return the seconds until a call may get a permit, None if it needs none."""
        self.used_at = now
        if not self.is_limiting(now):
            return None
        self.demand.on_asked(call_class, now)
        level = self.demand.required_level(call_class, now)
        return self.primary.wait(level, now)

    def request(
        self, request: str, call_class: CallClass, is_backup: bool, now: float
    ) -> PermitAnswer:
        """Grant a permit for a call if the limit allows it now.

        A repeated message takes another permit: callers may reuse a request's ID.
        """
        self.used_at = now
        if not self.is_limiting(now):
            return PermitAnswer(True, 0.0)
        self.demand.on_asked(call_class, now)
        bucket = self.backup if is_backup else self.primary
        wait = bucket.wait(self.demand.required_level(call_class, now), now)
        if wait > 0.0:
            return PermitAnswer(False, wait)
        bucket.take()
        self.demand.on_granted(call_class, now)
        self._remember(request, now)
        return PermitAnswer(True, 0.0)

    def on_sent(self, request: str, now: float) -> None:
        """Record a call that was sent; charge for it if it had no permit."""
        has_permit = self.unused.pop(request, None) is not None
        if self.is_limiting(now) and not has_permit:
            self.primary.charge(now)

    def _remember(self, request: str, now: float) -> None:
        self.unused[request] = now
        self.unused.move_to_end(request)
        while now - next(iter(self.unused.values())) > UNUSED_SECONDS:
            self.unused.popitem(last=False)
