"""Decides how much memory the bodies of requests may take. No I/O."""

BODY_FRACTION = 0.4
"""Part of the entry's memory that bodies of requests may take. A quarter is left to the
answers that callers have not read, and the rest to the process itself."""


def max_bodies(memory: int | None) -> int | None:
    """Return the bound on the bytes of all bodies, None if memory is unlimited."""
    return None if memory is None else int(memory * BODY_FRACTION)
