"""Doubt about endpoints that owe answers and send nothing. Pure.

Load pattern: a part of the pool goes dark, without a reset. Calls that are given up
there leave nothing owed, so that a dark endpoint soon looks idle and draws the next
ones. Doubt therefore lasts until the endpoint shows that it lives.

Times are in seconds on the steady clock.
"""

from typing import NamedTuple

SILENT_SECONDS = 0.6
"""An endpoint that owes a first token and sends nothing for so long is doubted: it
sends tokens every few milliseconds while it works, and reads 40,000 in that time."""

STREAM_SILENT_SECONDS = 0.35
"""The same if it owes the next token of a stream, which long prompts delay by some
60 ms each."""

ANNOUNCEMENT_LAG_SECONDS = 1.0
"""How late an endpoint's announcement may be read: one that is read sooner after the
doubt began was perhaps made before it."""

FIRST_DOUBT_SECONDS, MAX_DOUBT_SECONDS = 4.0, 30.0
"""Seconds after which an endpoint that has announced nothing is tried again, as the
store may be away; doubled with each doubt in a row, up to the longest."""


class Doubt(NamedTuple):
    """Doubt about an endpoint ``since`` a time; none if that is ``None``.

    ``in_a_row`` counts doubts since the endpoint was last heard.
    """

    since: float | None = None
    in_a_row: int = 0


def on_silence(doubt: Doubt, now: float) -> Doubt:
    """Begin to doubt an endpoint that is not doubted yet."""
    if doubt.since is not None:
        return doubt
    return Doubt(now, doubt.in_a_row + 1)


def on_heard(doubt: Doubt) -> Doubt:
    """Trust an endpoint that has sent bytes of an answer."""
    return Doubt()


def is_retry_due(doubt: Doubt, announced_at: float, now: float) -> bool:
    """Tell whether an endpoint may be tried again, though nothing was heard of it.

    ``announced_at`` is when its newest announcement was read.
    """
    if doubt.since is None:
        return True
    factor: int = 2 ** (doubt.in_a_row - 1)
    if announced_at > doubt.since + ANNOUNCEMENT_LAG_SECONDS * factor:
        return True
    limit: float = min(MAX_DOUBT_SECONDS, FIRST_DOUBT_SECONDS * factor)
    return now - doubt.since > limit


def on_tried(doubt: Doubt) -> Doubt:
    """Let an endpoint have work again; it is doubted for longer if it stays silent."""
    return doubt._replace(since=None)
