"""What an operators' command uses, by the size of the declarations."""

from asyncio import run as run_loop
from asyncio import sleep
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from clementinebend_bench.launcher.figures import cpu_seconds, most_resident_bytes
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
LOOK_INTERVAL = 0.005


class CommandUse(NamedTuple):
    """Processor seconds and most memory of one command.

    Both as last seen before its end, at most ``LOOK_INTERVAL`` and the
    machine's delays earlier.
    """

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
    return await _watch(processes, command)


async def _watch(processes: Processes, command: list[str | Path]) -> CommandUse:
    """Run a command to its end and return what it used."""
    process = processes.spawn(command, "operator-audit")
    use = CommandUse(0.0, 0.0)
    while process.handle.poll() is None:
        seen = CommandUse(cpu_seconds(process.pid), most_resident_bytes(process.pid))
        use = CommandUse(*map(max, use, seen))
        await sleep(LOOK_INTERVAL)
    if process.handle.returncode:
        raise ProcessError(f"audit failed:\n{process.log_text()}")
    return use
