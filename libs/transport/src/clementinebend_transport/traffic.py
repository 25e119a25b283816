"""Counts the bytes that a process receives and sends, without packet headers."""


class Traffic:
    """Bytes received and sent since the start of the process."""

    def __init__(self) -> None:
        self.received = 0
        self.sent = 0


traffic = Traffic()
"""The bytes of all channels and datagram sockets of this process."""
