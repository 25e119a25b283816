"""Errors of declarations: a value for invalid input, an exception for damage."""

from typing import NamedTuple


class DeclarationError(NamedTuple):
    """An error in the declarations: its key path, the problem and what is allowed."""

    path: tuple[str, ...]
    problem: str
    allowed: str
    file: str = ""

    def __str__(self) -> str:
        """Return one line that tells the user what to change."""
        place = ".".join(self.path)
        found = f"{place} {self.problem}".strip()
        prefix = f"{self.file}: " if self.file else ""
        return f"{prefix}{found}; allowed: {self.allowed}"


class CheckpointError(Exception):
    """A checkpoint does not match its own digest or cannot be decoded.

    The log or a peer returned damaged bytes: use another checkpoint.
    """
