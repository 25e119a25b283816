"""Splits the bytes of a response into server-sent events.

Format: WHATWG HTML Living Standard, "Server-sent events".
"""

from re import MULTILINE, compile
from typing import NamedTuple

EVENT_END = compile(rb"\r?\n\r?\n")
EVENT_ID = compile(rb"^id: ?([^\r\n]*)", MULTILINE)


MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of an event that is buffered until it is complete.

Typical events have a few hundred bytes.
"""


class StreamEvent(NamedTuple):
    """One complete event: its bytes, and its ID if it has one."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Splits chunks into complete events, and buffers the incomplete rest."""

    def __init__(self) -> None:
        self.rest = b""

    def is_too_large(self) -> bool:
        """Return whether the buffered, incomplete event is too large."""
        return len(self.rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add a chunk and return the events that it completes."""
        data = self.rest + chunk
        events = []
        start = 0
        for end in EVENT_END.finditer(data):
            events.append(_event(data[start : end.end()]))
            start = end.end()
        self.rest = data[start:]
        return events


def is_next_event(event_id: str | None, previous: str | None) -> bool:
    """Return whether an event may directly follow the one with the ID ``previous``.

    IDs must be consecutive numbers. An event without an ID, or with one that is not a
    number, is accepted in any order.
    """
    if event_id is None or previous is None:
        return True
    if not (event_id.isdecimal() and previous.isdecimal()):
        return True
    return int(event_id) == int(previous) + 1


def _event(data: bytes) -> StreamEvent:
    found = EVENT_ID.search(data)
    return StreamEvent(data, None if found is None else found[1].decode("latin-1"))
