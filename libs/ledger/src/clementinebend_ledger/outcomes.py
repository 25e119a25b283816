"""Outcomes that replay of a ledger stream reports for each record.

Outcomes are values rather than exceptions, since refused and repeated records are
part of normal operation. Amounts are in tokens.
"""

from enum import StrEnum
from typing import NamedTuple

from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.records import Bill


class RefusalReason(StrEnum):
    """Why replay refused a grant request."""

    INSUFFICIENT = "insufficient"
    HOLDER_CLOSED = "holder_closed"
    GRANT_REPEATED = "grant_repeated"
    BAD_AMOUNT = "bad_amount"


class TopUpApplied(NamedTuple):
    """``amount`` tokens were added to a budget."""

    budget: str
    top_up: str
    amount: int


class GrantAccepted(NamedTuple):
    """``holder`` may spend ``amount`` under ``grant``."""

    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class GrantRefused(NamedTuple):
    """The request for ``amount`` was refused; ``available`` tokens were left."""

    budget: str
    grant: GrantId
    holder: Incarnation
    reason: RefusalReason
    available: int
    amount: int = 0


class Billed(NamedTuple):
    """A request key was billed for the first time."""

    bill: Bill


class BillRepeated(NamedTuple):
    """The key was already billed, for ``billed_run``; nothing changed."""

    bill: Bill
    billed_run: RunId


class BillUnfunded(NamedTuple):
    """No open grant or hold covered ``unfunded`` tokens of a billed key.

    They were taken from the budget's available amount as far as that sufficed.
    ``shortfall`` is the budget's total that is not covered yet.
    """

    bill: Bill
    unfunded: int
    shortfall: int


class OverrunDetected(NamedTuple):
    """A bill or transfer exceeded the remainder of its grant by ``excess``.

    The writer of the record violated an invariant; the budget is not overspent even
    then.
    """

    budget: str
    grant: GrantId
    excess: int


class GrantReduced(NamedTuple):
    """A holder returned ``amount`` tokens of a grant."""

    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class TransferApplied(NamedTuple):
    """``amount`` tokens of ``grant`` became the receiver's grant ``transfer``."""

    budget: str
    transfer: GrantId
    grant: GrantId
    sender: Incarnation
    receiver: Incarnation
    amount: int


class HolderClosed(NamedTuple):
    """``holder`` is closed: only its bills and transfers are still accepted."""

    holder: Incarnation


class WitnessAcknowledged(NamedTuple):
    """A witness rejects ``holder`` permanently, or was ``lost`` with its memory."""

    holder: Incarnation
    witness: Incarnation
    lost: bool


class HolderReleased(NamedTuple):
    """The remainder of a closed holder's grants was ``freed``, or else ``held``."""

    holder: Incarnation
    freed: int
    held: int


class HoldResolved(NamedTuple):
    """A hold ended by an operator or a bill of known cost; ``charge`` was billed."""

    budget: str
    subject: str
    charge: int
    freed: int


class ScopeWidened(NamedTuple):
    """Witnesses were added to the scope of ``holder``."""

    holder: Incarnation
    sidecars: tuple[Incarnation, ...]
    peers: tuple[Incarnation, ...]


class Ignored(NamedTuple):
    """A record or batch had no effect."""

    reason: str


LedgerOutcome = (
    TopUpApplied
    | GrantAccepted
    | GrantRefused
    | Billed
    | BillRepeated
    | BillUnfunded
    | OverrunDetected
    | GrantReduced
    | TransferApplied
    | HolderClosed
    | WitnessAcknowledged
    | HolderReleased
    | HoldResolved
    | ScopeWidened
    | Ignored
)
