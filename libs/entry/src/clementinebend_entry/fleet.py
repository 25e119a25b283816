"""All owners of state in one entry, and who is told what by whom."""

from asyncio import Event, Task, get_running_loop, sleep
from collections.abc import Coroutine, Iterator
from functools import singledispatchmethod
from hashlib import blake2b
from typing import Any

from expression import Result

from clementinebend_entry.admission_gate import AdmissionGate
from clementinebend_entry.borrower import Borrower
from clementinebend_entry.claims import ClaimsClient
from clementinebend_entry.closer import HolderCloser
from clementinebend_entry.configuration import ConfigurationKeeper
from clementinebend_entry.heartbeat import heartbeat_interval
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.ledger_events import TransferReceived, WitnessesSeen
from clementinebend_entry.lender import Lender
from clementinebend_entry.local_witness import LocalWitness
from clementinebend_entry.lookup import Directory
from clementinebend_entry.peer_liveness import PeerLiveness
from clementinebend_entry.peer_pool import PeerPool, entry_hello
from clementinebend_entry.peer_server import PeerServer
from clementinebend_entry.pointer_client import PointerClient
from clementinebend_entry.receipt_keeper import ReceiptKeeper
from clementinebend_entry.receipt_replicas import RemoteReceiptReplicas
from clementinebend_entry.receipts import ReceiptTracker
from clementinebend_entry.router import Router
from clementinebend_entry.services import Services
from clementinebend_entry.settings import EntrySettings
from clementinebend_entry.shard import LogSettings
from clementinebend_entry.sidecar_link import LinkDown, LinkUp
from clementinebend_entry.sidecar_pool import SidecarPool
from clementinebend_platform_client.hosts import HostsClient
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import (
    CacheEvent,
    CloseReply,
    Hello,
    LoadReport,
    TransferReply,
)
from clementinebend_records.records import Bill
from clementinebend_transport.http_client import HttpClient

KEEPER_INTERVAL_S = 5.0
HOSTS_INTERVAL_S = 2.0
CLOSE_PATIENCE_S = 1.0
SEED_BYTES = 4


