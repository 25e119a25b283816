"""Where the origins of streams are kept on a ring, and the datagrams that tell them."""

from collections.abc import Iterator, Sequence

from clementinebend_relay.origin_messages import OriginsMessage, ReportedOrigin
from clementinebend_relay.stream_origins import StreamKey

BATCH_SIZE = 12
"""Origins in one datagram: it then fits into one packet."""

CHECKED_AT_ONCE = 100
"""Origins that are checked in a row for a process that is to keep some: about 1 ms."""

BATCH_INTERVAL = 0.005
"""Seconds between two such rows."""

KEY_SEPARATOR = "\0"
"""Cannot occur in the name of a team or in an HTTP header."""


def ring_key(key: StreamKey) -> str:
    """Return the key by which the processes that keep a stream's origin are found."""
    return KEY_SEPARATOR.join(key)


def origin_batches(
    boot: str, reports: Sequence[ReportedOrigin]
) -> Iterator[OriginsMessage]:
    """Yield the datagrams with which the process ``boot`` tells some origins."""
    for start in range(0, len(reports), BATCH_SIZE):
        yield OriginsMessage(boot, tuple(reports[start : start + BATCH_SIZE]))
