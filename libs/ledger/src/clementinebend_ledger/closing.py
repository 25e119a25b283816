"""Replay of holder scopes, closes and releases.

The unspent tokens of a closed holder are released only once no process can spend
them: every sidecar in its scope rejects the holder, and every peer in its scope
either rejects it or is itself closed and rejected by all of its own sidecars. If
a sidecar lost its memory, the tokens are held instead, since it may have started
runs that nobody else knows of.
"""

from itertools import chain

from clementinebend_ledger.outcomes import (
    HolderClosed,
    HolderReleased,
    Ignored,
    LedgerOutcome,
    ScopeWidened,
    WitnessAcknowledged,
)
from clementinebend_ledger.state import (
    RELEASED_WINDOW,
    HolderEntry,
    LedgerState,
    WitnessStatus,
    add_hold,
    holder_entry,
    is_closed,
    pay_shortfall,
    reduce_grant,
    trim_oldest,
)
from clementinebend_records.identifiers import GrantId, Incarnation
from clementinebend_records.records import CloseAck, HolderClose, Scope


def widen_scope(state: LedgerState, record: Scope) -> tuple[LedgerOutcome, ...]:
    """Add witnesses to the scope of a holder that is not closed."""
    if is_closed(state, record.holder):
        return (Ignored("scope of a closed holder"),)
    entry = holder_entry(state, record.holder)
    for sidecar in record.sidecars:
        entry["sidecars"].setdefault(sidecar, WitnessStatus.OPEN)
    for peer in record.peers:
        entry["peers"].setdefault(peer, peer_status(state, peer))
    return (ScopeWidened(*record),)


def close_holder(state: LedgerState, record: HolderClose) -> tuple[LedgerOutcome, ...]:
    """Close a holder; a clean close by the holder itself releases it at once."""
    clean = record.clean and record.closed_by == record.holder
    if record.holder in state.released:
        return (Ignored("holder already released"),)
    entry = holder_entry(state, record.holder)
    if entry["closed"] and not clean:
        return (Ignored("holder already closed"),)
    entry["closed"] = True
    entry["clean"] = clean
    closed = HolderClosed(record.holder)
    return closed, *_release_acknowledged(state, record.holder)


def acknowledge(state: LedgerState, record: CloseAck) -> tuple[LedgerOutcome, ...]:
    """Record that a witness rejects a closed holder, or that it was lost."""
    entry = state.holders.get(record.holder)
    if entry is None or not entry["closed"]:
        return (Ignored("acknowledged holder is not closed"),)
    if record.witness in entry["sidecars"]:
        status = WitnessStatus.LOST if record.lost else WitnessStatus.ACKNOWLEDGED
        _set_status(entry["sidecars"], record.witness, status)
    elif record.witness not in entry["peers"]:
        return (Ignored("witness is not in the holder's scope"),)
    elif record.lost:
        return (Ignored("a lost peer counts only once it is closed itself"),)
    else:
        entry["peers"][record.witness] = WitnessStatus.ACKNOWLEDGED
    acknowledged = WitnessAcknowledged(*record)
    return acknowledged, *_release_acknowledged(state, record.holder)


def peer_status(state: LedgerState, peer: Incarnation) -> WitnessStatus:
    """Return the status of ``peer`` as a witness that follows from its own close."""
    if peer in state.released:
        return WitnessStatus(state.released[peer])
    entry = state.holders.get(peer)
    if entry is None or not entry["closed"]:
        return WitnessStatus.OPEN
    if entry["clean"]:
        return WitnessStatus.ACKNOWLEDGED
    return _combined_status(entry["sidecars"])


def _combined_status(statuses: dict[Incarnation, int]) -> WitnessStatus:
    found = set(statuses.values())
    if WitnessStatus.OPEN in found:
        return WitnessStatus.OPEN
    lost = WitnessStatus.LOST in found
    return WitnessStatus.LOST if lost else WitnessStatus.ACKNOWLEDGED


def _set_status(
    statuses: dict[Incarnation, int], witness: Incarnation, status: WitnessStatus
) -> None:
    """Set a status; an acknowledgement replaces a loss, but not the reverse."""
    if statuses[witness] != WitnessStatus.ACKNOWLEDGED:
        statuses[witness] = status


def _release_acknowledged(
    state: LedgerState, changed: Incarnation
) -> tuple[LedgerOutcome, ...]:
    """Release the closed holders that the change of ``changed`` lets be released."""
    status = peer_status(state, changed)
    if status != WitnessStatus.OPEN:
        _set_peer_status(state, changed, status)
    closing = [name for name, entry in state.holders.items() if entry["closed"]]
    released = (_release_if_acknowledged(state, holder) for holder in closing)
    return tuple(chain.from_iterable(released))


def _set_peer_status(
    state: LedgerState, peer: Incarnation, status: WitnessStatus
) -> None:
    scopes = (entry["peers"] for entry in state.holders.values())
    for peers in scopes:
        if peers.get(peer) == WitnessStatus.OPEN:
            peers[peer] = status


def _release_if_acknowledged(
    state: LedgerState, holder: Incarnation
) -> tuple[LedgerOutcome, ...]:
    entry = state.holders[holder]
    status = _release_status(entry)
    if status == WitnessStatus.OPEN:
        return ()
    own_status = peer_status(state, holder)
    del state.holders[holder]
    state.released[holder] = own_status
    trim_oldest(state.released, RELEASED_WINDOW)
    grants = [name for name, grant in state.grants.items() if grant["holder"] == holder]
    amounts = [_end_grant(state, name, status) for name in grants]
    held = sum(amounts) if status == WitnessStatus.LOST else 0
    return (HolderReleased(holder, sum(amounts) - held, held),)


def _release_status(entry: HolderEntry) -> WitnessStatus:
    if entry["clean"]:
        return WitnessStatus.ACKNOWLEDGED
    return _combined_status(entry["sidecars"] | entry["peers"])


def _end_grant(state: LedgerState, grant: GrantId, status: WitnessStatus) -> int:
    budget = state.budgets[state.grants[grant]["budget"]]
    amount = reduce_grant(state, grant, state.grants[grant]["remainder"])
    if status == WitnessStatus.LOST:
        add_hold(budget, grant, amount)
    pay_shortfall(budget)
    return amount
