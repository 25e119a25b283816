"""Choice of the endpoint that gives a prompt its first token soonest. Pure.

Load pattern: prompts whose lengths differ by a factor of a hundred arrive in
clumps, while part of the pool is slow, empty or new. An endpoint reads prompts one
after the other, so what lies before a prompt decides when its first token comes.
Kept parts can be fetched from another endpoint in an eighth of the time that
reading them takes: where a session's parts lie matters less than what is ahead.
"""

from collections.abc import Iterable, Sequence
from statistics import median
from typing import NamedTuple

FETCH_COST_RATIO = 0.125
"""Time to fetch a token, in parts of the time to read one."""

MOVE_THRESHOLD_TOKENS = 6_000
"""How many tokens less must lie before a prompt at an endpoint further down in its
session's order: what is moved is paid for, and others choose at the same time."""

SAMPLE_WEIGHT = 0.2
"""Weight of one call in an endpoint's observed pace: some five calls show a change."""

OVERHEAD_TOKENS = 1_500
"""What a first token takes without any prompt, in tokens read meanwhile: the way
there and back, and one step."""

MIN_SLOWNESS, MAX_SLOWNESS = 1.0, 8.0
"""Bounds of the factor by which an endpoint is slower than the usual one: the
fastest ones must not draw all, and the slowest ones must be tried again."""


LONG_PROMPT_TOKENS = 20_000
"""Prompts longer than this hold up the streams beside them for several events in a
row, beyond the pause that callers accept, and go where few streams run."""

STREAM_COST_TOKENS = 3_000
"""What holding up one stream counts for, in tokens ahead of the prompt."""


class Pace(NamedTuple):
    """Seconds for each token that lay before a first token; ``None`` if unknown."""

    seconds: float | None = None


class PrefillCandidate(NamedTuple):
    """One endpoint as a place for a prompt; amounts are in tokens.

    ``ahead`` is what it still has to read before the prompt, of all entries.
    ``unread`` is what it would have to read of the prompt, ``fetched`` what it would
    fetch of it. ``running`` is how many calls it has.
    """

    name: str
    ahead: float
    unread: int
    fetched: int
    slowness: float
    running: int = 0


def on_first_token(pace: Pace, elapsed: float, tokens: float) -> Pace:
    """Take the ``elapsed`` seconds to a first token, with ``tokens`` to be read."""
    sample = elapsed / (tokens + OVERHEAD_TOKENS)
    if pace.seconds is None:
        return Pace(sample)
    return Pace(pace.seconds + (sample - pace.seconds) * SAMPLE_WEIGHT)


def median_pace(pool: Iterable[Pace]) -> Pace:
    """Return the median pace of a pool, unknown if nothing is known of any."""
    known = [pace.seconds for pace in pool if pace.seconds is not None]
    return Pace(median(known)) if known else Pace()


def slowness(pace: Pace, pool_median: Pace) -> float:
    """Return by what factor an endpoint is slower than the usual one of its pool."""
    if pace.seconds is None or pool_median.seconds is None:
        return MIN_SLOWNESS
    factor = pace.seconds / pool_median.seconds
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))


def choose_candidate(ranked: Sequence[PrefillCandidate]) -> PrefillCandidate:
    """Return the place where the first token comes soonest.

    ``ranked`` is in the session's order, which all entries share: an earlier one is
    kept unless a later one is better by ``MOVE_THRESHOLD_TOKENS``.
    """
    best = ranked[0]
    for candidate in ranked[1:]:
        if _expected_tokens(candidate) + MOVE_THRESHOLD_TOKENS < _expected_tokens(best):
            best = candidate
    return best


def _expected_tokens(candidate: PrefillCandidate) -> float:
    """Return the time to the first token, in tokens of the usual endpoint's pace."""
    work = candidate.ahead + candidate.unread + FETCH_COST_RATIO * candidate.fetched
    if candidate.unread > LONG_PROMPT_TOKENS:
        work += STREAM_COST_TOKENS * candidate.running
    return work * candidate.slowness
