"""Selection of the endpoint with the earliest first token for a prompt. Pure functions.

Load pattern: prompts whose lengths differ by a factor of a hundred arrive in bursts
while some endpoints of the pool are slow, idle or new. An endpoint prefills prompts one
after the other, so the queued prompts determine when the first token of a new one is
produced. Cached parts can be fetched from another endpoint in an eighth of the time
needed to prefill them. Where a session's parts are cached therefore matters less than
the queue.
"""

from collections.abc import Iterable, Sequence
from math import inf
from statistics import median
from typing import NamedTuple

FETCH_COST_RATIO = 0.125
"""Time to fetch a token, relative to the time to prefill it."""

USUAL_TOKENS_PER_SECOND = 50_000
"""Prompt tokens that an engine usually prefills per second. Times are converted to
tokens by it as long as no endpoint's pace is known."""

MOVE_THRESHOLD_SECONDS = 0.12
"""How much less expected work an endpoint must have to be preferred to an earlier one
in the order of the session. Moving a session costs a transfer, and other entries choose
at the same time."""

MOVE_THRESHOLD_TOKENS = MOVE_THRESHOLD_SECONDS * USUAL_TOKENS_PER_SECOND
"""The same in tokens at the usual pace."""

SAMPLE_WEIGHT = 0.2
"""Weight of one call in the moving average of an endpoint's pace: about five calls are
needed for a change to show."""

OVERHEAD_SECONDS = 0.03
"""Fixed cost of a first token: the network round trip and one engine step."""

OVERHEAD_TOKENS = OVERHEAD_SECONDS * USUAL_TOKENS_PER_SECOND
"""The number of tokens that are prefilled meanwhile at the usual pace."""

SLOW_POOL_RATIO = 2.0
"""How many times as slow as usual a pool must be for fewer tokens to count as the fixed
cost. The first tokens of a pool at about the usual pace don't tell the two apart."""

MIN_SLOWNESS, MAX_SLOWNESS = 1.0, 8.0
"""Bounds of the factor by which an endpoint is slower than the median. The lower bound
keeps the fastest endpoints from attracting all prompts, the upper one lets the slowest
ones be tried again."""


LONG_PROMPT_SECONDS = 0.4
"""Prompts that take longer than this to prefill delay the streams at the endpoint for
several events in a row, beyond the pause that callers accept. They are sent where few
streams run."""

LONG_PROMPT_TOKENS = round(LONG_PROMPT_SECONDS * USUAL_TOKENS_PER_SECOND)
"""The same in tokens at the usual pace."""

STREAM_COST_SECONDS = 0.06
"""Cost of delaying one stream, as the time to prefill tokens queued before the
prompt."""


class Pace(NamedTuple):
    """Seconds per token until a first token; ``None`` if unknown."""

    seconds: float | None = None


UNKNOWN_PACE = Pace()


class PrefillCandidate(NamedTuple):
    """An endpoint considered for a prompt; amounts are in tokens.

    ``ahead`` is the number of tokens queued before the prompt, from all entries. Of the
    prompt itself, ``unread`` tokens would be prefilled and ``fetched`` tokens fetched
    from another endpoint. ``running`` is the number of calls at the endpoint.
    """

    name: str
    ahead: float
    unread: int
    fetched: int
    slowness: float
    running: int = 0


def on_first_token(
    pace: Pace, elapsed: float, tokens: float, pool_median: Pace = UNKNOWN_PACE
) -> Pace:
    """Update the pace with a first token after ``elapsed`` seconds and ``tokens``."""
    sample = elapsed / (tokens + _overhead_tokens(tokens, pool_median))
    if pace.seconds is None:
        return Pace(sample)
    return Pace(pace.seconds + (sample - pace.seconds) * SAMPLE_WEIGHT)


def _overhead_tokens(tokens: float, pool_median: Pace) -> float:
    """Return the fixed cost of a first token in tokens.

    It is ``OVERHEAD_TOKENS`` unless the pool is much slower than usual and at least as
    many tokens were prefilled. With fewer, a long fixed cost looks like a slow pool,
    and the conversion would slow the estimated pace further with each call. With these,
    a sample is at most twice the one with ``OVERHEAD_TOKENS``.
    """
    overhead = tokens_in(OVERHEAD_SECONDS, pool_median)
    if overhead * SLOW_POOL_RATIO < OVERHEAD_TOKENS <= tokens:
        return overhead
    return OVERHEAD_TOKENS


def median_pace(pool: Iterable[Pace]) -> Pace:
    """Return the median pace of a pool, unknown if no pace is known."""
    known = [pace.seconds for pace in pool if pace.seconds is not None]
    return Pace(median(known)) if known else Pace()


def slowness(pace: Pace, pool_median: Pace) -> float:
    """Return the factor by which an endpoint is slower than the median of its pool."""
    if pace.seconds is None or pool_median.seconds is None:
        return MIN_SLOWNESS
    factor = pace.seconds / pool_median.seconds
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))


def tokens_in(seconds: float, pool_median: Pace) -> float:
    """Return how many tokens an engine of the pool prefills in a time."""
    pace = pool_median.seconds
    if pace is None or not 0.0 < pace < inf:
        return seconds * USUAL_TOKENS_PER_SECOND
    return seconds / pace


def choose_candidate(
    ranked: Sequence[PrefillCandidate], pool_median: Pace = UNKNOWN_PACE
) -> PrefillCandidate:
    """Return the candidate with the earliest expected first token.

    ``ranked`` is in the order of the session, which is the same for all entries. An
    earlier candidate is kept unless a later one is better by
    ``MOVE_THRESHOLD_SECONDS`` at the median pace.
    """
    move_threshold = tokens_in(MOVE_THRESHOLD_SECONDS, pool_median)
    best = ranked[0]
    for candidate in ranked[1:]:
        expected = _expected_tokens(candidate, pool_median)
        if expected + move_threshold < _expected_tokens(best, pool_median):
            best = candidate
    return best


def _expected_tokens(candidate: PrefillCandidate, pool_median: Pace) -> float:
    """Return the time to first token, in tokens at the median pace."""
    work = candidate.ahead + candidate.unread + FETCH_COST_RATIO * candidate.fetched
    if candidate.unread > tokens_in(LONG_PROMPT_SECONDS, pool_median):
        work += tokens_in(STREAM_COST_SECONDS, pool_median) * candidate.running
    return work * candidate.slowness
