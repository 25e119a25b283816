"""The head of a response, and how the end of its body is told."""

from h11 import Response as HttpResponse

from clementinebend_transport.http_types import Response

CLOSE_HEADER = (b"connection", b"close")
BODILESS_STATUSES = frozenset((204, 304))
FRAMING = frozenset(("content-length", "transfer-encoding", "connection"))
"""Headers that are the connection's own business."""

Framing = tuple[tuple[bytes, bytes], ...]
"""The headers that tell where a body ends."""

CHUNKED: Framing = ((b"transfer-encoding", b"chunked"),)
NO_BODY: Framing = ((b"content-length", b"0"),)


def sized(body: bytes) -> Framing:
    """Return the framing of a body whose size is known."""
    return ((b"content-length", b"%d" % len(body)),)


def has_body(method: str, status: int) -> bool:
    """Return whether a response to a request of this method has a body."""
    return method != "HEAD" and status not in BODILESS_STATUSES


def response_head(response: Response, framing: Framing, is_last: bool) -> HttpResponse:
    """Return the head of a response; one that ``is_last`` closes the connection.

    Raises ``LocalProtocolError`` or ``UnicodeEncodeError`` if it is invalid.
    """
    own = (
        (name.encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in response.headers
        if name.lower() not in FRAMING
    )
    framing = () if response.status in BODILESS_STATUSES else framing
    closing = (CLOSE_HEADER,) if is_last else ()
    headers = [*own, *framing, *closing]
    return HttpResponse(status_code=response.status, headers=headers)
