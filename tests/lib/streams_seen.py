"""What clients got of streams, held against the rules on streams of several versions.

A client that resumes a stream names the ID of its attempt that brought the first
event, over all its tries.
"""

from collections.abc import Iterable
from re import compile as pattern
from typing import NamedTuple

MAX_MIXED_STREAMS = 2
"""Streams that may hold events of two versions."""

FEWEST_RESUMED = 12
"""Streams resumed from which on the share that goes on is judged."""

LEAST_SHARE = 0.5
"""Least share that goes on, as a share of the new streams that begin."""

VERSIONED_EVENT = pattern(rb"id: (\d+)\ndata: \w+ (\S+)\n\n")


class SeenEvent(NamedTuple):
    """One event: its number in the stream, and the version that made it."""

    number: int
    version: str


class Try(NamedTuple):
    """One attempt of a client.

    ``is_resumption`` is set if it resumes a stream, ``is_judged`` if the entry was in
    touch and two engines of the stream's version served. ``status`` is None if no
    answer came; ``events`` is how many events the attempt brought.
    """

    is_resumption: bool
    is_judged: bool
    status: int | None
    events: int


class StreamSeen(NamedTuple):
    """A stream over the tries of one client.

    Each of ``lives`` holds the events since the client has begun (anew).
    """

    lives: tuple[tuple[SeenEvent, ...], ...]
    tries: tuple[Try, ...]
    is_whole: bool

    @property
    def is_mixed(self) -> bool:
        """Whether the client held events of two versions at any time."""
        return any(len({event.version for event in life}) > 1 for life in self.lives)

    @property
    def is_in_order(self) -> bool:
        """Whether each event was there once, from the first one on."""
        return all(
            [event.number for event in life] == list(range(1, len(life) + 1))
            for life in self.lives
        )


class StreamRecord:
    """What one client has got of a stream so far.

    ``origin`` is the ID of its request that brought the first event.
    """

    def __init__(self) -> None:
        self.lives: list[tuple[SeenEvent, ...]] = [()]
        self.tries: list[Try] = []
        self.origin = ""

    @property
    def version(self) -> str:
        """The version that began the stream, an empty text before its first event."""
        return self.lives[-1][0].version if self.lives[-1] else ""

    def headers(self, names_origin: bool) -> dict[str, str]:
        """Return the headers with which the next request resumes the stream, if any."""
        if not self.lives[-1]:
            return {}
        last = {"last-event-id": str(self.lives[-1][-1].number)}
        return {**last, "resumes": self.origin} if names_origin else last

    def add(
        self,
        request_id: str,
        is_judged: bool,
        status: int | None,
        data: bytes,
        begins_anew: bool,
    ) -> None:
        """Record what an attempt has brought, and whether the client begins anew."""
        is_resumption, seen = bool(self.lives[-1]), split_events(data)
        self.tries.append(Try(is_resumption, is_judged, status, len(seen)))
        if is_resumption and begins_anew:
            self.lives.append(())
        if seen and not self.lives[-1]:
            self.origin = request_id
        self.lives[-1] = (*self.lives[-1], *seen)

    def seen(self, events: int) -> StreamSeen:
        """Return all of it; a whole stream has that many events."""
        is_whole = len(self.lives[-1]) == events
        return StreamSeen(tuple(self.lives), tuple(self.tries), is_whole)


class Verdict(NamedTuple):
    """What many streams come to.

    ``resumed`` counts the judged tries that resumed a stream, ``went_on`` those of
    them that brought an event; ``began`` is the share of new streams that began.
    """

    streams: int
    mixed: int
    resumed: int
    went_on: int
    began: float
    whole: int

    @property
    def keeps_order(self) -> bool:
        """Whether few enough streams hold events of two versions."""
        return self.mixed <= MAX_MIXED_STREAMS

    @property
    def loses_few(self) -> bool:
        """Whether enough of the streams that were resumed went on."""
        if self.resumed < FEWEST_RESUMED:
            return True
        return self.went_on >= LEAST_SHARE * self.began * self.resumed


def verdict(streams: Iterable[StreamSeen]) -> Verdict:
    """Return what the streams come to."""
    seen = list(streams)
    tries = [each for stream in seen for each in stream.tries]
    resumed = [each for each in tries if each.is_resumption and each.is_judged]
    new = [each for each in tries if not each.is_resumption]
    return Verdict(
        len(seen),
        sum(stream.is_mixed for stream in seen),
        len(resumed),
        sum(each.events > 0 for each in resumed),
        sum(each.events > 0 for each in new) / max(1, len(new)),
        sum(stream.is_whole for stream in seen),
    )


def split_events(data: bytes) -> list[SeenEvent]:
    """Return the whole events in what an attempt has brought."""
    return [
        SeenEvent(int(number), version.decode())
        for number, version in VERSIONED_EVENT.findall(data)
    ]
