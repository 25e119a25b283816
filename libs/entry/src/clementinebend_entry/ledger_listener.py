"""Interface for receivers of ledger shard events."""

from typing import Protocol

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Bill


class LedgerListener(Protocol):
    """Receives notifications of what is replayed from the shards."""

    def on_written(self, writer: Incarnation, now: float) -> None:
        """Handle the replay of a batch that ``writer`` appended."""

    def on_logged(self, bill: Bill) -> None:
        """Handle a bill that is on the log for its request key."""

    def on_closed(self, holder: Incarnation) -> None:
        """Handle the close of a holder."""

    def on_rotated(self) -> None:
        """Handle this entry's switch to a new holder."""
