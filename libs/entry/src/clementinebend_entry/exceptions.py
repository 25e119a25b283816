"""Errors that stop an entry, with messages that tell an operator what to do.

Outcomes of requests are values, see ``outcomes``; these are for settings
that cannot work, invariants that are broken, and streams that must be cut.
"""


class EntryError(Exception):
    """Base of all errors of this package."""


class ListenError(EntryError):
    """The process cannot listen on the address in its settings.

    ``setting`` is the key of the port.
    """

    def __init__(self, setting: str, host: str, port: int, cause: str) -> None:
        super().__init__(
            f"cannot listen on {host}:{port} ({cause}); "
            f"set {setting!r} to a free port in the settings file, or to 0 for any"
        )


class BrokenInvariant(EntryError):  # noqa: N818 - the standard term
    """A fact that must always hold does not; the process must stop."""

    def __init__(self, fact: str) -> None:
        super().__init__(
            f"broken invariant: {fact}; stop this entry, keep its log lines, "
            "and report them: its replacement starts from the log"
        )


class AnswerCutOff(EntryError):  # noqa: N818 - says what happened
    """A streamed answer cannot be completed: the body must end unterminated."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"streamed answer cut off: {reason}")
