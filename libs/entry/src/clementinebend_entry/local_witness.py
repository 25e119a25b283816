"""The entry itself as a witness of other entries' holders."""

from clementinebend_entry.lender import Lender
from clementinebend_entry.receipt_keeper import ReceiptKeeper
from clementinebend_entry.settles import settle_records
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import CloseReply
from clementinebend_records.records import CloseAck


class LocalWitness:
    """Refuses closed holders and tells what is kept under them."""

    def __init__(self, lender: Lender, keeper: ReceiptKeeper) -> None:
        self.lender = lender
        self.keeper = keeper

    @property
    def incarnation(self) -> Incarnation:
        """The holder that this entry is now."""
        return self.lender.incarnation

    def close(self, stream: str, holder: Incarnation) -> CloseReply:
        """Refuse a closed holder and tell what is known under it.

        If parts of its grants were taken and are not logged yet, this entry
        acknowledges by itself, in the batch that logs them; until that is
        read the reply says that the notice is to be repeated.
        """
        receipts = self.keeper.close(holder)
        parts = self.lender.refuse(holder)
        shard = self.lender.ledger.shards.by_stream.get(stream)
        if parts and shard is not None:
            ack = CloseAck(holder, self.incarnation)
            records = (*parts, *settle_records(receipts), ack)
            self.lender.ledger.shards.post(shard, records)
        return CloseReply(holder, self.incarnation, len(parts), receipts)
