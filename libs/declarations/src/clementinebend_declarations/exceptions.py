"""Errors of declarations: a value for what users wrote, one for damage."""

from typing import NamedTuple


class DeclarationError(NamedTuple):
    """One fault in the declarations: where, what, and what is allowed."""

    path: tuple[str, ...]
    problem: str
    allowed: str
    file: str = ""

    def __str__(self) -> str:
        """Return one line that tells a user what to change."""
        place = ".".join(self.path)
        found = f"{place} {self.problem}".strip()
        prefix = f"{self.file}: " if self.file else ""
        return f"{prefix}{found}; allowed: {self.allowed}"


class CheckpointError(Exception):
    """A checkpoint does not match its own digest, or has another shape.

    The log or a peer handed on damaged bytes: take another checkpoint.
    """
