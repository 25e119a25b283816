"""What the ledger task is told."""

from typing import NamedTuple

from clementinebend_entry.budget_waits import Waiter
from clementinebend_ledger.replay import LedgerOutcome
from clementinebend_records.identifiers import Incarnation, RequestKey, RunId
from clementinebend_records.messages import Receipt, TransferGive


class Replayed(NamedTuple):
    """A batch that ``writer`` appended to a shard was replayed."""

    stream: str
    writer: Incarnation
    outcomes: tuple[LedgerOutcome, ...]


class Restored(NamedTuple):
    """A shard goes on from a checkpoint: outcomes between were not seen."""

    stream: str


class ReservationRequested(NamedTuple):
    """A request needs tokens."""

    waiter: Waiter


class ReservationCancelled(NamedTuple):
    """A run is proved not run, or its request does not wait any more."""

    run: RunId


class ReceiptReceived(NamedTuple):
    """A run ended and its sidecar says what it cost."""

    receipt: Receipt


class CostUnknown(NamedTuple):
    """What a run cost will never be known: its reservation is held."""

    run: RunId
    key: RequestKey


class WitnessesSeen(NamedTuple):
    """These witnesses can be reached now; they replace those seen before."""

    sidecars: tuple[Incarnation, ...]
    peers: tuple[Incarnation, ...]


class TransferReceived(NamedTuple):
    """A peer passed a part of a grant."""

    give: TransferGive


class Ticked(NamedTuple):
    """Time has passed, or something is to be appended."""


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
