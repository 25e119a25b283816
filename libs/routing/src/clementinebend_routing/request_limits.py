"""What is known of the request limit that an endpoint in need names. Pure functions.

An endpoint names its limit, in requests per second from all entries together, in its
answers, and an answer without one ends it. Answers overtake one another, and entries
tell one another what they heard, late or never. Clocks of hosts are not comparable, so
each change of a limit has a version: a call is sent under the version that its entry
knows then, and its answer is newer than that version.
"""

from math import inf
from typing import NamedTuple


class RequestLimit(NamedTuple):
    """The limit of one boot of an endpoint, in requests per second, None without one.

    ``version`` is higher the later the limit was named or ended.
    """

    version: int = 0
    rate: float | None = None


NO_LIMIT = RequestLimit()

MAX_VERSION = 10**15
"""Highest version that is accepted from another process."""


def on_answer(
    known: RequestLimit, sent_version: int, rate: float | None
) -> RequestLimit:
    """Return the limit known after an answer that names ``rate``, or None.

    ``sent_version`` is the version that was known when the answered call was sent. An
    answer to a call sent before the known version may be older than it, so that it
    can make the limit stricter, but not end or raise it.
    """
    if rate == known.rate:
        return known
    if sent_version >= known.version or allowed(rate) < allowed(known.rate):
        return RequestLimit(known.version + 1, rate)
    return known


def merge_limits(known: RequestLimit, reported: RequestLimit) -> RequestLimit:
    """Return the later one of two limits; of two changes at once, the stricter one.

    A reported limit that is no number of requests, or has no version, is ignored.
    """
    if not _is_valid(reported):
        return known
    if reported.version != known.version:
        return max(known, reported, key=lambda limit: limit.version)
    return min(known, reported, key=lambda limit: allowed(limit.rate))


def allowed(rate: float | None) -> float:
    """Return the requests per second that a rate allows, infinite without a limit."""
    return inf if rate is None else rate


def _is_valid(limit: RequestLimit) -> bool:
    is_number = limit.rate is None or 0.0 <= limit.rate < inf
    return is_number and 0 <= limit.version <= MAX_VERSION
