"""The entry process: sets up its parts, runs its background tasks, and stops it."""

from asyncio import Event, Task, create_task, gather, get_running_loop, sleep
from collections.abc import Coroutine, Iterable
from logging import getLogger
from typing import Any

from clementinebend_admission.entry_load import EntryCapacity
from clementinebend_admission.request_memory import (
    max_bodies,
    max_connections,
    max_received,
)
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_platform_client.store_paths import Probe, StorePaths
from clementinebend_platform_client.supervision import stop_process, watch
from clementinebend_relay.attempts import Attempts
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.configuration import ConfigurationTable
from clementinebend_relay.datagrams import DatagramSocket, open_socket
from clementinebend_relay.discovery import Announcement, Directory, announce
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.handler import CallHandler
from clementinebend_relay.interfaces import HttpProtocol, Logs, RecordDecoder
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.load_monitor import LoadMonitor
from clementinebend_relay.loop_delay import LoopDelay
from clementinebend_relay.messages import Message
from clementinebend_relay.models import Configuration, Rejection
from clementinebend_relay.moving_callers import close_some_idle
from clementinebend_relay.origin_replicas import OriginReplicas
from clementinebend_relay.pace_rates import PaceRates
from clementinebend_relay.partition_reader import (
    DIRECTORY_MAX_DELAY,
    CombinedTable,
    PartitionReader,
)
from clementinebend_relay.peers import Peers
from clementinebend_relay.permit_requests import new_permit_requests
from clementinebend_relay.plain import PlainRelay
from clementinebend_relay.planned_stop import PlannedStop
from clementinebend_relay.prompt_queues import PromptQueues
from clementinebend_relay.quarantine.end_detector import EndDetector
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.quota_manager import QuotaManager
from clementinebend_relay.receiving import receive
from clementinebend_relay.resumptions import Resumptions
from clementinebend_relay.settings import RelaySettings
from clementinebend_relay.streams import StreamRelay
from clementinebend_relay.unread_answers import UnreadAnswers
from clementinebend_relay.witness import WitnessServer
from clementinebend_relay.witnesses import Witnesses
from clementinebend_relay.zone_loads import ZoneLoads
from clementinebend_routing.sessions import SessionTracker
from clementinebend_transport.body_room import reject_body
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpClient
from clementinebend_transport.http_connection import (
    DRAIN_GRACE_SECONDS,
    HttpConnection,
)
from clementinebend_transport.http_server import HttpServer, serve_http
from clementinebend_transport.http_types import KIB, Request, Response, ServerLimits
from clementinebend_transport.lifecycle import EXIT_OK, EXIT_STOP_INCOMPLETE
from clementinebend_transport.metrics import render_metrics

logger = getLogger(__name__)

LISTEN_AFTER_STOP_SECONDS = 2.4
"""Seconds for which new connections are accepted after the stop signal: the load
balancer checks readiness every second and stops sending after two failed checks."""

STOP_MARGIN_SECONDS = 0.4
"""Seconds kept free between the end of the stop sequence and the kill. Calls still in
progress are cut off early enough for spent budgets to be written to the store."""

FINAL_WRITE_SECONDS = 0.3
"""Seconds for the final write of spent budgets."""

OWN_LIMITS = ServerLimits(
    max_header_bytes=16 * KIB,
    max_body_bytes=16 * KIB,
    max_connections=64,
    header_timeout=3.0,
    body_timeout=3.0,
)
"""The limits for readiness checks and metrics scrapes, which have no bodies."""


