"""Failures of a sidecar, in words that tell an operator what to do."""


class SidecarError(Exception):
    """Base of all exceptions that stop a sidecar."""


class AddressInUseError(SidecarError):
    """An address in the settings cannot be bound; ``setting`` is its port's key."""

    def __init__(self, setting: str, host: str, port: int, reason: str) -> None:
        super().__init__(
            f"cannot listen on {host}:{port}: {reason};"
            f" stop the process that holds it, or set {setting!r} to another port"
        )
