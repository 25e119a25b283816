"""How long an endpoint takes for a plain call, and the choice by it. Pure functions.

Load pattern: in a small pool some endpoints are permanently slower than others, and
some are slow for less than a second. Most plain calls must not be repeated, so a wrong
choice cannot be corrected. An estimate is discarded soon after its last sample, and the
endpoint counts at the pool's usual time until the next one: a slow endpoint gets a few
calls now and then, and one that has recovered gets its share back.

Times are in seconds on the monotonic clock.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import islice
from statistics import median_low
from typing import NamedTuple

SAMPLE_WEIGHT = 0.2
"""Least weight of a sample in the average, which then covers about five calls: the work
of single calls differs by a factor of seven."""

SAME_LEVEL_RATIO = 1.5
"""Ratio up to which two estimates of one endpoint count as the same level."""

FIRST_VALID_SECONDS = 0.5
"""How long an estimate is valid without a new sample if its level is new. Endpoints
that are slow for a short time are so for about as long."""

MAX_VALID_SECONDS = 1.5
"""How long it is valid at most: with the time until the next call is answered, a
recovery shows within 3 s."""

MAX_RUNNING_SECONDS = 2.0
"""Longest time for which a call without an answer indicates a slow endpoint. The
notification of its end may have been lost."""

CLEAR_RATIO = 2.0
"""Endpoints whose expected time is more than this many times the best one are passed
over. The others share the calls by speed: if all entries preferred the fastest
endpoints, they would overload them."""

MIN_WEIGHT = 0.125
"""Least weight of a slow endpoint in a draw, relative to one of the usual speed."""


class ServiceTime(NamedTuple):
    """The seconds that an endpoint takes for a plain call, None if unknown.

    ``at`` is when the last of its ``samples`` was taken. Without another one, the
    estimate is valid for ``valid_seconds``, which grow each time that an outdated
    estimate is found to be still at the same ``level``.
    """

    seconds: float | None = None
    samples: int = 0
    at: float = 0.0
    level: float = 0.0
    valid_seconds: float = FIRST_VALID_SECONDS


class PlainCandidate(NamedTuple):
    """An endpoint considered for a plain call.

    ``seconds`` is its service time if known, ``running`` the number of calls there,
    ``slots`` how many it runs at a time (0: unknown), and ``bias`` the number of calls
    by which another endpoint is preferred.
    """

    name: str
    seconds: float | None
    running: int
    slots: int
    bias: float = 0.0


def on_answer(service: ServiceTime, elapsed: float, now: float) -> ServiceTime:
    """Return the estimate after a call that was answered in ``elapsed`` seconds."""
    if service.seconds is None:
        return ServiceTime(elapsed, 1, now, elapsed)
    if not _is_valid(service, now):
        return _on_new_level(service, elapsed, 1, now, is_confirmed=True)
    samples = service.samples + 1
    weight = max(SAMPLE_WEIGHT, 1 / samples)
    seconds = service.seconds + (elapsed - service.seconds) * weight
    return _on_new_level(service, seconds, samples, now, is_confirmed=False)


def _on_new_level(
    service: ServiceTime, seconds: float, samples: int, now: float, is_confirmed: bool
) -> ServiceTime:
    if not _is_same_level(seconds, service.level):
        return ServiceTime(seconds, samples, now, seconds)
    valid = service.valid_seconds * (2 if is_confirmed else 1)
    valid = min(MAX_VALID_SECONDS, valid)
    return ServiceTime(seconds, samples, now, service.level, valid)


def _is_same_level(seconds: float, level: float) -> bool:
    return level <= seconds * SAME_LEVEL_RATIO and seconds <= level * SAME_LEVEL_RATIO


def _is_valid(service: ServiceTime, now: float) -> bool:
    return now - service.at <= service.valid_seconds


def known_seconds(
    service: ServiceTime, running_seconds: float, now: float
) -> float | None:
    """Return the service time as far as known now, or None.

    It is at least ``running_seconds``: how long the oldest call runs that indicates the
    endpoint's pace, 0 if there is none.
    """
    known = service.seconds if _is_valid(service, now) else None
    return max(known or 0.0, running_seconds) or None


def usual_seconds(pool: Iterable[float | None]) -> float | None:
    """Return the median service time of a pool, or None if none is known."""
    known = [seconds for seconds in pool if seconds is not None]
    return median_low(known) if known else None


def speed_weight(seconds: float | None, usual: float | None) -> float:
    """Return an endpoint's weight in a draw: its speed, 1 for the usual one at most."""
    if not seconds or usual is None:
        return 1.0
    return min(1.0, max(MIN_WEIGHT, usual / seconds))


def weighted_order(weights: Mapping[str, float], draws: Iterable[float]) -> list[str]:
    """Return the names in random order, those with a higher weight earlier.

    Each place is drawn among the remaining names with probabilities proportional to
    their weights. ``draws`` are random numbers between 0 and 1, one for each name.
    Method: Efraimidis, Spirakis, "Weighted random sampling with a reservoir", 2006.
    """
    keys = {
        name: draw ** (1 / weight)
        for (name, weight), draw in zip(weights.items(), draws, strict=False)
    }
    return sorted(keys, key=keys.__getitem__, reverse=True)


def shortlist(
    order: Sequence[str], own_zone: frozenset[str], own_count: int, other_count: int
) -> list[str]:
    """Return the endpoints to query, in ``order``.

    They are the first ``own_count`` in this zone and ``other_count`` of all others.
    """
    first = list(islice((name for name in order if name in own_zone), own_count))
    rest = (name for name in order if name not in first)
    chosen = {*first, *islice(rest, other_count)}
    return [name for name in order if name in chosen]


def expected_seconds(
    candidate: PlainCandidate, usual: float | None, slots: int
) -> float:
    """Return how long a call is expected to take, in units of 1 s if no time is known.

    Endpoints that are faster than the usual one count as usual, so that one fast
    endpoint doesn't attract the calls of all entries. ``slots`` are used if those of
    the candidate are unknown.
    """
    least = 1.0 if usual is None else usual
    seconds = max(least, candidate.seconds or least)
    return seconds * max(1.0, (candidate.running + 1) / (candidate.slots or slots or 1))


def choose_endpoint(
    drawn: Sequence[PlainCandidate], usual: float | None
) -> PlainCandidate:
    """Return the candidate for a plain call.

    Of those that are expected to take about as long as the best one, it is the one with
    the fewest running calls for its slots; among equals, the first one drawn.
    """
    slots = max(candidate.slots for candidate in drawn)
    expected = [expected_seconds(candidate, usual, slots) for candidate in drawn]
    limit = min(expected) * CLEAR_RATIO
    alike = [
        candidate
        for candidate, seconds in zip(drawn, expected, strict=True)
        if seconds <= limit
    ]
    return min(alike, key=lambda candidate: _load(candidate, slots))


def _load(candidate: PlainCandidate, slots: int) -> float:
    """Return the calls at an endpoint, as if it had ``slots``."""
    scale = slots / candidate.slots if candidate.slots else 1.0
    return candidate.running * scale + candidate.bias
