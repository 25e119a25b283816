"""The links to all peer entries, and what is asked of them."""

from asyncio import Task, create_task, gather
from collections.abc import Mapping

from clementinebend_entry.calls import MILLISECONDS
from clementinebend_entry.heartbeat import silence_limit
from clementinebend_entry.message_link import MakeHello
from clementinebend_entry.metrics import LINKS
from clementinebend_entry.peer_link import PeerLink, PeerNews, Tell
from clementinebend_entry.settings import EntrySettings
from clementinebend_entry.sidecar_link import LinkDown, LinkUp
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Hello,
    PointerDelete,
    PointerPut,
    PointerReply,
    Receipt,
    ReceiptsLogged,
    ReceiptStored,
    ReceiptStoreRequest,
    TransferReply,
    TransferRequest,
)

KEEPERS = 4
"""Peers of other zones that may keep this entry's receipts."""

LENDERS = 4
"""Peers of the own zone that may pass parts of grants."""

KEEPER_TRIES = 2
REVISION_PATIENCE_S = 2.0


class PeerPool:
    """Owns the links; ``tell`` hears all their news."""

    def __init__(self, settings: EntrySettings, hello: MakeHello, tell: Tell) -> None:
        self.settings = settings
        self.hello = hello
        self.tell = tell
        silence = silence_limit(len(settings.peers))
        self.links = {
            peer.name: PeerLink(peer, hello, self.news, silence)
            for peer in settings.peers
            if peer.name != settings.name
        }
        self.tasks: list[Task[None]] = [
            create_task(link.run(), name=f"peer {name}")
            for name, link in self.links.items()
        ]

    def news(self, news: PeerNews) -> None:
        """Pass on what a link tells."""
        if isinstance(news, LinkUp | LinkDown):
            LINKS.labels("peer").set(len(self.live()))
        self.tell(news)

    def zones(self) -> Mapping[str, str]:
        """Return the availability zones of all entries by name."""
        own = {self.settings.name: self.settings.zone}
        return own | {name: link.zone for name, link in self.links.items()}

    def live(self) -> tuple[str, ...]:
        """Return the peers that can be reached now."""
        return tuple(name for name, link in self.links.items() if link.up.is_set())

    def witnesses(self) -> tuple[Incarnation, ...]:
        """Return the peers that may keep receipts or pass parts of grants."""
        names = partners(self.settings.name, self.zones())
        hellos = (self.links[name].peer for name in names if name in self.live())
        return tuple(hello.incarnation for hello in hellos if hello is not None)

    def keepers(self) -> tuple[str, ...]:
        """Return the peers of other zones that may keep receipts."""
        zones = self.zones()
        names = partners(self.settings.name, zones)
        return tuple(name for name in names if zones[name] != self.settings.zone)

    def greet_again(self) -> None:
        """Tell all peers of a new incarnation."""
        for link in self.links.values():
            link.post(self.hello())

    # Pointers.

    async def ask_pointer(self, name: str, put: PointerPut) -> PointerReply | None:
        """Ask a pointer host; None if it does not answer in a short time."""
        patience = self.settings.pointer_timeout_ms / MILLISECONDS
        answer = await self.links[name].ask(put, patience)
        return answer if isinstance(answer, PointerReply) else None

    def drop_pointer(self, name: str, drop: PointerDelete) -> None:
        """Have a peer remove a pointer."""
        self.links[name].post(drop)

    # Receipts.

    async def keep_receipt(
        self, receipt: Receipt, allowed: frozenset[Incarnation]
    ) -> str | None:
        """Have a peer of another zone keep a receipt; return its name."""
        patience = self.settings.receipt_timeout_ms / MILLISECONDS
        names = [name for name in self.keepers() if self.is_allowed(name, allowed)]
        for name in rendezvous(receipt.key, names, KEEPER_TRIES):
            answer = await self.links[name].ask(
                ReceiptStoreRequest(0, receipt), patience
            )
            if isinstance(answer, ReceiptStored):
                return name
        return None

    def is_allowed(self, name: str, allowed: frozenset[Incarnation]) -> bool:
        """Return whether a peer is up and one of the allowed incarnations."""
        peer = self.links[name].peer
        is_up = self.links[name].up.is_set()
        return is_up and peer is not None and peer.incarnation in allowed

    def tell_logged(self, name: str, logged: ReceiptsLogged) -> None:
        """Tell a peer which receipts need no more keeping."""
        self.links[name].post(logged)

    # Parts of grants.

    def creditors(self) -> tuple[str, ...]:
        """Return the peers in reach that have this entry in their scope."""
        zones = self.zones()
        own = self.settings.name
        return tuple(name for name in self.live() if own in partners(name, zones))

    async def ask_transfer(
        self, name: str, budget: str, amount: int, min_amount: int
    ) -> int:
        """Ask a peer for a part of a grant; return how much it gave."""
        patience = self.settings.pointer_timeout_ms / MILLISECONDS
        ask = TransferRequest(0, budget, amount, min_amount)
        answer = await self.links[name].ask(ask, patience)
        return answer.amount if isinstance(answer, TransferReply) else 0

    # Configuration.

    async def ask_revisions(self) -> tuple[ConfigurationReply, ...]:
        """Ask all peers that can be reached for their configuration."""
        links = [link for link in self.links.values() if link.up.is_set()]
        asked = (
            link.ask(ConfigurationRequest(0), REVISION_PATIENCE_S) for link in links
        )
        answers = await gather(*asked)
        return tuple(
            answer for answer in answers if isinstance(answer, ConfigurationReply)
        )

    async def close(self) -> None:
        """Close all links."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)


def partners(name: str, zones: Mapping[str, str]) -> tuple[str, ...]:
    """Return the entries that ``name`` has as witnesses, of other zones first."""
    others = [other for other in zones if zones[other] != zones[name]]
    same = [other for other in zones if zones[other] == zones[name] and other != name]
    keepers = rendezvous(name, others, KEEPERS)
    return keepers + rendezvous(name, same, LENDERS)


def entry_hello(
    settings: EntrySettings, incarnation: Incarnation, revision: int, leaving: bool
) -> Hello:
    """Return this entry's ``Hello``."""
    return Hello(
        "entry",
        settings.name,
        incarnation,
        settings.zone,
        settings.schema_version,
        revision,
        leaving,
    )
