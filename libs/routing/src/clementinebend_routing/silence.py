"""Detection of endpoints that owe a response but send no data. Pure functions.

Load pattern: a part of the pool becomes unreachable without connection resets. Once
callers have given up, nothing is owed any more, so an unreachable endpoint soon looks
idle and attracts the next calls. An endpoint therefore stays doubted until there is
evidence that it is alive, or until a retry is due.

Times are in seconds on the monotonic clock.
"""

from typing import NamedTuple

SILENT_SECONDS = 0.6
"""An endpoint that owes a first token is doubted after this long without data. While it
works it sends tokens every few milliseconds, and in this time it prefills 40,000
tokens."""

STREAM_SILENT_SECONDS = 0.35
"""The same limit for an endpoint that owes the next token of a stream. Long prompts
delay these by about 60 ms each."""

ANNOUNCEMENT_LAG_SECONDS = 1.0
"""Maximum delay until an announcement is read. One that is read sooner than this after
the doubt began may have been made before it."""

FIRST_DOUBT_SECONDS, MAX_DOUBT_SECONDS = 4.0, 30.0
"""Seconds after which an endpoint without a new announcement is retried, since the
store may be unavailable. Doubled with each consecutive doubt up to the maximum."""


class Doubt(NamedTuple):
    """Doubt about an endpoint; ``since`` is ``None`` if it is not doubted.

    ``in_a_row`` is the number of doubts since the endpoint last sent data.
    """

    since: float | None = None
    in_a_row: int = 0


def on_silence(doubt: Doubt, now: float) -> Doubt:
    """Start to doubt an endpoint that is not doubted already."""
    if doubt.since is not None:
        return doubt
    return Doubt(now, doubt.in_a_row + 1)


def on_heard(doubt: Doubt) -> Doubt:
    """Clear the doubt after the endpoint has sent bytes of an answer."""
    return Doubt()


def is_retry_due(doubt: Doubt, announced_at: float, now: float) -> bool:
    """Return whether an endpoint may be used although it has sent no data.

    ``announced_at`` is the time at which its newest announcement was read.
    """
    if doubt.since is None:
        return True
    factor: int = 2 ** (doubt.in_a_row - 1)
    if announced_at > doubt.since + ANNOUNCEMENT_LAG_SECONDS * factor:
        return True
    limit: float = min(MAX_DOUBT_SECONDS, FIRST_DOUBT_SECONDS * factor)
    return now - doubt.since > limit


def on_tried(doubt: Doubt) -> Doubt:
    """Allow requests again; consecutive doubts last longer if it stays silent."""
    return doubt._replace(since=None)
