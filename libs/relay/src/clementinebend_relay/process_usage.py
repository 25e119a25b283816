"""What this process uses of its host: memory, and open files and sockets.

Source: proc(5).
"""

from os import sysconf
from pathlib import Path

MEMORY_PAGES = Path("/proc/self/statm")
DESCRIPTORS = Path("/proc/self/fd")


def memory_bytes() -> int:
    """Return the resident memory in bytes, 0 if it cannot be read."""
    try:
        resident = MEMORY_PAGES.read_text().split()[1]
    except OSError:
        return 0
    return int(resident) * sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return the number of open files and sockets, 0 if it cannot be read."""
    try:
        return sum(1 for _ in DESCRIPTORS.iterdir())
    except OSError:
        return 0
