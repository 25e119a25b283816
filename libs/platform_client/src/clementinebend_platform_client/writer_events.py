"""What the writer of one stream is told, and what it has done."""

from typing import NamedTuple

from clementinebend_platform_client.exceptions import PostFailed
from clementinebend_platform_client.log_client import LogFailure
from clementinebend_records.records import Record


class Posted(NamedTuple):
    """The owner wants ``records`` logged; ``ticket`` names its future."""

    ticket: int
    records: tuple[Record, ...]


class Acknowledged(NamedTuple):
    """The log acknowledged an append after ``latency`` seconds."""

    sequence: int
    latency: float


class AppendFailed(NamedTuple):
    """The log gave no acknowledgement of an append."""

    sequence: int
    failure: LogFailure


class ReadBack(NamedTuple):
    """The tail read a batch of this writer at ``offset``."""

    sequence: int
    offset: int


class Restored(NamedTuple):
    """Replay went on from a checkpoint after ``offset``.

    The checkpoint holds this writer's batches up to ``sequence``.
    """

    sequence: int
    offset: int


class Ticked(NamedTuple):
    """Time has passed."""


class Closing(NamedTuple):
    """No more posts: send what is queued without waiting for company."""


class Abandoned(NamedTuple):
    """The time for closing is over."""


WriterEvent = (
    Posted
    | Acknowledged
    | AppendFailed
    | ReadBack
    | Restored
    | Ticked
    | Closing
    | Abandoned
)


class Append(NamedTuple):
    """Append ``data`` to the stream now."""

    sequence: int
    data: bytes


class Resolve(NamedTuple):
    """The posts of these tickets are on the log at ``offset``."""

    tickets: tuple[int, ...]
    offset: int


class Refuse(NamedTuple):
    """The post of this ticket failed."""

    ticket: int
    failure: PostFailed


WriterEffect = Append | Resolve | Refuse