class RelayProcess:
    """An entry with all its parts."""

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
        self.endpoints = EndpointTable(
            records, self.cold_endpoints, clock, settings.max_leaving_delay
        )
        self.endpoints.on_first_snapshot = self._update_readiness
        self.configuration = ConfigurationTable(records, self._configure)
        self.paths = paths
        self.probe = probe
        self.gateways = Directory(self._on_gateways)
        self.socket: DatagramSocket | None = None
        self.witness_desk = WitnessServer(boot, self._send)
        self.witnesses = Witnesses(boot, settings.zone, self.entries, self._send, clock)
        self.budgets = Budgets(
            boot, logs.quotas, self.witnesses, self.entries.has_successor, clock
        )
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
        self.zone_loads = ZoneLoads(
            settings.name,
            settings.zone,
            self.entries,
            self.peers.homes.leaving,
            clock,
        )
        self.load = LoadMonitor(
            boot, settings.capacity, self.zone_loads, self._send_all, clock
        )
        self.loop_delay = LoopDelay(clock)
        self.witnesses.is_needed = self.peers.homes.is_candidate
        quarantine = Quarantine(clock)
        self.sync = QuarantineSync(
            boot, quarantine, self.entries, logs.quarantine, self._send_all, clock
        )
        self.leaving = LeavingNotifier(
            boot, self.endpoints, self.entries, self._send_all
        )
        self.permits = new_permit_requests(
            boot,
            self.endpoints.states,
            self.probes,
            self._send,
            self._send_all,
            clock,
        )
        self.evacuations = Evacuations(
            boot, records, self.entries, self._send_all, self.endpoints.on_evacuation
        )
        self.operator_reader = PartitionReader(
            "configuration",
            logs.configuration,
            CombinedTable((self.evacuations, self.configuration)),
            clock,
            min(settings.max_change_delay, settings.max_evacuation_delay),
        )
        self.endpoint_reader = PartitionReader(
            "endpoints",
            logs.endpoints,
            self.endpoints,
            clock,
            settings.max_leaving_delay,
            is_busy=True,
            on_failure=self.endpoints.on_read_failed,
        )
        self.readers = (
            self.operator_reader,
            self.endpoint_reader,
            PartitionReader(
                "entries", logs.entries, self.entries, clock, DIRECTORY_MAX_DELAY
            ),
            PartitionReader(
                "gateways", logs.gateways, self.gateways, clock, DIRECTORY_MAX_DELAY
            ),
            PartitionReader(
                "quarantine",
                logs.quarantine,
                self.sync.records,
                clock,
                DIRECTORY_MAX_DELAY,
            ),
        )
        self.dispatcher = Dispatcher(
            settings.zone,
            self.endpoints,
            self.peers,
            SessionTracker(),
            self.probes,
            self.client,
            protocol,
            settings.retries,
            quarantine,
            EndDetector(clock, quarantine.runs.checking, self.sync.on_ended),
            self.leaving,
            self.permits,
            clock,
        )
        self.origins = OriginReplicas(
            settings.name,
            boot,
            settings.zone,
            self.entries,
            self.gateways,
            self._send,
            self._send_all,
            clock,
        )
        self.origins.is_host_used = self.endpoints.is_host_used
        self.entries.on_new_boot = self.origins.on_new_entry
        self.gateways.on_new_boot = self.origins.on_new_gateway
        self.unread_answers = UnreadAnswers(settings.capacity.memory, protocol, clock)
        self.planned_stop = PlannedStop(clock)
        attempts = Attempts(self.dispatcher, self.sync, self.planned_stop, clock)
        prompt_queues = PromptQueues(
            self.dispatcher,
            clock,
            PaceRates(self.endpoints, self.peers.entry_count).rate,
        )
        self.handler = CallHandler(
            protocol,
            self.configuration,
            self.budgets,
            self.dispatcher,
            PlainRelay(attempts, self.dispatcher, self.unread_answers.room),
            StreamRelay(attempts, self.dispatcher, self.origins, clock),
            Resumptions(self.origins, self.endpoints, self.configuration, clock),
            prompt_queues,
            self.known,
            self.load,
            self.planned_stop,
            clock,
        )
        self.servers: list[HttpServer] = []
        self.unread_answers.connections = self.caller_connections
        self._attach_readers()
        self._attach_load(prompt_queues)

    def _attach_readers(self) -> None:
        """Connect the readers of the store to the components that depend on them."""
        self.endpoints.is_in_step = self.endpoint_reader.is_current
        self.budgets.is_store_lost = lambda: any(
            reader.is_lost() for reader in self.readers
        )

    def _attach_load(self, prompt_queues: PromptQueues) -> None:
        """Connect the load monitor to the components that depend on it."""
        self.load.on_rotation = lambda is_out: self.servers[0].move_callers(is_out)
        self.load.while_out = lambda seconds: close_some_idle(self.servers[0], seconds)
        prompt_queues.is_overloaded = self.load.is_saturated
        for component in (self.endpoints, self.probes, self.peers.homes, self.paths):
            component.is_overloaded = self.may_miss_answers

    def background_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the process stops."""
        readers = [reader.run() for reader in self.readers]
        managers = [self._run_manager(manager) for manager in self.budgets.managers]
        settings = self.settings
        own = Announcement(
            self.boot, settings.zone, *settings.peers, cores=settings.cores
        )
        return [
            *readers,
            *managers,
            announce(self.logs.entries, self.settings.name, own),
            self.peers.watch(),
            self.witnesses.run(),
            self.sync.records.run(),
            self.evacuations.ask_while(self.operator_reader.is_lost),
            self.paths.run(self.probe),
            self.load.run(self.known),
            self.loop_delay.run(),
            self.unread_answers.run(),
        ]

    async def _run_manager(self, manager: QuotaManager) -> None:
        """Run a quota manager once the other entries are known.

        Before that each entry would consider itself the home of every budget, and all
        entries together would reserve far more than one home may hold.
        """
        await self.entries.known.wait()
        await manager.run()

    async def listen(self, metrics_port: int) -> None:
        """Listen for callers, readiness checks, metrics scrapes and datagrams."""
        callers, ready = self.settings.callers, self.settings.ready
        self.socket = await open_socket(self.settings.peers, self._on_message)
        self._limit_callers(self.settings.capacity)
        limits = ServerLimits(max_connections=max_connections(self.settings.capacity))
        handler = self.handler
        own = handler.bodies._replace(reject=reject_body)
        self.servers = [
            await serve_http(
                handler.handle, *callers, limits, self._request_id, handler.bodies
            ),
            await serve_http(self._ready, *ready, OWN_LIMITS, bodies=own),
            await serve_http(
                self._metrics, callers.host, metrics_port, OWN_LIMITS, bodies=own
            ),
        ]

    def reload(self, settings: RelaySettings, store: Address) -> None:
        """Apply changed settings; bound addresses keep their old values."""
        bound = self.settings
        self.load.capacity = settings.capacity
        self._limit_callers(settings.capacity)
        self.settings = settings._replace(
            callers=bound.callers, ready=bound.ready, peers=bound.peers
        )
        self.dispatcher.retry_limits = settings.retries
        self.dispatcher.surveyor.zone = settings.zone
        self.zone_loads.zone = settings.zone
        self.paths.move(store)

    def _limit_callers(self, capacity: EntryCapacity) -> None:
        """Bound what callers take of this entry."""
        memory = capacity.memory
        self.unread_answers.change_memory(memory)
        bodies = self.handler.bodies
        bodies.room.limit = max_bodies(memory)
        bodies.received.limit = max_received(memory)
        if self.servers:
            server, connections = self.servers[0], max_connections(capacity)
            limits = server.limits._replace(max_connections=connections)
            server.change_limits(limits)

    def caller_connections(self) -> Iterable[HttpConnection]:
        """Return the connections of callers, none before the entry listens."""
        return self.servers[0].connections.values() if self.servers else ()

    def may_miss_answers(self) -> bool:
        """Return whether answers may be missing due to this entry itself."""
        return self.load.is_saturated() or self.loop_delay.is_late()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        is_out = self.is_stopping or self.load.rotation.is_out
        return self.known.is_set() and not is_out

    async def stop(self) -> int:
        """Stop gracefully; return the exit code."""
        kill_at = self.clock() + self.settings.grace
        ends_at = kill_at - STOP_MARGIN_SECONDS - FINAL_WRITE_SECONDS
        self.is_stopping = True
        self.planned_stop.ends_at = ends_at
        self.peers.resign()
        callers = self.servers[0]
        callers.announce_end()
        await sleep(LISTEN_AFTER_STOP_SECONDS)
        get_running_loop().call_later(DRAIN_GRACE_SECONDS, self.budgets.close)
        is_drained = await callers.drain(max(0.0, ends_at - self.clock()))
        await self.budgets.release(FINAL_WRITE_SECONDS)
        for server in self.servers:
            await server.close()
        await self.client.close()
        if self.socket is not None:
            self.socket.close()
        return EXIT_OK if is_drained else EXIT_STOP_INCOMPLETE

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
            self.witness_desk,
            self.witnesses,
            self.probes,
            self.queues,
            self.sync,
            self.leaving,
            self.evacuations,
            self.permits,
            self.origins,
            self.load,
        )

    def _on_gateways(self) -> None:
        announced = self.gateways.announcements
        ranked = rendezvous(self.boot, announced, len(announced))
        self.paths.gateways = [announced[name].address for name in ranked]

    def _update_readiness(self) -> None:
        """Become ready once the configuration and the endpoints have been read."""
        if self.configuration.current is not None and self.endpoints.has_snapshot:
            self.known.set()

    def _configure(self, configuration: Configuration) -> None:
        self._update_readiness()
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

    def _request_id(self, request: Request) -> str | None:
        call = self.handler.protocol.read_call(request)
        return None if isinstance(call, Rejection) else call.request_id

    async def _ready(self, request: Request) -> Response:
        if not self.protocol.is_ready_check(request):
            return Response(404, (), b"")
        return Response(200 if self.is_ready() else 503, (), b"")

    async def _metrics(self, request: Request) -> Response:
        return render_metrics()


async def run_relay(process: RelayProcess, metrics_port: int, stop: Event) -> int:
    """Serve until ``stop`` is set, then stop gracefully; return the exit code."""
    await process.listen(metrics_port)
    logger.info("started", extra={"entry": process.settings.name})
    tasks = [create_task(job) for job in process.background_coroutines()]
    for task in tasks:
        watch(task, stop_process)
    await stop.wait()
    code = await process.stop()
    await cancel_all(tasks)
    logger.info("stopped", extra={"code": code})
    return code


async def cancel_all(tasks: list[Task[Any]]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await gather(*tasks, return_exceptions=True)
