"""Access to the sidecars and peers that store receipts."""

from clementinebend_entry.ledger import Ledger
from clementinebend_entry.peer_pool import PeerPool
from clementinebend_entry.sidecar_pool import SidecarPool
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt, ReceiptsLogged


class RemoteReceiptReplicas:
    """Stores receipts at peers, and notifies sidecars and peers of logged ones."""

    def __init__(self, ledger: Ledger, sidecars: SidecarPool, peers: PeerPool) -> None:
        self.ledger = ledger
        self.sidecars = sidecars
        self.peers = peers
        self.kept_by: dict[RunId, str] = {}

    def notify_sidecar(self, endpoint: str, logged: ReceiptsLogged) -> bool:
        """Notify a sidecar of logged receipts; false if it is unreachable."""
        link = self.sidecars.links.get(endpoint)
        return link is not None and link.post(logged)

    def allowed_keepers(self, budget: str) -> frozenset[Incarnation]:
        """Return the peers that are witnesses for this budget's grants."""
        witnesses = self.peers.witnesses()
        return frozenset(
            each for each in witnesses if self.ledger.is_witness(budget, each)
        )

    def is_cut_off(self, budget: str) -> bool:
        """Return whether neither the log nor a peer of another zone is available."""
        shard = self.ledger.shards.of_budget(budget)
        allowed = self.allowed_keepers(budget)
        keepers = self.peers.keepers()
        has_keeper = any(self.peers.is_allowed(name, allowed) for name in keepers)
        return not has_keeper and shard.failing_for(self.ledger.loop.time()) > 0

    async def keep_at_peer(self, receipt: Receipt) -> bool:
        """Store a receipt at a peer of another zone; false if none stored it."""
        allowed = self.allowed_keepers(receipt.budget)
        name = await self.peers.keep_receipt(receipt, allowed)
        if name is not None:
            self.kept_by[receipt.run] = name
        return name is not None

    def forget_at_peer(self, run: RunId) -> None:
        """Notify the peer that stores a receipt that it is on the log."""
        name = self.kept_by.pop(run, None)
        if name is not None:
            self.peers.tell_logged(name, ReceiptsLogged((run,)))
