"""Real processes in tests: the launcher of the bench, under a test's names."""

from clementinebend_bench.launcher.processes import (
    LOCALHOST,
    DeadlineError,
    ProcessError,
    Processes,
    RunningProcess,
    free_port,
    run_to_end,
    running_processes,
    wait_until,
)

__all__ = [
    "LOCALHOST",
    "DeadlineError",
    "ProcessError",
    "Processes",
    "RunningProcess",
    "free_port",
    "run_to_end",
    "running_processes",
    "wait_until",
]
