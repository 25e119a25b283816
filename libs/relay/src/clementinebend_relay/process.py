"""One entry process on the direct path: its tasks and its planned stop."""

from asyncio import Event, Task, create_task, gather, get_running_loop, sleep
from collections.abc import Coroutine
from logging import getLogger
from typing import Any

from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_relay.attempts import Attempts
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.configuration import ConfigurationTable
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.following import Follower
from clementinebend_relay.handler import CallHandler
from clementinebend_relay.interfaces import HttpProtocol, Logs, Records
from clementinebend_relay.models import Configuration
from clementinebend_relay.peers import Peers
from clementinebend_relay.plain import PlainRelay
from clementinebend_relay.settings import RelaySettings
from clementinebend_relay.streams import StreamRelay
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import Request, Response, ServerLimits
from clementinebend_transport.lifecycle import EXIT_OK, EXIT_STOP_INCOMPLETE
from clementinebend_transport.metrics import render_metrics

logger = getLogger(__name__)

LISTEN_AFTER_STOP = 2.4
"""Seconds for which new connections are still taken after the order to stop:
the balancer asks each second, and looks twice before it turns away."""

STOP_MARGIN = 0.4
"""Seconds before the kill at which what still runs is cut off, so that what
was spent is still written to the store."""

LAST_COMMIT = 0.3
"""Seconds for writing down what was spent, at the very end."""


class RelayProcess:
    """All that one entry is made of."""

    def __init__(
        self,
        settings: RelaySettings,
        boot: str,
        protocol: HttpProtocol,
        records: Records,
        logs: Logs,
    ) -> None:
        clock = get_running_loop().time
        self.settings = settings
        self.protocol = protocol
        self.clock = clock
        self.is_stopping = False
        self.client = HttpClient()
        self.endpoints = EndpointTable(records, clock)
        self.configuration = ConfigurationTable(records, self._configure)
        self.budgets = Budgets(boot, logs.marks, clock)
        self.peers = Peers(
            settings.name,
            settings.peers,
            boot,
            logs.entries,
            self.endpoints,
            self.budgets,
            clock,
        )
        self.followers = (
            _follower("configuration", logs.configuration, self.configuration, clock),
            _follower("endpoints", logs.endpoints, self.endpoints, clock),
            _follower("entries", logs.entries, self.peers, clock),
        )
        self.dispatcher = Dispatcher(
            settings.zone,
            self.endpoints,
            self.peers,
            self.client,
            protocol,
            settings.retries,
            clock,
        )
        attempts = Attempts(self.dispatcher, clock)
        self.handler = CallHandler(
            protocol,
            self.configuration,
            self.budgets,
            self.dispatcher,
            PlainRelay(attempts, self.dispatcher, clock),
            StreamRelay(attempts, self.dispatcher, clock),
            clock,
        )
        self.servers: list[HttpServer] = []

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs for ever."""
        followers = [follower.run() for follower in self.followers]
        keepers = [keeper.run() for keeper in self.budgets.keepers]
        return [*followers, *keepers, self.peers.announce(), self.peers.run()]

    async def listen(self, metrics_port: int) -> None:
        """Listen to callers, to the balancer and for questions about metrics."""
        callers, ready = self.settings.callers, self.settings.ready
        limits = ServerLimits()
        self.servers = [
            await serve_http(self.handler.handle, *callers, limits),
            await serve_http(self._ready, *ready, limits),
            await serve_http(self._metrics, callers.host, metrics_port, limits),
        ]

    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        is_known = self.configuration.current is not None
        return is_known and bool(self.endpoints.states) and not self.is_stopping

    async def stop(self) -> int:
        """End in order; return the exit code."""
        kill_at = self.clock() + self.settings.grace
        self.is_stopping = True
        callers = self.servers[0]
        callers.announce_end()
        await sleep(LISTEN_AFTER_STOP)
        left = kill_at - STOP_MARGIN - LAST_COMMIT - self.clock()
        is_whole = await callers.drain(max(0.0, left))
        await self.budgets.release(LAST_COMMIT)
        for server in self.servers:
            await server.close()
        await self.client.close()
        return EXIT_OK if is_whole else EXIT_STOP_INCOMPLETE

    def _configure(self, configuration: Configuration) -> None:
        self.budgets.configure(configuration)
        limits = configuration.limits
        if self.servers:
            server = self.servers[0]
            server.change_limits(
                server.limits._replace(
                    max_header_bytes=limits.max_header_bytes,
                    max_body_bytes=limits.max_body_bytes,
                    header_timeout=limits.header_timeout,
                    idle_timeout=limits.idle_timeout,
                )
            )

    async def _ready(self, request: Request) -> Response:
        if not self.protocol.is_ready_check(request):
            return Response(404, (), b"")
        return Response(200 if self.is_ready() else 503, (), b"")

    async def _metrics(self, request: Request) -> Response:
        return render_metrics()


def _follower(name: str, log: Any, table: Any, clock: Any) -> Follower:
    return Follower(name, log, table.on_record, table.on_snapshot, clock)


async def run_relay(process: RelayProcess, metrics_port: int, stop: Event) -> int:
    """Serve until ``stop`` is set, then end in order; return the exit code."""
    await process.listen(metrics_port)
    logger.info("started", extra={"entry": process.settings.name})
    tasks = [create_task(job) for job in process.jobs()]
    for task in tasks:
        watch(task, stop_process)
    await stop.wait()
    code = await process.stop()
    await end_all(tasks)
    logger.info("stopped", extra={"code": code})
    return code


async def end_all(tasks: list[Task[Any]]) -> None:
    """Cancel the tasks that run for ever."""
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
