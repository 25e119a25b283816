"""Decides how much memory may be taken by what callers send. No I/O."""

BODY_FRACTION = 0.38
"""Part of the entry's memory that bodies of requests may take. A quarter is left to the
answers that callers have not read, and the rest to the process itself."""

RECEIVED_FRACTION = 0.08
"""Part of the entry's memory that heads of requests, and bytes that are not parsed yet,
may take."""


def max_bodies(memory: int | None) -> int | None:
    """Return the bound on the bytes of all bodies, None if memory is unlimited."""
    return _part(memory, BODY_FRACTION)


def max_received(memory: int | None) -> int | None:
    """Return the bound on the bytes of all else, None if memory is unlimited."""
    return _part(memory, RECEIVED_FRACTION)


def _part(memory: int | None, fraction: float) -> int | None:
    return None if memory is None else int(memory * fraction)
