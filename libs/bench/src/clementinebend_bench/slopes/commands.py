"""What an operators' command uses, by the size of the declarations."""

from asyncio import run as run_loop
from asyncio import to_thread
from os import wait4, waitstatus_to_exitcode
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from clementinebend_bench.launcher.fleet_files import write_yaml
from clementinebend_bench.launcher.processes import (
    ProcessError,
    Processes,
    running_processes,
)
from clementinebend_bench.slopes.documents import document_of
from clementinebend_bench.slopes.drivers import LogDriver
from clementinebend_bench.slopes.fit import Line, Point, fit_line
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_transport.http_client import HttpClient

BUDGET_SIZES = (20, 1_000, 5_000)
RSS_UNIT = 1024
"""Bytes in a unit of ``ru_maxrss``; source: getrusage(2)."""


class CommandUse(NamedTuple):
    """Processor seconds and most memory of one command."""

    cpu: float
    resident: float


def command_lines() -> dict[str, Line]:
    """Return the lines of ``clementinebend audit``, which reads the stream."""
    with TemporaryDirectory(prefix="clementinebend-commands-") as directory:
        used = run_loop(_measure_all(Path(directory)))
    return {
        f"operator: {figure} by budgets": fit_line(
            Point(size, getattr(use, figure)) for size, use in used.items()
        )
        for figure in CommandUse._fields
    }


async def _measure_all(directory: Path) -> dict[int, CommandUse]:
    with running_processes(directory) as processes:
        client = HttpClient()
        try:
            return {
                size: await _measure(processes, client, size) for size in BUDGET_SIZES
            }
        finally:
            await client.close()


async def _measure(processes: Processes, client: HttpClient, size: int) -> CommandUse:
    log = await processes.start_process(["clementinebend-standin-log"])
    driver = LogDriver(http_log_client(log.url, client, "driver"), document_of(size))
    await driver.declare()
    settings = {"log_url": log.url, "author": "jana"}
    path = write_yaml(processes.directory / f"operator-{size}.yaml", settings)
    command: list[str | Path] = ["clementinebend", "audit", "--settings", path]
    process = processes.spawn(command, "operator-audit")
    _, status, usage = await to_thread(wait4, process.pid, 0)
    process.handle.returncode = waitstatus_to_exitcode(status)
    if process.handle.returncode:
        raise ProcessError(f"audit failed:\n{process.log_text()}")
    return CommandUse(usage.ru_utime + usage.ru_stime, usage.ru_maxrss * RSS_UNIT)
