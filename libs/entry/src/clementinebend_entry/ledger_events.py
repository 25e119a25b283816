"""Events that the ledger task processes."""

from typing import NamedTuple

from clementinebend_entry.budget_waits import Waiter
from clementinebend_ledger.replay import LedgerOutcome
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import Receipt, TransferReply


class Replayed(NamedTuple):
    """A batch that ``writer`` appended to a shard was replayed."""

    stream: str
    writer: Incarnation
    outcomes: tuple[LedgerOutcome, ...]


class Restored(NamedTuple):
    """A shard was restored from a checkpoint, so some outcomes were skipped."""

    stream: str


class ReservationRequested(NamedTuple):
    """A request asked for a reservation of tokens."""

    waiter: Waiter


class ReservationCancelled(NamedTuple):
    """A run is known not to have run, or its request stopped waiting."""

    run: RunId


class ReceiptReceived(NamedTuple):
    """A run ended and its sidecar reported the cost."""

    receipt: Receipt


class CostUnknown(NamedTuple):
    """The cost of a run can never be known, so its whole reservation is held."""

    run: RunId
    key: RequestKey


class WitnessesSeen(NamedTuple):
    """The witnesses that are reachable now; replaces the previous set."""

    sidecars: tuple[Incarnation, ...]
    peers: tuple[Incarnation, ...]


class TransferReceived(NamedTuple):
    """A peer transferred a part of its grant to this entry."""

    give: TransferReply


class Ticked(NamedTuple):
    """The tick interval passed, or records are due to be appended."""


LedgerEvent = (
    Replayed
    | Restored
    | ReservationRequested
    | ReservationCancelled
    | ReceiptReceived
    | CostUnknown
    | WitnessesSeen
    | TransferReceived
    | Ticked
)
