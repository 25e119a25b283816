"""Splits the bytes of a response into server-sent events.

Format: WHATWG HTML Living Standard, "Server-sent events".
"""

from collections.abc import Iterable
from re import MULTILINE, compile
from typing import NamedTuple

EVENT_END = compile(rb"\r?\n\r?\n")
EVENT_ID = compile(rb"^id: ?([^\r\n]*)", MULTILINE)
EVENT_DATA = compile(rb"^data:", MULTILINE)


MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of an event that is buffered until it is complete.

Typical events have a few hundred bytes.
"""

MAX_EVENT_READS = 256
"""Maximum number of reads that complete an event."""

MAX_EVENT_CHUNKS = 1024
"""Maximum number of chunks that complete an event; one read may join several."""

MAX_EMPTY_EVENTS = 256
"""Maximum number of events in a row with neither data nor a number, such as comments
and blank lines."""

MAX_ID_DIGITS = 19
"""Maximum number of digits of an event's ID, those of a 64-bit integer."""

EVENT_END_BYTES = 4
"""Maximum size in bytes of the separator after an event."""


class StreamEvent(NamedTuple):
    """One complete event: its bytes, and its ID if it has one."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Splits what is read into complete events, and buffers the incomplete ``rest``.

    Each byte is scanned once, however small the chunks are. ``empty`` is the number of
    consecutive empty events at the end.
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.empty = 0
        self.reads = 0
        self.chunks = 0
        """Reads, and chunks in them, since an event was last completed."""

    def is_too_large(self) -> bool:
        """Return whether the buffered, incomplete event is too large.

        So is one that takes too many reads or chunks. Too many consecutive empty events
        count as too large, too.
        """
        is_split = self.reads > MAX_EVENT_READS or self.chunks > MAX_EVENT_CHUNKS
        is_endless = self.empty > MAX_EMPTY_EVENTS or is_split
        return is_endless or len(self.rest) > MAX_EVENT_BYTES

    def feed(self, data: bytes, chunks: int = 1) -> list[StreamEvent]:
        """Add what was read, of some chunks, and return the events that it completes.

        Stops after the first event that makes the stream too large.
        """
        position = max(0, len(self.rest) - EVENT_END_BYTES + 1)
        self.rest += data
        self.reads += 1
        self.chunks += chunks
        events = []
        start = 0
        while self.empty <= MAX_EMPTY_EVENTS:
            found = EVENT_END.search(self.rest, position)
            if found is None:
                break
            position = found.end()
            event = _event(bytes(self.rest[start:position]))
            events.append(event)
            start = position
            self.empty = self.empty + 1 if is_empty(event) else 0
        del self.rest[:start]
        if events:
            self.reads = self.chunks = 0
        return events


def is_next_event(event_id: str | None, previous: str | None) -> bool:
    """Return whether an event may directly follow the one with the ID ``previous``.

    IDs must be consecutive numbers. An event without an ID, or with one that is not a
    number, is accepted in any order; one with a number of too many digits is not.
    """
    if event_id is None or previous is None:
        return True
    if not (event_id.isdecimal() and previous.isdecimal()):
        return True
    if max(len(event_id), len(previous)) > MAX_ID_DIGITS:
        return False
    return int(event_id) == int(previous) + 1


def are_next_events(events: Iterable[StreamEvent], previous: str | None) -> bool:
    """Return whether events may directly follow the one with the ID ``previous``."""
    for event in events:
        if not is_next_event(event.event_id, previous):
            return False
        previous = event.event_id or previous
    return True


def is_empty(event: StreamEvent) -> bool:
    """Return whether an event has neither data nor a number."""
    is_numbered = event.event_id is not None and event.event_id.isdecimal()
    return not is_numbered and EVENT_DATA.search(event.data) is None


def _event(data: bytes) -> StreamEvent:
    found = EVENT_ID.search(data)
    return StreamEvent(data, None if found is None else found[1].decode("latin-1"))
