"""Who is told what the ledger shards show."""

from typing import Protocol

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Bill


class LedgerListener(Protocol):
    """Who is told what the shards show."""

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Take in that a batch of ``writer`` was read."""

    def on_logged(self, bill: Bill) -> None:
        """Take in that a request key is billed."""

    def on_closed(self, holder: Incarnation) -> None:
        """Take in that a holder is closed."""

    def on_rotated(self) -> None:
        """Take in that this entry goes on as a new holder."""
