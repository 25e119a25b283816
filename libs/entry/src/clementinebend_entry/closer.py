"""Background task that closes dead holders and collects their witnesses' receipts."""

from asyncio import get_running_loop, sleep
from collections.abc import Iterable
from logging import getLogger

from clementinebend_entry.closing import (
    NOTICE_INTERVAL_S,
    Entries,
    Notice,
    gone_peers,
    holders_to_close,
    open_notices,
    turn_delay,
)
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.local_witness import LocalWitness
from clementinebend_entry.message_link import MessageLink
from clementinebend_entry.metrics import CLOSES
from clementinebend_entry.peer_liveness import PeerLiveness
from clementinebend_entry.peer_pool import PeerPool
from clementinebend_entry.receipts import ReceiptTracker
from clementinebend_entry.settles import settle_records
from clementinebend_entry.shard import LedgerShard
from clementinebend_entry.sidecar_pool import SidecarPool
from clementinebend_ledger.replay import LedgerState
from clementinebend_ledger.state import WitnessStatus
from clementinebend_records.identifiers import Incarnation, process_name_of
from clementinebend_records.messages import CloseNotice, CloseReply, Receipt
from clementinebend_records.records import (
    CloseAck,
    HolderClose,
)
from clementinebend_records.streams import ledger_stream

logger = getLogger(__name__)

REPOST_INTERVAL_S = 30.0
"""Minimum time before a record that had no effect is posted again."""


class HolderCloser:
    """Closes holders by the state of the ledger shards.

    Its records are idempotent, so several entries may append them.
    """

    def __init__(
        self,
        ledger: Ledger,
        sidecars: SidecarPool,
        peers: PeerPool,
        receipts: ReceiptTracker,
        own: LocalWitness,
        peer_liveness: PeerLiveness,
    ) -> None:
        self.ledger = ledger
        self.sidecars = sidecars
        self.peers = peers
        self.receipts = receipts
        self.own = own
        self.peer_liveness = peer_liveness
        self.loop = get_running_loop()
        self.first_seen: dict[tuple[str, Incarnation], float] = {}
        self.posted: dict[tuple[str, ...], float] = {}

    async def run(self) -> None:
        """Check all ready shards periodically, forever."""
        while True:
            await sleep(NOTICE_INTERVAL_S)
            entries = self.entries()
            for shard in self.ledger.shards.by_stream.values():
                if shard.is_ready:
                    self.process_shard(shard, entries)

    def entries(self) -> Entries:
        """Return the current view of the other entries."""
        now = self.loop.time()
        return Entries(
            self.ledger.name,
            self.ledger.holders.incarnations(),
            self.peers.live(),
            self.peer_liveness.overdue(now),
        )

    def process_shard(self, shard: LedgerShard, entries: Entries) -> None:
        """Close the holders of a shard that are due, and notify their witnesses."""
        for holder in shard.state.holders:
            if process_name_of(holder) != entries.name:
                self.peer_liveness.on_holder(holder, self.loop.time())
        for holder in holders_to_close(shard.state, entries):
            self.close(shard, holder)
        notices = [
            notice
            for notice in open_notices(shard.state)
            if self.is_responsible(shard, notice.holder, entries)
        ]
        current = {
            name: link.peer.incarnation
            for name, link in self.peers.links.items()
            if link.up.is_set() and link.peer is not None
        }
        for witness in gone_peers(notices, current, shard.state):
            self.close(shard, witness)
        for notice in notices:
            self.send_notice(shard, notice)

    def is_responsible(
        self, shard: LedgerShard, holder: Incarnation, entries: Entries
    ) -> bool:
        """Return whether this entry is responsible for a closed holder by now."""
        if process_name_of(holder) == entries.name:
            return True
        now = self.loop.time()
        since = self.first_seen.setdefault((shard.stream, holder), now)
        return now - since >= turn_delay(holder, entries)

    def close(self, shard: LedgerShard, holder: Incarnation) -> None:
        """Append the close of a holder, unless it was posted recently."""
        if not self.should_post(shard.stream, holder):
            return
        logger.info("%s: closing holder %s", shard.stream, holder)
        CLOSES.labels("close").inc()
        self.peer_liveness.on_close(process_name_of(holder))
        self.ledger.shards.post(shard, (HolderClose(holder, self.ledger.incarnation),))

    def should_post(self, *subject: str) -> bool:
        """Return whether a record is due to be posted, and note that it is.

        A record posted in the last ``REPOST_INTERVAL_S`` seconds is not due again.
        """
        now = self.loop.time()
        if now - self.posted.get(subject, float("-inf")) < REPOST_INTERVAL_S:
            return False
        self.posted[subject] = now
        return True

    def send_notice(self, shard: LedgerShard, notice: Notice) -> None:
        """Send a close notice to a witness.

        If the sidecar now runs as another incarnation, it is acknowledged as lost.
        """
        if notice.witness in self.ledger.holders.incarnations():
            reply = self.own.close(shard.stream, notice.holder)
            self.on_reply(reply._replace(witness=notice.witness))
            return
        message = CloseNotice(shard.stream, shard.state.offset, notice.holder)
        name = process_name_of(notice.witness)
        link = self.link_to(name, notice.is_sidecar)
        if link is None or not link.up.is_set() or link.peer is None:
            return
        if link.peer.incarnation == notice.witness:
            link.post(message)
        elif notice.is_sidecar:
            self.acknowledge(shard, notice, (), lost=True)

    def link_to(self, name: str, is_sidecar: bool) -> MessageLink | None:
        """Return the link to a sidecar or peer by name."""
        return self.sidecars.link_to(name) if is_sidecar else self.peers.links.get(name)

    def on_reply(self, reply: CloseReply) -> None:
        """Settle the receipts of a witness and append its acknowledgement."""
        if reply.pending:
            return
        for shard in self.ledger.shards.by_stream.values():
            status = witness_status(shard.state, reply.holder, reply.witness)
            if status == WitnessStatus.OPEN:
                notice = Notice(reply.holder, reply.witness, True)
                known = self.receipts_of_shard(reply.receipts, shard)
                self.acknowledge(shard, notice, known)

    def acknowledge(
        self,
        shard: LedgerShard,
        notice: Notice,
        receipts: Iterable[Receipt],
        lost: bool = False,
    ) -> None:
        """Append receipts and acknowledgement in one batch, unless done recently."""
        if not self.should_post(shard.stream, notice.holder, notice.witness):
            return
        CLOSES.labels("lost" if lost else "acknowledged").inc()
        known = tuple(receipts)
        for receipt in known:
            self.receipts.expect(receipt.key, receipt.run, receipt.endpoint)
        ack = CloseAck(notice.holder, notice.witness, lost)
        self.ledger.shards.post(shard, (*settle_records(known), ack))

    def receipts_of_shard(
        self, receipts: Iterable[Receipt], shard: LedgerShard
    ) -> tuple[Receipt, ...]:
        """Return the receipts whose budgets are stored in a shard."""
        count = self.ledger.shards.count
        return tuple(
            receipt
            for receipt in receipts
            if ledger_stream(receipt.budget, count) == shard.stream
        )


def witness_status(
    state: LedgerState, holder: Incarnation, witness: Incarnation
) -> int | None:
    """Return a witness's status in the log; None if the holder is not closed."""
    entry = state.holders.get(holder)
    if entry is None or not entry["closed"]:
        return None
    return (entry["sidecars"] | entry["peers"]).get(witness)
