"""Counters and log lines for the reasons why connections of callers end."""

from enum import StrEnum
from logging import getLogger
from typing import NamedTuple

from clementinebend_transport.metrics import counter, histogram

logger = getLogger(__name__)

MAX_LOG_LINES_PER_SECOND = 20
"""Maximum log lines of this module per second; the counters include all ends."""

UNANSWERED = "clementinebend_http_requests_unanswered_total"
LATE_READS = "clementinebend_http_late_reads_total"
LATE_BUCKETS = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
"""Bounds in seconds."""


class EndReason(StrEnum):
    """Why the connection of a caller has ended."""

    IDLE_LIMIT = "idle_limit"
    CALLER_LEFT = "caller_left"
    LAST_ANSWER = "last_answer"
    """The answer had a ``Connection: close`` header."""
    PLANNED_STOP = "planned_stop"
    LEFT_ROTATION = "left_rotation"
    UNREADABLE_REQUEST = "unreadable_request"
    """It was rejected with an error status."""
    NO_ROOM = "no_room"
    """There was no memory for the body of a request, which was not read."""
    SLOW_READER = "slow_reader"
    MEMORY = "memory"
    """Memory held by answers that were not read was needed."""
    SOURCE_CUT = "source_cut"
    OVERRUN = "overrun"
    """Too many bytes came while a request was being answered."""
    TOO_MANY = "too_many"
    """There were too many connections; it was refused."""
    FAULT = "fault"
    """An unexpected exception."""
    PROCESS_CLOSING = "process_closing"


class EndedConnection(NamedTuple):
    """The state of a connection as it ends.

    ``seconds_since_receive`` is the time since its last byte came, ``unread_bytes`` the
    received bytes that belong to no answered request, and ``late_seconds`` how much
    later than due the event loop noticed the idle limit, 0.0 for other reasons.
    ``dropped_unsent_bytes`` are those of a complete answer that were dropped.
    """

    reason: EndReason
    peer: str
    seconds_since_receive: float
    unread_bytes: int
    late_seconds: float
    dropped_unsent_bytes: int = 0


class LogRateLimit:
    """Limits log lines to ``MAX_LOG_LINES_PER_SECOND``."""

    def __init__(self) -> None:
        self.second = 0
        self.lines = 0

    def allows(self, now: float) -> bool:
        """Return whether one more line may be written; ``now`` is in seconds."""
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0
        self.lines += 1
        return self.lines <= MAX_LOG_LINES_PER_SECOND


_limit = LogRateLimit()

_ended = counter(
    "clementinebend_http_connections_ended_total",
    "Connections of callers that have ended, by reason.",
    ("reason",),
)
_unread = counter(
    "clementinebend_http_connections_ended_unread_total",
    "Connections closed with bytes in them that were not read, by reason.",
    ("reason",),
)
_unanswered = counter(
    UNANSWERED,
    "Requests read whole that got no whole answer, though their caller was still "
    "there, by reason.",
    ("reason",),
)
_late = histogram(
    "clementinebend_http_idle_ends_late_seconds",
    "How much later than due connections were closed for being idle.",
    buckets=LATE_BUCKETS,
)

UNLOGGED_REASONS = frozenset(
    (EndReason.CALLER_LEFT, EndReason.UNREADABLE_REQUEST, EndReason.NO_ROOM)
)
"""Reasons for which unread bytes do not affect the caller, and are not logged."""


def on_refused() -> None:
    """Count a connection that is refused, as there are too many."""
    _ended.labels(EndReason.TOO_MANY).inc()


def on_unanswered(
    end: EndedConnection, target: str, request_id: str | None, now: float
) -> None:
    """Count and log a whole request that gets no whole answer."""
    _unanswered.labels(end.reason).inc()
    if not _limit.allows(now):
        return
    fields = {"request_id": request_id, "target": target, **_fields(end)}
    logger.warning("request left unanswered", extra=fields)


def on_ended(end: EndedConnection, now: float) -> None:
    """Count the end of a connection; log it if bytes were in it."""
    _ended.labels(end.reason).inc()
    if end.reason is EndReason.IDLE_LIMIT:
        _late.observe(end.late_seconds)
    if not end.unread_bytes or end.reason in UNLOGGED_REASONS:
        return
    _unread.labels(end.reason).inc()
    if _limit.allows(now):
        logger.warning("connection closed with unread bytes", extra=_fields(end))


def _fields(end: EndedConnection) -> dict[str, object]:
    return {
        "reason": end.reason.value,
        "peer": end.peer,
        "quiet_s": round(end.seconds_since_receive, 4),
        "unread": end.unread_bytes,
        "late_s": round(end.late_seconds, 4),
        "untaken": end.dropped_unsent_bytes,
    }
