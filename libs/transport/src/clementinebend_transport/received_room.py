"""Room in a server's memory for what callers send beside the bodies of requests."""


class ReceivedRoom:
    """Bytes of heads, and of what is not parsed yet; ``limit`` None is no bound."""

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.held = 0

    def is_full(self) -> bool:
        """Return whether no more should be received than what ends a request."""
        return self.limit is not None and self.held >= self.limit
