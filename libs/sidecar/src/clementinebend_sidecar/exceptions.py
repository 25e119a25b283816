"""Failures of a sidecar, in words that tell an operator what to do."""


class SidecarError(Exception):
    """Base of all exceptions that stop a sidecar."""


class AddressInUseError(SidecarError):
    """An address in the settings cannot be bound."""

    def __init__(self, host: str, port: int, reason: str) -> None:
        super().__init__(
            f"cannot listen on {host}:{port}: {reason};"
            " stop the process that holds it, or set another port"
        )
