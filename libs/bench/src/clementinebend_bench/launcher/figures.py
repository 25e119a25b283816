"""What the kernel tells of a process.

Source: proc(5). ``schedstat`` counts the same time as ``stat``, in
nanoseconds instead of clock ticks.
"""

from pathlib import Path
from resource import getpagesize

NANOSECONDS = 1e9
PROC = Path("/proc")
RESIDENT_FIELD = 1
KIB = 1024


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used in all its threads."""
    threads = (PROC / str(pid) / "task").iterdir()
    return sum(_thread_seconds(thread) for thread in threads)


def resident_bytes(pid: int) -> int:
    """Return the memory of a process that is in use now."""
    fields = (PROC / str(pid) / "statm").read_text().split()
    return int(fields[RESIDENT_FIELD]) * getpagesize()


def most_resident_bytes(pid: int) -> int:
    """Return the most memory of a process so far; 0 once it has ended."""
    lines = (PROC / str(pid) / "status").read_text().splitlines()
    peaks = (line.split() for line in lines if line.startswith("VmHWM:"))
    return next((int(fields[1]) * KIB for fields in peaks), 0)


def _thread_seconds(thread: Path) -> float:
    return int((thread / "schedstat").read_text().split()[0]) / NANOSECONDS
