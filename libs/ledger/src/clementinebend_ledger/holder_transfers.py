"""Direct transfers of granted tokens between entries, for network partitions.

The sender deducts the amount before it sends, and a received transfer is never
transferred again. Both sides log the record, so that it reaches the log if either
of them survives. Source: rights transfer of bounded counters (Balegas et al.
2015).
"""

from clementinebend_ledger.holder_state import (
    TRANSFER_WINDOW,
    HolderState,
    OwnGrant,
    UnloggedTransfer,
    budget_use,
    delete_if_spent,
)
from clementinebend_ledger.state import trim_oldest
from clementinebend_records.identifiers import GrantId, Incarnation
from clementinebend_records.messages import TransferReply
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
) -> tuple[HolderState, TransferReply]:
    """Transfer up to ``amount`` tokens of one of the holder's grants to a peer.

    The message has amount 0 if no grant has at least ``min_amount`` free tokens, if
    the receiver is not a logged witness of the holder or the holder is closed, or if
    the id ``transfer`` was used before.
    """
    grant = _largest_original_grant(holder, budget, min_amount)
    usable = receiver in holder.witnesses.get(stream, {}) and not holder.closed
    known = transfer in holder.known_transfers
    if grant is None or not usable or known or amount <= 0:
        none = GrantId("")
        message = TransferReply(
            question, budget, transfer, none, holder.incarnation, receiver, 0
        )
        return holder, message
    use = budget_use(holder, budget)
    given = min(amount, use["grants"][grant]["free"])
    use["grants"][grant]["free"] -= given
    delete_if_spent(use, grant)
    record = Transfer(budget, transfer, grant, holder.incarnation, receiver, given)
    _add_unlogged(holder, record)
    return holder, TransferReply(question, *record)


def receive_transfer(holder: HolderState, message: TransferReply) -> HolderState:
    """Add a transfer from a peer as a grant, which can be used at once.

    A repeated transfer is ignored, and so is one of a sender whose close this entry
    has acknowledged or read; the tokens of the latter stay in the sender's grant.
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
    """Reject all further transfers of a closed sender.

    Returns the unlogged transfers received from it. The batch that acknowledges the
    close must contain them ahead of the acknowledgement.
    """
    holder.closed_senders[sender] = None
    unlogged = (unlogged.record for unlogged in holder.transfers.values())
    return holder, tuple(record for record in unlogged if record.sender == sender)


def add_grant(
    holder: HolderState, budget: str, grant: GrantId, amount: int, transferred: bool
) -> None:
    """Add a grant behind the existing ones of its budget."""
    own = OwnGrant(free=amount, busy=0, transferred=transferred)
    budget_use(holder, budget)["grants"][grant] = own


def remember_transfer(holder: HolderState, transfer: GrantId) -> None:
    """Remember the id of a transfer that was sent or received."""
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
