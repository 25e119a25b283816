"""Holds back the last event of an SSE answer until it may be released.

The end is the event ``data: [DONE]``; all bytes before it go on at once. In
JSON a newline is always escaped, so the marker cannot stand inside an event.
Source: the OpenAI streaming format over WHATWG server-sent events.
"""

MARKER = b"\ndata: [DONE]"
FIRST_MARKER = MARKER[1:]
NOT_FOUND = -1


def release_limit(body: bytearray, released: int) -> int:
    """Return how many bytes of ``body`` may go to the caller before its end.

    ``released`` bytes went already; the answer is never below that.
    """
    if body.startswith(FIRST_MARKER):
        return 0
    position = body.find(MARKER, max(0, released - 1))
    if position != NOT_FOUND:
        return max(released, position + 1)
    return max(released, len(body) - _partial_marker(body))


def has_end_marker(body: bytearray) -> bool:
    """Return whether the answer has its end event."""
    return body.startswith(FIRST_MARKER) or MARKER in body


def _partial_marker(body: bytearray) -> int:
    """Return how many bytes at the end may be the beginning of the end event.

    The newline before it belongs to the event before and is not held.
    """
    if FIRST_MARKER.startswith(body):
        return len(body)
    newline = body.rfind(MARKER[:1], max(0, len(body) - len(MARKER)))
    tail = body[newline:]
    if newline == NOT_FOUND or not MARKER.startswith(tail):
        return 0
    return len(tail) - 1
