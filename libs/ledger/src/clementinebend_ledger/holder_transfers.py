"""Parts of grants that pass directly between entries on one side of a cut.

The sender subtracts before it sends; a part is never passed on twice. Both
sides log the record, so a part is known whichever of them lives. Source:
rights transfer of bounded counters (Balegas et al. 2015).
"""

from clementinebend_ledger.holder_state import (
    TRANSFER_WINDOW,
    HolderState,
    OwnGrant,
    UnloggedTransfer,
    budget_use,
    forget_spent,
)
from clementinebend_ledger.state import trim_oldest
from clementinebend_records.identifiers import GrantId, Incarnation
from clementinebend_records.messages import TransferGive
from clementinebend_records.records import Transfer


def send_transfer(
    holder: HolderState,
    budget: str,
    transfer: GrantId,
    receiver: Incarnation,
    amount: int,
    stream: str = "",
    question: int = 0,
    min_amount: int = 0,
) -> tuple[HolderState, TransferGive]:
    """Pass up to ``amount`` of one of the holder's own grants to a peer.

    Amount 0 if none has free tokens or as many as ``min_amount``, if the receiver
    is not a witness in force, or if ``transfer`` was used already.
    """
    grant = _largest_original_grant(holder, budget, min_amount)
    usable = receiver in holder.witnesses.get(stream, {}) and not holder.closed
    known = transfer in holder.known_transfers
    if grant is None or not usable or known or amount <= 0:
        none = GrantId("")
        message = TransferGive(
            question, budget, transfer, none, holder.incarnation, receiver, 0
        )
        return holder, message
    use = budget_use(holder, budget)
    given = min(amount, use["grants"][grant]["free"])
    use["grants"][grant]["free"] -= given
    forget_spent(use, grant)
    record = Transfer(budget, transfer, grant, holder.incarnation, receiver, given)
    _add_unlogged(holder, record)
    return holder, TransferGive(question, *record)


def receive_transfer(holder: HolderState, message: TransferGive) -> HolderState:
    """Take a part that a peer passed: it is usable at once.

    Refused from a sender whose close this entry has acknowledged or read, and
    as a repeat; the tokens then stay with the sender's grant.
    """
    misplaced = message.receiver != holder.incarnation or message.amount <= 0
    refused = holder.closed or message.sender in holder.closed_senders
    known = message.transfer in holder.known_transfers
    if misplaced or refused or known:
        return holder
    record = Transfer(*message[1:])
    _add_unlogged(holder, record)
    add_grant(holder, record.budget, record.transfer, record.amount, transferred=True)
    return holder


def refuse_sender(
    holder: HolderState, sender: Incarnation
) -> tuple[HolderState, tuple[Transfer, ...]]:
    """Refuse a closed sender's parts from now on.

    Returns the records to append in the batch that acknowledges its close,
    ahead of the acknowledgement.
    """
    holder.closed_senders[sender] = None
    unlogged = (unlogged.record for unlogged in holder.transfers.values())
    return holder, tuple(record for record in unlogged if record.sender == sender)


def add_grant(
    holder: HolderState, budget: str, grant: GrantId, amount: int, transferred: bool
) -> None:
    """Add a grant as the newest."""
    own = OwnGrant(free=amount, busy=0, transferred=transferred)
    budget_use(holder, budget)["grants"][grant] = own


def remember_transfer(holder: HolderState, transfer: GrantId) -> None:
    """Remember that a part was given or taken."""
    holder.known_transfers[transfer] = None
    trim_oldest(holder.known_transfers, TRANSFER_WINDOW)


def _add_unlogged(holder: HolderState, record: Transfer) -> None:
    holder.transfers[record.transfer] = UnloggedTransfer(record, sent=False)
    remember_transfer(holder, record.transfer)


def _largest_original_grant(
    holder: HolderState, budget: str, min_amount: int
) -> GrantId | None:
    use = holder.budgets.get(budget)
    grants = use["grants"].items() if use else ()
    own = {name: grant["free"] for name, grant in grants if not grant["transferred"]}
    largest = max(own, key=own.__getitem__, default=None)
    return largest if largest and own[largest] >= max(1, min_amount) else None
