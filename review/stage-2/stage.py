"""A small deployment on loopback: the programs of the deploy file as processes, and
stand-ins of the store, the engines, the platform and the clients.

The store's and the engines' stand-ins are those of ``tests/lib``; the platform (start,
restart, readiness, choice of an entry) and the clients are written here. Each machine
has a loopback address of its own, as the deploy file fixes the port for metrics.
"""

import asyncio
import itertools
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

from msgspec.json import encode

from tests.lib.platform_engine import EngineStandin
from tests.lib.platform_store import StoreStandin

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = 3.0  # stability_window_ms
RESTART_S = 0.5  # "A process that exits is restarted after a short delay"
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464  # in the deploy file

SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{role}"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_port_range = [{first}, {last}]
heartbeat_ms = 1200
[listen]
{listen}
[limits]
cpu_share = 0.817
cores = 1
memory_mb = {memory}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = {grace}
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
settle_ms = 1500
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


def free_ports(ip, number):
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(number)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def free_network():
    """Return the first three numbers of loopback addresses that nobody uses."""
    while True:
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.1", METRICS_PORT))
            return net
        except OSError:
            continue


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Machine:
    """One machine with one role; the platform restarts a process that ends."""

    def __init__(self, stage, name, role, ip, zone):
        self.stage, self.name, self.role, self.ip = stage, name, role, ip
        ports = free_ports(ip, 3)
        self.front, self.ready_port, first = ports
        listen = ""
        if role == "entry":
            listen = (
                f'front = "{ip}:{self.front}"\nready_address = "{ip}:{self.ready_port}"'
            )
        self.settings = stage.folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=name, role=role, ip=ip, zone=zone, first=first, last=first + 15,
                listen=listen, grace=stage.grace, memory=stage.memory_mb, store=f"127.0.0.1:{stage.store.port}",
            )
        )
        self.process = None
        self.starts = 0
        self.started_at = 0.0
        self.own_ends = []
        self.disturbed_at = -1e9  # last kill, stop or SIGTERM by the platform
        self.restarting = True

    async def start(self):
        run = shlex.split(self.stage.deploy["roles"][self.role]["run"])
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CLEMENTINEBEND_SETTINGS"] = str(self.settings)
        self.starts += 1
        log = (self.stage.folder / f"{self.name}-{self.starts}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=asyncio.subprocess.STDOUT, start_new_session=True,
        )
        log.close()
        self.started_at = time.monotonic()
        self.stage.record.line(f"platform starts {self.name} (start {self.starts})")

    async def keep(self):
        """Restart the process whenever it has ended."""
        while True:
            await self.start()
            code = await self.process.wait()
            own = time.monotonic() - self.disturbed_at > self.stage.grace + 1.0
            if own:
                self.own_ends.append(code)
            why = "by itself" if own else "as it was told"
            self.stage.record.line(f"{self.name} ended {why}, exit code {code}")
            if own:
                for line in self.log_tail():
                    self.stage.record.line(f"  its log: {line}")
            if not self.restarting:
                return
            await asyncio.sleep(RESTART_S)

    def log_tail(self):
        text = (self.stage.folder / f"{self.name}-{self.starts}.log").read_text(errors="replace")
        return [line[:300] for line in text.splitlines() if "CRITICAL" in line][-2:]

    def signal(self, number, planned=True):
        if planned:
            self.disturbed_at = time.monotonic()
        self.stage.record.line(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def resident_mb(self):
        """Return the process's memory in 2^20 bytes, without what the kernel holds."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        values = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(values[0]) / 1024 if values else 0.0

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /clementinebend/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Engine(EngineStandin):
    """The project's engine; what it ran is recorded."""

    record = None

    async def _answer(self, request):
        before = sum(self.runs.values())
        try:
            answer = await super()._answer(request)
        finally:
            if sum(self.runs.values()) > before and self.record:
                self.record.line(f"engine {self.name} ran {request.headers.get('x-request-id')}")
        return answer


class Stage:
    """The whole deployment."""

    def __init__(self, folder, grace=8, memory_mb=300):
        self.record = Record(folder)
        self.memory_mb = memory_mb
        self.peak_mb = Counter()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.grace = grace
        self.store = StoreStandin()
        self.engines = []
        self.entries = []
        self.gateways = []
        self.tasks = []
        self.version = 0
        self.ready = {}
        self.ids = itertools.count(1)
        self.turn = itertools.count()

    async def start(self, entries=3, engines=None):
        await self.store.start()
        for service, number in (engines or {"pool": 4, "desk": 3}).items():
            for place in range(number):
                engine = Engine(service, f"z{place % 3}")
                engine.record = self.record
                await engine.start()
                self.engines.append(engine)
                self.store.put("servers", engine.name, engine.entry())
        net = free_network()
        for place in range(entries):
            self.entries.append(
                Machine(self, f"edge-{place}", "entry", f"{net}.{place + 1}", f"z{place % 3}")
            )
        for place in range(3):
            self.gateways.append(
                Machine(self, f"side-{place}", "gateway", f"{net}.{place + 101}", f"z{place}")
            )
        for machine in (*self.entries, *self.gateways):
            self.tasks.append(asyncio.create_task(machine.keep()))
        self.tasks.append(asyncio.create_task(self._balance()))

    async def until_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if len(self.ready) == len(self.entries) and all(self.ready.values()):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("not all entries became ready")

    async def _balance(self):
        """Ask each entry once a second; two misses take it out of rotation."""
        misses = Counter()
        while True:
            answers = await asyncio.gather(*(each.is_ready() for each in self.entries))
            for machine, ok in zip(self.entries, answers, strict=True):
                misses[machine.name] = 0 if ok else misses[machine.name] + 1
                if ok:
                    self.ready[machine.name] = True
                elif misses[machine.name] >= 2:
                    self.ready[machine.name] = False
            await asyncio.sleep(1.0)

    async def watch_memory(self):
        """Kill a process that exceeds ``memory_mb``, as the platform does."""
        while True:
            for machine in self.entries:
                mb = machine.resident_mb()
                self.peak_mb[machine.name] = max(self.peak_mb[machine.name], mb)
                if mb > self.memory_mb:
                    self.record.line(
                        f"platform kills {machine.name}: {mb:.0f} MB, {self.memory_mb} allowed"
                    )
                    machine.process.kill()
                    await machine.process.wait()
            await asyncio.sleep(0.05)

    def pick(self):
        """Return the entry for a new channel."""
        fit = [each for each in self.entries if self.ready.get(each.name)] or self.entries
        return fit[next(self.turn) % len(fit)]

    def configure(self, routes, tenants, services):
        """Write a version of the configuration."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        self.store.put("op", "config", encode(document))
        self.record.line(f"operator: configuration {self.version}")

    async def stop(self):
        for machine in (*self.entries, *self.gateways):
            machine.restarting = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in (*self.entries, *self.gateways):
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        self.temporary.cleanup()


def route(prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        "name": f"r{prefix.strip('/')}", "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 6000, "target_latency_ms": 600, "priority": 1, "service": service,
        "max_attempts": 1, "public": False, "sticky": kind == "streaming",
        "resumable": False, **fields,
    }


class Channel:
    """A client's kept channel to one entry: one request at a time."""

    def __init__(self, stage, machine):
        self.stage, self.machine = stage, machine
        self.reader = self.writer = None
        self.answered = 0

    async def open(self):
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.machine.ip, self.machine.front
            )

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def send(self, method, path, headers, body=b""):
        """Send a request; return (status, headers, body), or why the channel ended.

        Returns None for the status if no byte of an answer came, and -1 if the answer
        is not complete.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        got = b""
        try:
            self.writer.write(head + body)
            while b"\r\n\r\n" not in got:
                piece = await self.reader.read(65536)
                if not piece:
                    return (None if not got else -1), {}, b"closed"
                got += piece
            raw, _, rest = got.partition(b"\r\n\r\n")
            first, *fields = raw.decode("latin-1").split("\r\n")
            answer = {}
            for field in fields:
                name, _, value = field.partition(":")
                answer[name.strip().lower()] = value.strip()
            whole, data = await self._body(answer, rest)
        except OSError as error:
            return (None if not got else -1), {}, str(error).encode()
        if not whole:
            return -1, answer, data
        self.answered += 1
        if answer.get("connection", "").lower() == "close":
            self.close()
        return int(first.split()[1]), answer, data

    async def _body(self, headers, rest):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                while b"\r\n" not in rest:
                    piece = await self.reader.read(65536)
                    if not piece:
                        return False, data
                    rest += piece
                size, _, rest = rest.partition(b"\r\n")
                length = int(size.split(b";")[0], 16)
                while len(rest) < length + 2:
                    piece = await self.reader.read(65536)
                    if not piece:
                        return False, data + rest
                    rest += piece
                data, rest = data + rest[:length], rest[length + 2 :]
                if length == 0:
                    return True, data
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            piece = await self.reader.read(65536)
            if not piece:
                return False, rest
            rest += piece
        return True, rest


def main(case, folder, limit=110.0, **settings):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""

    async def run():
        stage = Stage(folder, **settings)
        try:
            async with asyncio.timeout(limit):
                return await case(stage)
        finally:
            await stage.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:  # the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
