"""Starts, pauses and stops real processes, each by its pid.

Tools for developers and functional tests share it. Nothing else starts
processes.
"""

from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from json import loads
from os import environ, kill
from pathlib import Path
from random import randrange
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, SocketKind, socket
from subprocess import Popen
from sys import executable
from typing import NamedTuple

from clementinebend_transport.http_client import HttpClient

START_DEADLINE = 30.0
"""Seconds that a process may take to become ready on a busy machine."""

STOP_DEADLINE = 60.0
POLL_INTERVAL = 0.02
PROBE_TIMEOUT = 2.0
LOCALHOST = "127.0.0.1"
FIRST_PORT = 12_000
PORTS_OF_WORKER = 2_500
WORKERS = 8
"""Processes that run tests side by side draw from ports of their own: a port that one
has found free is bound only as a program has started, and another must not take it
meanwhile. All lie below the ports that the kernel gives to connections."""

WORKER_VARIABLE = "PYTEST_XDIST_WORKER"
"""Its value is ``gw`` and the number of the process, where tests run side by side."""

PORT_TRIES = 1000

_given_ports: set[int] = set()
SCRIPTS = Path(executable).parent
"""Where the console scripts of this environment are."""


class ProcessError(Exception):
    """A process ended, or did not become ready, when it should have."""


class DeadlineError(Exception):
    """What was waited for did not come about in time."""


class RunningProcess(NamedTuple):
    """A started process; ``port`` is the one it is ready on.

    ``log_path`` receives its stderr and ``output_path`` its stdout.
    """

    pid: int
    port: int
    name: str
    log_path: Path
    output_path: Path
    handle: "Popen[bytes]"

    @property
    def url(self) -> str:
        """Return the base URL of its HTTP server."""
        return f"http://{LOCALHOST}:{self.port}"

    def log_text(self) -> str:
        """Return what it has written to stderr so far."""
        return self.log_path.read_text(errors="replace")


def free_port() -> int:
    """Return a port on loopback that nobody has bound now, for TCP and UDP.

    It is below those that the kernel gives to connections, so that none of
    these can take it before its listener does.
    """
    first = FIRST_PORT + _worker() % WORKERS * PORTS_OF_WORKER
    last = first + PORTS_OF_WORKER
    ports = (randrange(first, last) for _ in range(PORT_TRIES))
    return next(port for port in ports if _take_port(port))


async def wait_until(
    condition: Callable[[], Awaitable[bool]], what: str, deadline: float = 30.0
) -> None:
    """Poll ``condition`` until it holds; fail naming ``what`` at the deadline."""
    loop = get_running_loop()
    end = loop.time() + deadline
    while not await condition():
        if loop.time() > end:
            raise DeadlineError(f"not within {deadline} s: {what}")
        await sleep(POLL_INTERVAL)


