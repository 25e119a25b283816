"""Selection of the endpoint with the earliest first token for a prompt. Pure functions.

Load pattern: prompts whose lengths differ by a factor of a hundred arrive in bursts
while some endpoints of the pool are slow, idle or new. An endpoint prefills prompts one
after the other, so the queued prompts determine when the first token of a new one is
produced. Cached parts can be fetched from another endpoint in an eighth of the time
needed to prefill them. Where a session's parts are cached therefore matters less than
the queue.
"""

from collections.abc import Iterable, Sequence
from statistics import median
from typing import NamedTuple

FETCH_COST_RATIO = 0.125
"""Time to fetch a token, relative to the time to prefill it."""

MOVE_THRESHOLD_TOKENS = 6_000
"""How many fewer tokens of expected work an endpoint must have to be preferred to an
earlier one in the order of the session. Moving a session costs a transfer, and other
entries choose at the same time."""

SAMPLE_WEIGHT = 0.2
"""Weight of one call in the moving average of an endpoint's pace: about five calls are
needed for a change to show."""

OVERHEAD_TOKENS = 1_500
"""Fixed cost of a first token, as the number of tokens that could be prefilled
meanwhile: the network round trip and one engine step."""

MIN_SLOWNESS, MAX_SLOWNESS = 1.0, 8.0
"""Bounds of the factor by which an endpoint is slower than the median. The lower bound
keeps the fastest endpoints from attracting all prompts, the upper one lets the slowest
ones be tried again."""


LONG_PROMPT_TOKENS = 20_000
"""Prompts longer than this delay the streams at the endpoint for several events in a
row, beyond the pause that callers accept. They are sent where few streams run."""

STREAM_COST_TOKENS = 3_000
"""Cost of delaying one stream, as a number of tokens queued before the prompt."""


class Pace(NamedTuple):
    """Seconds per token until a first token; ``None`` if unknown."""

    seconds: float | None = None


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


def on_first_token(pace: Pace, elapsed: float, tokens: float) -> Pace:
    """Update the pace with a first token after ``elapsed`` seconds and ``tokens``."""
    sample = elapsed / (tokens + OVERHEAD_TOKENS)
    if pace.seconds is None:
        return Pace(sample)
    return Pace(pace.seconds + (sample - pace.seconds) * SAMPLE_WEIGHT)


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


def choose_candidate(ranked: Sequence[PrefillCandidate]) -> PrefillCandidate:
    """Return the candidate with the earliest expected first token.

    ``ranked`` is in the order of the session, which is the same for all entries. An
    earlier candidate is kept unless a later one is better by ``MOVE_THRESHOLD_TOKENS``.
    """
    best = ranked[0]
    for candidate in ranked[1:]:
        if _expected_tokens(candidate) + MOVE_THRESHOLD_TOKENS < _expected_tokens(best):
            best = candidate
    return best


def _expected_tokens(candidate: PrefillCandidate) -> float:
    """Return the time to first token, in tokens at the median pace."""
    work = candidate.ahead + candidate.unread + FETCH_COST_RATIO * candidate.fetched
    if candidate.unread > LONG_PROMPT_TOKENS:
        work += STREAM_COST_TOKENS * candidate.running
    return work * candidate.slowness
