"""Finds the end event of an SSE answer, which is held back until completion.

The end event is ``data: [DONE]``; all bytes before it are released at once.
JSON escapes newlines, so the marker cannot occur inside an event. The format
is OpenAI streaming over WHATWG server-sent events.
"""

END_MARKER = b"\ndata: [DONE]"
INITIAL_END_MARKER = END_MARKER[1:]
NOT_FOUND = -1


def release_limit(body: bytearray, released: int) -> int:
    """Return how many bytes of ``body`` may be sent before the answer ends.

    The result is at least ``released``, the number of bytes already sent.
    """
    if body.startswith(INITIAL_END_MARKER):
        return 0
    position = body.find(END_MARKER, max(0, released - 1))
    if position != NOT_FOUND:
        return max(released, position + 1)
    return max(released, len(body) - _partial_marker_length(body))


def has_end_marker(body: bytearray) -> bool:
    """Return whether the answer contains its end event."""
    return body.startswith(INITIAL_END_MARKER) or END_MARKER in body


def _partial_marker_length(body: bytearray) -> int:
    """Return how many trailing bytes may be the start of the end event.

    The newline before the end event belongs to the previous event and is not
    held back.
    """
    if INITIAL_END_MARKER.startswith(body):
        return len(body)
    newline = body.rfind(END_MARKER[:1], max(0, len(body) - len(END_MARKER)))
    tail = body[newline:]
    if newline == NOT_FOUND or not END_MARKER.startswith(tail):
        return 0
    return len(tail) - 1
