"""What clients got of streams, held against the rules on streams of several versions.

A client that takes a stream up again names the ID of its attempt that brought the first
event, over all its tries.
"""

from collections.abc import Iterable
from re import compile as pattern
from typing import NamedTuple

MAX_MIXED_STREAMS = 2
"""Streams that may hold events of two versions."""

FEWEST_TAKEN_UP = 12
"""Streams taken up from which on the share that goes on is judged."""

LEAST_SHARE = 0.5
"""Least share that goes on, as a share of the new streams that begin."""

VERSIONED_EVENT = pattern(rb"id: (\d+)\ndata: \w+ (\S+)\n\n")


class SeenEvent(NamedTuple):
    """One event: its number in the stream, and the version that made it."""

    number: int
    version: str


class Try(NamedTuple):
    """One attempt of a client.

    ``takes_up`` is set if it takes a stream up, ``is_judged`` if the entry was in touch
    and two engines of the stream's version served. ``status`` is None if no answer
    came; ``events`` is how many events the attempt brought.
    """

    takes_up: bool
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


class Verdict(NamedTuple):
    """What many streams come to.

    ``taken_up`` counts the judged tries that took a stream up, ``went_on`` those of
    them that brought an event; ``began`` is the share of new streams that began.
    """

    streams: int
    mixed: int
    taken_up: int
    went_on: int
    began: float
    whole: int

    @property
    def keeps_order(self) -> bool:
        """Whether few enough streams hold events of two versions."""
        return self.mixed <= MAX_MIXED_STREAMS

    @property
    def loses_few(self) -> bool:
        """Whether enough of the streams that were taken up went on."""
        if self.taken_up < FEWEST_TAKEN_UP:
            return True
        return self.went_on >= LEAST_SHARE * self.began * self.taken_up


def verdict(streams: Iterable[StreamSeen]) -> Verdict:
    """Return what the streams come to."""
    seen = list(streams)
    tries = [each for stream in seen for each in stream.tries]
    taken_up = [each for each in tries if each.takes_up and each.is_judged]
    new = [each for each in tries if not each.takes_up]
    return Verdict(
        len(seen),
        sum(stream.is_mixed for stream in seen),
        len(taken_up),
        sum(each.events > 0 for each in taken_up),
        sum(each.events > 0 for each in new) / max(1, len(new)),
        sum(stream.is_whole for stream in seen),
    )


def split_events(data: bytes) -> list[SeenEvent]:
    """Return the whole events in what an attempt has brought."""
    return [
        SeenEvent(int(number), version.decode())
        for number, version in VERSIONED_EVENT.findall(data)
    ]
