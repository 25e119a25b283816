"""What an execution tells the one who answers its caller."""

from typing import NamedTuple

from clementinebend_entry.outcomes import ErrorOutcome


class Begun(NamedTuple):
    """A streamed answer begins."""

    status: int
    content_type: str


class Part(NamedTuple):
    """The next bytes of a streamed answer."""

    data: bytes


class Whole(NamedTuple):
    """The answer is whole and its receipt is safe.

    ``data`` is the rest of a streamed answer, or all of another one.
    """

    status: int
    content_type: str
    data: bytes


Piece = Begun | Part | Whole | ErrorOutcome
"""An ``ErrorOutcome`` ends the answer, also one that has begun."""