class Processes:
    """All processes of one owner, with their logs under ``directory``."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.started: list[RunningProcess] = []

    async def start_process(
        self,
        args: Sequence[str | Path],
        ready_url: str = f"http://{LOCALHOST}:{{port}}/healthz",
        name: str = "",
    ) -> RunningProcess:
        """Start a command and wait until ``ready_url`` answers 200.

        ``{port}`` in it stands for the port that the process prints on stdout.
        """
        process = self.spawn(args, name or Path(args[0]).name)
        if "{port}" in ready_url:
            process = await _with_printed_port(process)
        else:
            process = process._replace(port=_port_of(ready_url))
        await _wait_ready(process, ready_url.format(port=process.port))
        return process

    def kill(self, process: RunningProcess) -> None:
        """End a process at once and wait until it is gone."""
        if process.handle.poll() is None:
            kill(process.pid, SIGKILL)
        process.handle.wait(STOP_DEADLINE)

    def pause(self, process: RunningProcess) -> None:
        """Stop a process from running, without its knowledge."""
        kill(process.pid, SIGSTOP)

    def wake(self, process: RunningProcess) -> None:
        """Let a paused process run on."""
        kill(process.pid, SIGCONT)

    def request_stop(self, process: RunningProcess) -> None:
        """Ask a process to leave gracefully, and do not wait."""
        kill(process.pid, SIGTERM)

    async def terminate(self, process: RunningProcess) -> int:
        """Ask a process to leave gracefully; return its exit code."""
        self.request_stop(process)
        return await self.exit_code(process)

    async def exit_code(self, process: RunningProcess) -> int:
        """Wait until a process has ended by itself and return its exit code."""

        async def ended() -> bool:
            return process.handle.poll() is not None

        await wait_until(ended, f"{process.name} ends", STOP_DEADLINE)
        return process.handle.wait()

    def stop_all(self) -> None:
        """End all processes that still run."""
        for process in self.started:
            self.kill(process)

    def spawn(self, args: Sequence[str | Path], name: str) -> RunningProcess:
        """Start a command and do not wait for it."""
        number = len(self.started)
        log_path = self.directory / f"{number:02}-{name}.log"
        output_path = self.directory / f"{number:02}-{name}.out"
        command = [str(SCRIPTS / args[0]), *map(str, args[1:])]
        with log_path.open("wb") as log, output_path.open("wb") as output:
            handle = Popen(
                command,
                stdout=output,
                stderr=log,
                env={**environ, "PYTHONUNBUFFERED": "1"},
            )
        process = RunningProcess(handle.pid, 0, name, log_path, output_path, handle)
        self.started.append(process)
        return process


@contextmanager
def running_processes(directory: Path) -> Iterator[Processes]:
    """Give a place to start processes; all are ended when the block ends."""
    processes = Processes(directory)
    try:
        yield processes
    finally:
        processes.stop_all()


async def run_to_end(
    processes: Processes, args: Sequence[str | Path], name: str = ""
) -> tuple[int, str]:
    """Run a command that ends by itself; return its exit code and stdout."""
    process = processes.spawn(args, name or Path(args[0]).name)
    code = await processes.exit_code(process)
    return code, process.output_path.read_text(errors="replace")


async def _with_printed_port(process: RunningProcess) -> RunningProcess:
    async def printed() -> bool:
        _check_alive(process)
        return b"\n" in process.output_path.read_bytes()

    await wait_until(printed, f"{process.name} prints its port", START_DEADLINE)
    line = process.output_path.read_text().splitlines()[0]
    return process._replace(port=loads(line)["port"])


async def _wait_ready(process: RunningProcess, url: str) -> None:
    client = HttpClient()

    async def ready() -> bool:
        _check_alive(process)
        outcome = await client.request("GET", url, timeout=PROBE_TIMEOUT)
        return outcome.is_ok() and outcome.ok.status == 200

    try:
        await wait_until(ready, f"{process.name} is ready", START_DEADLINE)
    finally:
        await client.close()


def _worker() -> int:
    """Return the number of this process among those that run tests side by side."""
    number = environ.get(WORKER_VARIABLE, "").removeprefix("gw")
    return int(number) + 1 if number.isdecimal() else 0


def _take_port(port: int) -> bool:
    if port in _given_ports:
        return False
    if not all(_is_free(port, kind) for kind in (SOCK_STREAM, SOCK_DGRAM)):
        return False
    _given_ports.add(port)
    return True


def _is_free(port: int, kind: SocketKind) -> bool:
    with socket(AF_INET, kind) as probe:
        try:
            probe.bind((LOCALHOST, port))
        except OSError:
            return False
    return True


def _check_alive(process: RunningProcess) -> None:
    code = process.handle.poll()
    if code is not None:
        raise ProcessError(
            f"{process.name} ended with {code}:\n{process.log_text()[-4000:]}"
        )


def _port_of(url: str) -> int:
    authority = url.split("/")[2]
    return int(authority.rpartition(":")[2])