class Fleet:
    """Builds the owners; create it inside a running loop."""

    def __init__(
        self, settings: EntrySettings, incarnation: Incarnation, stop: Event
    ) -> None:
        self.settings = settings
        self.stop = stop
        self.loop = get_running_loop()
        self.http = HttpClient()
        self.tasks: set[Task[None]] = set()
        client = http_log_client(settings.log_url, self.http, settings.name)
        log = LogSettings(client, incarnation)
        names = tuple(peer.name for peer in settings.peers)
        self.peer_liveness = PeerLiveness(
            names, settings.suspect_after_s, self.loop.time()
        )
        self.ledger = Ledger(
            settings.name, incarnation, settings.ledger_shards, log, self
        )
        self.claims = ClaimsClient(incarnation, settings.claims_shards, log)
        self.configuration = ConfigurationKeeper(
            log, settings.schema_version, self.on_configuration, stop.set
        )
        self.keeper = ReceiptKeeper(
            settings.kept_receipts, self.ledger.bill_foreign_run
        )
        self.pool = SidecarPool(
            settings.name, settings.subset_size, self.hello, self.on_sidecar_news
        )
        self.router = Router(
            settings.zone, seed_of(incarnation), self.pool, self.ledger.is_witness
        )
        limits = self.configuration.configuration.declarations.limits
        self.gate = AdmissionGate(limits.retry_budget_ratio)
        self.peers = PeerPool(settings, self.hello, self.on_peer_news)
        replicas = RemoteReceiptReplicas(self.ledger, self.pool, self.peers)
        self.receipts = ReceiptTracker(settings.zone, replicas)
        self.pointers = PointerClient(settings.name, settings.kept_pointers, self.peers)
        self.local_witness = LocalWitness(Lender(self.ledger), self.keeper)
        self.borrower = Borrower(self.ledger, self.peers)
        self.peer_server = PeerServer(
            self.hello,
            self.pointers,
            self.local_witness,
            self.configuration.reply,
            stop.set,
        )
        self.closer = HolderCloser(
            self.ledger,
            self.pool,
            self.peers,
            self.receipts,
            self.local_witness,
            self.peer_liveness,
        )
        self.services = Services(
            self.gate,
            self.router,
            self.pool,
            self.ledger,
            self.claims,
            self.pointers,
            self.receipts,
            self.watch,
        )

    def jobs(self) -> Iterator[tuple[str, Coroutine[Any, Any, None]]]:
        """Return what runs until the process ends."""
        yield "ledger", self.ledger.run()
        yield "admission", self.gate.run()
        yield "closer", self.closer.run()
        yield "kept receipts", self.look_after_receipts()
        yield "borrower", self.borrower.run()
        interval = heartbeat_interval(len(self.settings.peers))
        yield "heartbeat", self.peer_server.beat(interval)
        yield "hosts", self.watch_hosts()
        yield "configuration", self.configuration.ask_peers(self.peers.ask_revisions)

    def watch(self, task: "Task[None]") -> None:
        """Keep a task that a planned stop waits for."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def hello(self) -> Hello:
        """Return what this entry says of itself."""
        return entry_hello(
            self.settings,
            self.ledger.incarnation,
            self.configuration.revision,
            self.stop.is_set(),
        )

    def directory(self) -> Directory:
        """Return the declarations in force, indexed."""
        return self.configuration.directory

    # What the ledger shows.

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Take in that an entry wrote to the log."""
        self.peer_liveness.on_written(writer, now)

    def on_logged(self, bill: Bill) -> None:
        """Take in that a request key is billed."""
        self.receipts.on_logged(bill)
        self.keeper.on_logged(bill)

    def on_closed(self, holder: Incarnation) -> None:
        """Take in that a holder is closed."""
        self.keeper.bill_closed_holder(holder)

    def on_rotated(self) -> None:
        """Take in that this entry is a new holder."""
        self.greet_again()

    def greet_again(self) -> None:
        """Tell all peers what this entry says of itself now."""
        self.peers.greet_again()
        self.peer_server.greet_again()

    # What the configuration shows.

    def on_configuration(self, directory: Directory) -> None:
        """Put a new revision in force."""
        declarations = directory.declarations
        self.ledger.top_ups.declarations = declarations
        self.pool.configure(declarations)
        self.router.configure(declarations)

    # What links tell.

    @singledispatchmethod
    def on_sidecar_news(self, news: Any) -> None:
        """Take news of a sidecar."""
        raise TypeError(f"no news of a sidecar: {news!r}")

    @on_sidecar_news.register(LinkUp)
    @on_sidecar_news.register(LinkDown)
    def _(self, news: LinkUp | LinkDown) -> None:
        self.see_witnesses()
        if isinstance(news, LinkUp):
            self.router.note_leaving(news.name, news.hello.leaving)
        self.router.refresh()
        self.gate.set_slots(self.slots())
        self.receipts.notify_sidecars()

    @on_sidecar_news.register
    def _(self, news: LoadReport) -> None:
        self.router.on_report(news)

    @on_sidecar_news.register
    def _(self, news: CacheEvent) -> None:
        self.router.on_cache_event(news)

    @on_sidecar_news.register
    def _(self, news: CloseReply) -> None:
        self.closer.on_reply(news)

    @singledispatchmethod
    def on_peer_news(self, news: Any) -> None:
        """Take news of a peer."""
        raise TypeError(f"no news of a peer: {news!r}")

    @on_peer_news.register
    def _(self, news: LinkUp) -> None:
        self.peer_liveness.on_up(news.name, news.hello.incarnation, self.loop.time())
        self.see_witnesses()

    @on_peer_news.register
    def _(self, news: LinkDown) -> None:
        peer = self.peers.links[news.name].peer
        if peer is not None:
            self.peer_liveness.on_down(news.name, peer.incarnation, self.loop.time())
        self.see_witnesses()

    @on_peer_news.register
    def _(self, news: CloseReply) -> None:
        self.closer.on_reply(news)

    @on_peer_news.register
    def _(self, news: TransferReply) -> None:
        if news.amount:
            self.ledger.take(TransferReceived(news))

    def see_witnesses(self) -> None:
        """Tell the ledger whom it may put in its scope."""
        self.ledger.top_ups.entries = self.peers.live()
        seen = WitnessesSeen(self.pool.incarnations(), self.peers.witnesses())
        self.ledger.take(seen)

    def slots(self) -> int:
        """Return how many calls this entry runs at one time."""
        reachable = sum(1 for _ in self.pool.reachable())
        return max(1, reachable) * self.settings.slots_per_endpoint

    # Receipts.

    async def look_after_receipts(self) -> None:
        """Bill receipts whose holders stay silent."""
        while True:
            await sleep(KEEPER_INTERVAL_S)
            self.keeper.bill_overdue()

    async def watch_hosts(self) -> None:
        """Read the platform's list of hosts again and again."""
        if not self.settings.hosts_url:
            return
        hosts = HostsClient(self.settings.hosts_url, self.http)
        while True:
            match await hosts.list():
                case Result(tag="ok", ok=listed):
                    self.peer_liveness.on_hosts(listed, self.loop.time())
            await sleep(HOSTS_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.close()
        await self.peers.close()
        await self.configuration.close(CLOSE_PATIENCE_S)
        await self.http.close()


def seed_of(incarnation: Incarnation) -> int:
    """Return the seed of this entry's draws."""
    return int.from_bytes(
        blake2b(incarnation.encode(), digest_size=SEED_BYTES).digest()
    )
