"""What happens when a task that owns state ends with an error."""

from asyncio import Task
from collections.abc import Callable
from logging import getLogger
from typing import Any

logger = getLogger(__name__)

BROKEN_EXIT_STATUS = 70
"""Exit status of a process whose state cannot be trusted any more."""

OnBroken = Callable[[BaseException], None]


def stop_process(error: BaseException) -> None:
    """End the process: what it knows contradicts the log."""
    logger.critical("broken invariant, stopping: %s", error)
    raise SystemExit(BROKEN_EXIT_STATUS)


def watch(task: Task[Any], on_broken: OnBroken) -> None:
    """Call ``on_broken`` if ``task`` ends with an error."""
    task.add_done_callback(lambda done: _check(done, on_broken))


def _check(task: Task[Any], on_broken: OnBroken) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        on_broken(error)
