"""Decides what callers may take of an entry's memory and descriptors. No I/O."""

from clementinebend_admission.entry_load import EntryCapacity

BODY_FRACTION = 0.38
"""Part of the entry's memory that bodies of requests may take. A quarter is left to the
answers that callers have not read, and the rest to the process itself."""

RECEIVED_FRACTION = 0.08
"""Part of the entry's memory that heads of requests, and bytes that are not parsed yet,
may take."""


CONNECTION_FRACTION = 0.12
CONNECTION_BYTES = 44 * 1024
"""Part of the entry's memory that connections of callers may take, and what each takes
beside its request, with the 32 KiB that the system keeps of it unread."""

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files; source: the platform's page on machines."""

CALLER_FRACTION = 0.6
"""Part of the other descriptors that callers may take. A call in progress has another
connection, to its endpoint."""

MAX_CONNECTIONS = 10_000
MIN_CONNECTIONS = 16


def max_connections(capacity: EntryCapacity) -> int:
    """Return how many connections of callers an entry takes."""
    limits = [MAX_CONNECTIONS]
    if capacity.memory is not None:
        limits.append(int(capacity.memory * CONNECTION_FRACTION) // CONNECTION_BYTES)
    if capacity.descriptors is not None:
        sockets = capacity.descriptors - FILE_DESCRIPTORS
        limits.append(int(sockets * CALLER_FRACTION))
    return max(MIN_CONNECTIONS, min(limits))


def max_bodies(memory: int | None) -> int | None:
    """Return the bound on the bytes of all bodies, None if memory is unlimited."""
    return _part(memory, BODY_FRACTION)


def max_received(memory: int | None) -> int | None:
    """Return the bound on the bytes of all else, None if memory is unlimited."""
    return _part(memory, RECEIVED_FRACTION)


def _part(memory: int | None, fraction: float) -> int | None:
    return None if memory is None else int(memory * fraction)
