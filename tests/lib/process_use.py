"""What a process takes of its machine, watched while it runs.

Source: proc(5).
"""

import os
from asyncio import Task, create_task, sleep
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CONNECTIONS = Path("/proc/net/tcp")
WATCH_SECONDS = 0.02
QUEUE_STEPS = 5
"""Samples of the process for one of its sockets, which takes longer."""


class Use(NamedTuple):
    """Memory in bytes, that of the queues of sockets, and open descriptors."""

    resident: int = 0
    queued: int = 0
    descriptors: int = 0

    def highest(self, other: "Use") -> "Use":
        """Return the highest of each."""
        return Use(*map(max, self, other))


def resident_bytes(pid: int) -> int:
    """Return how much memory a process takes."""
    statm = Path(f"/proc/{pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def descriptor_count(pid: int) -> int:
    """Return how many files and sockets a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def queued_bytes(port: int) -> int:
    """Return the bytes that connections to a port hold unread or unsent."""
    return sum(_queues(port))


def _queues(port: int) -> Iterator[int]:
    suffix = f":{port:04X}"
    for line in CONNECTIONS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(suffix):
            unsent, _, unread = fields[4].partition(":")
            yield int(unsent, 16) + int(unread, 16)


class UseWatch:
    """Watches a process and the connections to its port, as a context manager.

    ``most`` is the most seen of each, ``most_memory`` of memory and queues together.
    """

    def __init__(self, pid: int, port: int) -> None:
        self.pid = pid
        self.port = port
        self.most = Use()
        self.most_memory = 0
        self.task: Task[None] | None = None

    async def __aenter__(self) -> Self:
        self.task = create_task(self._watch())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _watch(self) -> None:
        with suppress(FileNotFoundError, ProcessLookupError):
            while True:
                self._sample()
                for _ in range(QUEUE_STEPS):
                    await sleep(WATCH_SECONDS)
                    self._observe(Use(resident=resident_bytes(self.pid)))

    def _sample(self) -> None:
        use = Use(
            resident_bytes(self.pid),
            queued_bytes(self.port),
            descriptor_count(self.pid),
        )
        self._observe(use)

    def _observe(self, use: Use) -> None:
        self.most = self.most.highest(use)
        self.most_memory = max(self.most_memory, use.resident + use.queued)
