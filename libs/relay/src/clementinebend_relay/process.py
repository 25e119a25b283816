"""One entry process on the direct path: its tasks and its planned stop."""

from asyncio import Event, Task, create_task, gather, get_running_loop, sleep
from collections.abc import Coroutine, Iterable
from logging import getLogger
from typing import Any

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_platform_client.store_paths import Probe, StorePaths
from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_relay.announcing import Announcement, Directory, announce
from clementinebend_relay.attempts import Attempts
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.configuration import ConfigurationTable
from clementinebend_relay.datagrams import DatagramSocket, open_socket
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.endpoint_ends import EndpointEnds
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.following import DIRECTORY_WITHIN, CombinedTable, Follower
from clementinebend_relay.handler import CallHandler
from clementinebend_relay.interfaces import HttpProtocol, Logs, RecordDecoder
from clementinebend_relay.leaving_news import LeavingNews
from clementinebend_relay.mark_keeper import MarkKeeper
from clementinebend_relay.messages import Message
from clementinebend_relay.models import Configuration
from clementinebend_relay.peers import Peers
from clementinebend_relay.plain import PlainRelay
from clementinebend_relay.prompt_queues import PromptQueues
from clementinebend_relay.quarantine import Quarantine
from clementinebend_relay.quarantine_news import QuarantineNews
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.receiving import receive
from clementinebend_relay.settings import RelaySettings
from clementinebend_relay.streams import StreamRelay
from clementinebend_relay.witness import WitnessDesk
from clementinebend_relay.witnesses import Witnesses
from clementinebend_routing.sessions import SessionMemory
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_connection import DRAIN_GRACE_SECONDS
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
        records: RecordDecoder,
        logs: Logs,
        paths: StorePaths,
        probe: Probe,
    ) -> None:
        clock = get_running_loop().time
        self.settings = settings
        self.boot = boot
        self.logs = logs
        self.protocol = protocol
        self.clock = clock
        self.is_stopping = False
        self.known = Event()
        self.client = HttpClient()
        self.entries = Directory()
        self.cold_endpoints = ColdEndpoints(settings.name, self.entries, clock)
        self.endpoints = EndpointTable(records, self.cold_endpoints, clock)
        self.endpoints.on_known = self._on_known
        self.configuration = ConfigurationTable(records, self._configure)
        self.paths = paths
        self.probe = probe
        self.gateways = Directory(self._on_gateways)
        self.socket: DatagramSocket | None = None
        self.desk = WitnessDesk(boot, self._send)
        self.witnesses = Witnesses(boot, settings.zone, self.entries, self._send, clock)
        self.budgets = Budgets(
            boot, logs.marks, self.witnesses, self.entries.has_successor, clock
        )
        sessions = SessionMemory()
        self.peers = Peers(
            settings.name,
            boot,
            self.entries,
            self.budgets,
            self._send,
            self._send_all,
            clock,
        )
        self.probes = QueueProbes(self.gateways, self.entries, self._send, clock)
        self.queues = QueueKeeper(boot, self._send, clock)
        self.witnesses.is_needed = self.peers.homes.is_candidate
        quarantine = Quarantine(clock)
        self.news = QuarantineNews(
            boot, quarantine, self.entries, logs.quarantine, self._send_all, clock
        )
        self.leaving = LeavingNews(boot, self.endpoints, self.entries, self._send_all)
        self.evacuations = Evacuations(
            boot, records, self.entries, self._send_all, self.endpoints.on_evacuation
        )
        self.followers = (
            Follower(
                "configuration",
                logs.configuration,
                CombinedTable((self.evacuations, self.configuration)),
                clock,
                min(settings.change_within, settings.evacuation_within),
            ),
            Follower(
                "endpoints",
                logs.endpoints,
                self.endpoints,
                clock,
                settings.leaving_within,
                is_busy=True,
            ),
            Follower("entries", logs.entries, self.entries, clock, DIRECTORY_WITHIN),
            Follower("gateways", logs.gateways, self.gateways, clock, DIRECTORY_WITHIN),
            Follower("quarantine", logs.quarantine, self.news, clock, DIRECTORY_WITHIN),
        )
        self.budgets.is_store_lost = lambda: any(
            follower.lost_at is not None for follower in self.followers
        )
        self.dispatcher = Dispatcher(
            settings.zone,
            self.endpoints,
            self.peers,
            sessions,
            self.probes,
            self.client,
            protocol,
            settings.retries,
            quarantine,
            EndpointEnds(clock, quarantine.running, self.news.on_ended),
            self.leaving,
            clock,
        )
        attempts = Attempts(self.dispatcher, self.news, clock)
        self.handler = CallHandler(
            protocol,
            self.configuration,
            self.budgets,
            self.dispatcher,
            PlainRelay(attempts, self.dispatcher),
            StreamRelay(attempts, self.dispatcher, clock),
            PromptQueues(self.dispatcher, clock),
            self.known,
            clock,
        )
        self.servers: list[HttpServer] = []

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs for ever."""
        followers = [follower.run() for follower in self.followers]
        keepers = [self._keep(keeper) for keeper in self.budgets.keepers]
        settings = self.settings
        own = Announcement(
            self.boot, settings.zone, *settings.peers, cores=settings.cores
        )
        return [
            *followers,
            *keepers,
            announce(self.logs.entries, self.settings.name, own),
            self.peers.watch(),
            self.witnesses.run(),
            self.news.run(),
            self.paths.run(self.probe),
        ]

    async def _keep(self, keeper: MarkKeeper) -> None:
        """Keep marks once the other entries are known.

        Before that each entry would take itself for the home of all budgets, and
        all together take far more of them than a home may keep.
        """
        await self.entries.known.wait()
        await keeper.run()

    async def listen(self, metrics_port: int) -> None:
        """Listen to callers, to the balancer and for questions about metrics."""
        callers, ready = self.settings.callers, self.settings.ready
        self.socket = await open_socket(self.settings.peers, self._on_message)
        limits = ServerLimits()
        self.servers = [
            await serve_http(self.handler.handle, *callers, limits),
            await serve_http(self._ready, *ready, limits),
            await serve_http(self._metrics, callers.host, metrics_port, limits),
        ]

    def reload(self, settings: RelaySettings, store: Address) -> None:
        """Take changed settings; addresses that are bound stay as they are."""
        bound = self.settings
        self.settings = settings._replace(
            callers=bound.callers, ready=bound.ready, peers=bound.peers
        )
        self.dispatcher.retry_limits = settings.retries
        self.dispatcher.surveyor.zone = settings.zone
        self.paths.move(store)

    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        return self.known.is_set() and not self.is_stopping

    async def stop(self) -> int:
        """End in order; return the exit code."""
        kill_at = self.clock() + self.settings.grace
        self.is_stopping = True
        self.peers.resign()
        callers = self.servers[0]
        callers.announce_end()
        await sleep(LISTEN_AFTER_STOP)
        get_running_loop().call_later(DRAIN_GRACE_SECONDS, self.budgets.close)
        left = kill_at - STOP_MARGIN - LAST_COMMIT - self.clock()
        is_whole = await callers.drain(max(0.0, left))
        await self.budgets.release(LAST_COMMIT)
        for server in self.servers:
            await server.close()
        await self.client.close()
        if self.socket is not None:
            self.socket.close()
        return EXIT_OK if is_whole else EXIT_STOP_INCOMPLETE

    def _send(self, message: Message, address: Address) -> None:
        if self.socket is not None:
            self.socket.send(message, address)

    def _send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        if self.socket is not None:
            self.socket.send_all(message, addresses)

    def _on_message(self, message: Message, sender: Address) -> None:
        receive(
            message,
            sender,
            self.peers,
            self.desk,
            self.witnesses,
            self.probes,
            self.queues,
            self.news,
            self.leaving,
            self.evacuations,
        )

    def _on_gateways(self) -> None:
        announced = self.gateways.announcements
        ranked = rendezvous(self.boot, announced, len(announced))
        self.paths.gateways = [announced[name].address for name in ranked]

    def _on_known(self) -> None:
        """Let calls go on once the first view of all they need is complete."""
        if self.configuration.current is not None and self.endpoints.is_known:
            self.known.set()

    def _configure(self, configuration: Configuration) -> None:
        self._on_known()
        self.endpoints.configure(configuration.services)
        self.cold_endpoints.configure(
            configuration.services.values(), self.settings.cold_bound
        )
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
