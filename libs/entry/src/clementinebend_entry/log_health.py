"""Measures for how long the log has been failing for one stream."""

from clementinebend_platform_client.tail import StreamTail
from clementinebend_platform_client.writer import StreamWriter


def failing_for(tail: StreamTail, writer: StreamWriter, now: float) -> float:
    """Return for how many seconds reads or appends have been failing, 0 if neither."""
    since = writer.failing_since
    if tail.failures and tail.caught_up_at is not None:
        heard = tail.caught_up_at
        since = heard if since is None else min(since, heard)
    return 0.0 if since is None else max(0.0, now - since)
