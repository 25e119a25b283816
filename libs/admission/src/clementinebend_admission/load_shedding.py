"""Which new calls an overloaded entry rejects, so that they go elsewhere. No I/O.

A rejected call has already used the receiving link, and its caller's next calls go to
the same entry while it is in rotation. Shedding therefore covers the time until the
load balancer notices that the entry has left, and the times when it may not leave.

Times are in seconds on a monotonic clock; shares are fractions of the calls.
"""

from math import exp

RAISED_PER_SECOND, LOWERED_PER_SECOND = 0.5, 0.25
"""Change of the share a second while the entry is saturated, and while it is not. It
falls more slowly, so that the load does not come back at once."""

MAX_SHARE = 0.9
"""Upper limit of the share: the remaining calls show whether the entry has spare
capacity again."""

MIN_SHARE = 0.05
"""Smallest limit of the share for which calls are shed at all."""

SPARE_FRACTION = 0.5
"""Part of one entry's calls that another entry with spare capacity is assumed to take
in addition to its own: entries do not announce their utilization below overload."""

MIX_SECONDS = 2.0
"""Time constant in seconds of the numbers of recent calls by priority."""

QUICK_RETRY = (0.05, 0.1)
"""Bounds of the retry time in seconds if another entry has spare capacity."""

SLOW_RETRY = (0.5, 1.5)
"""Bounds of the retry time in seconds if none is known to have any."""


class CallMix:
    """The numbers of recent calls by priority; 0 is the most urgent."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.counted_at = 0.0

    def add(self, priority: int, now: float) -> None:
        """Count a call."""
        decay = exp(-max(0.0, now - self.counted_at) / MIX_SECONDS)
        self.counted_at = now
        for level in self.counts:
            self.counts[level] *= decay
        self.counts[priority] = self.counts.get(priority, 0.0) + 1.0


def max_share(with_room: int, overloaded: int) -> float:
    """Return the largest share that the zone's other entries can take.

    ``with_room`` is the number of entries with spare capacity, ``overloaded`` that of
    the overloaded ones including this one. They may all shed the same share.
    """
    limit = min(MAX_SHARE, SPARE_FRACTION * with_room / max(1, overloaded))
    return limit if limit >= MIN_SHARE else 0.0


def next_share(
    share: float, is_overloaded: bool, is_relieved: bool, limit: float, elapsed: float
) -> float:
    """Return the share after ``elapsed`` seconds.

    It is raised while the entry is overloaded, kept while it is relieved but still
    counts as overloaded, and lowered afterwards.
    """
    if not is_overloaded:
        return max(0.0, min(limit, share) - LOWERED_PER_SECOND * elapsed)
    if is_relieved:
        return min(limit, share)
    return min(limit, share + RAISED_PER_SECOND * elapsed)


def chance(share: float, mix: CallMix, priority: int) -> float:
    """Return the probability with which a call is shed: less urgent ones first.

    ``mix`` includes the call. A priority is shed only if shedding all calls of the less
    urgent ones does not make up the share.
    """
    total = sum(mix.counts.values())
    less_urgent = sum(count for level, count in mix.counts.items() if level > priority)
    own = mix.counts.get(priority, 0.0)
    if own <= 0.0:
        return 0.0
    return min(1.0, max(0.0, (share * total - less_urgent) / own))


def retry_after_seconds(has_room: bool, draw: float) -> float:
    """Return when a shed caller should retry; ``draw`` is a random number below 1."""
    low, high = QUICK_RETRY if has_room else SLOW_RETRY
    return low + (high - low) * draw
