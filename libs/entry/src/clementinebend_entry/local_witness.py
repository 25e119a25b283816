"""The local entry's role as a witness for other entries' holders."""

from clementinebend_entry.lender import Lender
from clementinebend_entry.receipt_keeper import ReceiptKeeper
from clementinebend_entry.settles import settle_records
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import CloseReply
from clementinebend_records.records import CloseAck


class LocalWitness:
    """Refuses closed holders and reports the receipts stored for them."""

    def __init__(self, lender: Lender, keeper: ReceiptKeeper) -> None:
        self.lender = lender
        self.keeper = keeper

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this entry's current holder."""
        return self.lender.incarnation

    def close(self, stream: str, holder: Incarnation) -> CloseReply:
        """Refuse a closed holder and report the receipts stored for it.

        If transfers from its grants were accepted but are not logged yet, this
        entry logs them and its acknowledgement in one batch. Until that batch is
        replayed, the reply asks for the notice to be repeated.
        """
        receipts = self.keeper.close(holder)
        parts = self.lender.refuse(holder)
        shard = self.lender.ledger.shards.by_stream.get(stream)
        if parts and shard is not None:
            ack = CloseAck(holder, self.incarnation)
            records = (*parts, *settle_records(receipts), ack)
            self.lender.ledger.shards.post(shard, records)
        return CloseReply(holder, self.incarnation, len(parts), receipts)
