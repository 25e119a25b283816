"""Transfers parts of this entry's grants to reachable peers."""

from clementinebend_entry.ledger import Ledger
from clementinebend_ledger.holder import refuse_sender, send_transfer
from clementinebend_records.identifiers import GrantId, Incarnation, new_run_id
from clementinebend_records.messages import TransferReply, TransferRequest
from clementinebend_records.records import Record


class Lender:
    """Answers peers' requests for tokens."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this entry's current holder."""
        return self.ledger.incarnation

    def lend(self, ask: TransferRequest, receiver: Incarnation) -> TransferReply:
        """Transfer a part of a grant that has free tokens."""
        ledger = self.ledger
        transfer = GrantId(f"{ledger.incarnation}/t{new_run_id()}")
        stream = ledger.shards.of_budget(ask.budget).stream
        ledger.holder, message = send_transfer(
            ledger.holder,
            ask.budget,
            transfer,
            receiver,
            ask.amount,
            stream,
            ask.question,
            ask.min_amount,
        )
        ledger.dirty.set()
        return message

    def refuse(self, holder: Incarnation) -> tuple[Record, ...]:
        """Accept no more transfers from a closed holder.

        Returns the records of accepted transfers that are not on the log yet.
        """
        ledger = self.ledger
        ledger.holder, records = refuse_sender(ledger.holder, holder)
        return records
