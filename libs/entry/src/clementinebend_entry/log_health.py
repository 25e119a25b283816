"""For how long the log has not served one stream."""

from clementinebend_platform_client.tail import StreamTail
from clementinebend_platform_client.writer import StreamWriter


def failing_for(tail: StreamTail, writer: StreamWriter, now: float) -> float:
    """Return for how many seconds the log has not taken or given anything."""
    since = writer.failing_since
    if tail.failures and tail.caught_up_at is not None:
        heard = tail.caught_up_at
        since = heard if since is None else min(since, heard)
    return 0.0 if since is None else max(0.0, now - since)
