"""Errors that stop the process, and failures that are handed back as values."""

from enum import StrEnum
from typing import NamedTuple


class BrokenInvariantError(Exception):
    """Two facts contradict each other; going on could do harm.

    The message names the stream and tells the operator what to look at.
    """


class PostRefusal(StrEnum):
    """Why records were not logged."""

    QUEUE_FULL = "queue_full"
    TOO_LARGE = "too_large"
    CLOSED = "closed"
    NOT_READ_BACK = "not_read_back"


ADVICE: dict[PostRefusal, str] = {
    PostRefusal.QUEUE_FULL: "too many wait for the log; try again when it answers",
    PostRefusal.TOO_LARGE: "more bytes than one append may hold; post fewer",
    PostRefusal.CLOSED: "this writer is closed",
    PostRefusal.NOT_READ_BACK: "the process stopped before they were read back",
}


class PostFailed(NamedTuple):
    """Records that were not read back from the log.

    With ``maybe_done`` they were sent, so they may be on the log all the
    same; without it they never left this process.
    """

    reason: PostRefusal
    maybe_done: bool
    message: str


def post_failed(stream: str, reason: PostRefusal, maybe_done: bool) -> PostFailed:
    """Return the failure of a post to ``stream``, in words for its owner."""
    message = f"records for stream {stream!r} not logged: {ADVICE[reason]}"
    return PostFailed(reason, maybe_done, message)


class CoverageLost(NamedTuple):
    """No checkpoint covers what the log has trimmed of a stream.

    A reader cannot know the state of the stream and stays unready until
    another reader, which still has that state, appends a checkpoint.
    ``oldest`` is the first offset kept and ``end`` the next one expected.
    """

    stream: str
    oldest: int
    end: int


class NewerSchema(NamedTuple):
    """A batch was written under a schema that this version cannot read.

    The reader stops before ``offset`` and this node must leave service.
    """

    stream: str
    offset: int
    schema_version: int


class CallFailed(NamedTuple):
    """A call to the platform or to an endpoint gave no usable answer.

    ``sent`` is false only if it is proved that the call was not executed.
    ``status`` is 0 if there was no answer at all; ``retry_after`` is in
    seconds, 0 if the other side named no time.
    """

    sent: bool
    message: str
    status: int = 0
    retry_after: float = 0.0
