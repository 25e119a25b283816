"""Holds back the last event of an SSE answer until it may be released.

The end is the event ``data: [DONE]``; all bytes before it go on at once. In
JSON a newline is always escaped, so the marker cannot stand inside an event.
Source: the OpenAI streaming format over WHATWG server-sent events.
"""

END_MARKER = b"\ndata: [DONE]"
INITIAL_END_MARKER = END_MARKER[1:]
NOT_FOUND = -1


def release_limit(body: bytearray, released: int) -> int:
    """Return how many bytes of ``body`` may go to the caller before its end.

    ``released`` bytes went already; the answer is never below that.
    """
    if body.startswith(INITIAL_END_MARKER):
        return 0
    position = body.find(END_MARKER, max(0, released - 1))
    if position != NOT_FOUND:
        return max(released, position + 1)
    return max(released, len(body) - _partial_marker_length(body))


def has_end_marker(body: bytearray) -> bool:
    """Return whether the answer has its end event."""
    return body.startswith(INITIAL_END_MARKER) or END_MARKER in body


def _partial_marker_length(body: bytearray) -> int:
    """Return how many bytes at the end may be the beginning of the end event.

    The newline before it belongs to the event before and is not held.
    """
    if INITIAL_END_MARKER.startswith(body):
        return len(body)
    newline = body.rfind(END_MARKER[:1], max(0, len(body) - len(END_MARKER)))
    tail = body[newline:]
    if newline == NOT_FOUND or not END_MARKER.startswith(tail):
        return 0
    return len(tail) - 1
