"""Events of a stream, cut out of the bytes of an answer.

Source: WHATWG HTML, server-sent events.
"""

from re import MULTILINE, compile
from typing import NamedTuple

EVENT_END = compile(rb"\r?\n\r?\n")
EVENT_ID = compile(rb"^id: ?([^\r\n]*)", MULTILINE)


MAX_EVENT_BYTES = 256 * 1024
"""The largest event held until it is whole; usual ones have some hundred bytes."""


class StreamEvent(NamedTuple):
    """One whole event: its bytes, and its id if it has one."""

    data: bytes
    event_id: str | None


class EventSplitter:
    """Cuts whole events out of pieces; keeps the rest for the next piece."""

    def __init__(self) -> None:
        self.rest = b""

    def is_too_large(self) -> bool:
        """Tell whether the event that is still to be completed is too large."""
        return len(self.rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes."""
        data = self.rest + chunk
        events = []
        start = 0
        for end in EVENT_END.finditer(data):
            events.append(_event(data[start : end.end()]))
            start = end.end()
        self.rest = data[start:]
        return events


def is_next_event(event_id: str | None, previous: str | None) -> bool:
    """Tell whether an event may come after one numbered ``previous``.

    Events without a number, or with one that is none, are taken as they come.
    """
    if event_id is None or previous is None:
        return True
    if not (event_id.isdecimal() and previous.isdecimal()):
        return True
    return int(event_id) == int(previous) + 1


def _event(data: bytes) -> StreamEvent:
    found = EVENT_ID.search(data)
    return StreamEvent(data, None if found is None else found[1].decode("latin-1"))
