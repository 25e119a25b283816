"""Where receipts are kept, and who is told that they are on the log."""

from clementinebend_entry.ledger import Ledger
from clementinebend_entry.peer_pool import PeerPool
from clementinebend_entry.sidecar_pool import SidecarPool
from clementinebend_records.identifiers import Incarnation, RunId
from clementinebend_records.messages import Receipt, ReceiptsLogged


class RemoteReceiptReplicas:
    """Reaches the sidecars and the peers that keep receipts of this entry."""

    def __init__(self, ledger: Ledger, sidecars: SidecarPool, peers: PeerPool) -> None:
        self.ledger = ledger
        self.sidecars = sidecars
        self.peers = peers
        self.kept_by: dict[RunId, str] = {}

    def notify_sidecar(self, endpoint: str, logged: ReceiptsLogged) -> bool:
        """Tell a sidecar which receipts are on the log; false if out of reach."""
        link = self.sidecars.links.get(endpoint)
        return link is not None and link.post(logged)

    def allowed_keepers(self, budget: str) -> frozenset[Incarnation]:
        """Return the peers that are witnesses of this budget's grants."""
        witnesses = self.peers.witnesses()
        return frozenset(
            each for each in witnesses if self.ledger.is_witness(budget, each)
        )

    def is_cut_off(self, budget: str) -> bool:
        """Return whether a receipt cannot leave this availability zone."""
        shard = self.ledger.shards.of_budget(budget)
        allowed = self.allowed_keepers(budget)
        keepers = self.peers.keepers()
        has_keeper = any(self.peers.is_allowed(name, allowed) for name in keepers)
        return not has_keeper and shard.failing_for(self.ledger.loop.time()) > 0

    async def keep_at_peer(self, receipt: Receipt) -> bool:
        """Have a peer of another zone keep a receipt."""
        allowed = self.allowed_keepers(receipt.budget)
        name = await self.peers.keep_receipt(receipt, allowed)
        if name is not None:
            self.kept_by[receipt.run] = name
        return name is not None

    def forget_at_peer(self, run: RunId) -> None:
        """Tell the peer that keeps a receipt that it is on the log."""
        name = self.kept_by.pop(run, None)
        if name is not None:
            self.peers.tell_logged(name, ReceiptsLogged((run,)))
