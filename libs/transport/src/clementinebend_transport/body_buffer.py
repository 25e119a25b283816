"""The body of a request while it is read."""

PIECE_BYTES = 64 * 1024
"""Size from which on a part of a body is kept apart: a buffer that grows takes up to an
eighth more than it holds."""


class BodyBuffer:
    """What has come of a body; ``size`` is in bytes."""

    def __init__(self) -> None:
        self.size = 0
        self.pieces: list[bytes] = []
        self.last = bytearray()

    def add(self, data: bytes | bytearray) -> None:
        """Add what follows."""
        self.size += len(data)
        self.last += data
        if len(self.last) >= PIECE_BYTES:
            self._end_piece()

    def whole(self) -> bytes:
        """Return the whole body, and hold nothing of it any more."""
        self._end_piece()
        body = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        return body

    def _end_piece(self) -> None:
        if self.last:
            self.pieces.append(bytes(self.last))
            self.last = bytearray()
