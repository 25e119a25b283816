"""Replay of a ledger stream, with one handler per record type.

Replay updates the state in place and returns it, so the argument must not be used
afterwards. It is deterministic and accepts every record, so all readers have the
same state at each offset.
"""

from functools import singledispatch
from itertools import chain
from typing import Any

from clementinebend_ledger.checkpoints import (
    ledger_checkpoint,
    ledger_digest,
    restore_ledger,
)
from clementinebend_ledger.closing import acknowledge, close_holder, widen_scope
from clementinebend_ledger.outcomes import (
    GrantAccepted,
    GrantReduced,
    GrantRefused,
    HoldResolved,
    Ignored,
    LedgerOutcome,
    RefusalReason,
    TopUpApplied,
)
from clementinebend_ledger.settling import settle_bill
from clementinebend_ledger.state import (
    WRITER_WINDOW,
    BudgetSummary,
    GrantEntry,
    LedgerState,
    available,
    budget_entry,
    budget_summary,
    empty_ledger,
    holder_entry,
    is_closed,
    pay_shortfall,
    reduce_grant,
    resolve_hold,
    uncertain_amount,
)
from clementinebend_ledger.transfers import apply_transfer
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import (
    Batch,
    CloseAck,
    GrantRequest,
    GrantReturn,
    HolderClose,
    HoldResolve,
    Scope,
    Settle,
    TopUp,
    Transfer,
)

__all__ = [
    "BudgetSummary",
    "LedgerOutcome",
    "LedgerState",
    "budget_summary",
    "empty_ledger",
    "ledger_checkpoint",
    "ledger_digest",
    "replay",
    "restore_ledger",
]


def replay(
    state: LedgerState, offset: int, batch: Batch
) -> tuple[LedgerState, tuple[LedgerOutcome, ...]]:
    """Apply the batch at ``offset``; a batch that was already applied is ignored."""
    if offset <= state.offset:
        return state, (Ignored("offset already replayed"),)
    next_state = state._replace(offset=offset)
    if batch.sequence <= state.sequences.get(batch.writer, 0):
        return next_state, (Ignored("batch repeated"),)
    _record_sequence(next_state, batch.writer, batch.sequence)
    outcomes = [apply(record, next_state) for record in batch.records]
    return next_state, tuple(chain.from_iterable(outcomes))


@singledispatch
def apply(record: Any, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    """Apply one record; records that belong to other streams have no effect."""
    return (Ignored(f"{type(record).__name__} changes no ledger"),)


@apply.register
def _(record: TopUp, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    if record.amount <= 0:
        return (Ignored("top-up of no tokens"),)
    entry = budget_entry(state, record.budget)
    earlier = entry["top_ups"].get(record.top_up)
    if earlier is not None:
        same = earlier == record.amount
        reason = "top-up repeated" if same else "top-up id has another amount"
        return (Ignored(reason),)
    entry["top_ups"][record.top_up] = record.amount
    entry["topped_up"] += record.amount
    pay_shortfall(entry)
    return (TopUpApplied(record.budget, record.top_up, record.amount),)


@apply.register
def _(record: GrantRequest, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    budget, holder, grant, amount = record
    entry = state.budgets.get(budget)
    available_amount = available(entry) if entry else 0
    reason = _refusal_reason(state, record, available_amount)
    if entry is None or reason is not None:
        refused = reason or RefusalReason.INSUFFICIENT
        return (GrantRefused(budget, grant, holder, refused, available_amount, amount),)
    holder_entry(state, holder)
    entry["granted"] += amount
    state.grants[grant] = GrantEntry(
        budget=budget,
        holder=holder,
        remainder=amount,
        transferred=False,
        transfers=[],
    )
    return (GrantAccepted(budget, grant, holder, amount),)


@apply.register
def _(record: Settle, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    billed = [settle_bill(state, record.budget, bill) for bill in record.bills]
    return tuple(chain.from_iterable(billed))


@apply.register
def _(record: GrantReturn, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    grant = state.grants.get(record.grant)
    if grant is None or grant["budget"] != record.budget:
        return (Ignored("returned grant is not open"),)
    if grant["holder"] != record.holder or is_closed(state, record.holder):
        return (Ignored("returned grant is not the holder's"),)
    if record.amount <= 0:
        return (Ignored("return of no tokens"),)
    amount = reduce_grant(state, record.grant, record.amount)
    pay_shortfall(state.budgets[record.budget])
    return (GrantReduced(record.budget, record.grant, record.holder, amount),)


@apply.register
def _(record: HoldResolve, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    entry = state.budgets.get(record.budget)
    uncertain = uncertain_amount(entry, record.subject) if entry else 0
    if entry is None or not uncertain:
        return (Ignored("nothing is held for the subject"),)
    if not 0 <= record.charge <= uncertain:
        return (Ignored("charge is not within the hold"),)
    _, freed = resolve_hold(entry, record.subject, record.charge)
    pay_shortfall(entry)
    return (HoldResolved(record.budget, record.subject, record.charge, freed),)


@apply.register
def _(record: Scope, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    return widen_scope(state, record)


@apply.register
def _(record: HolderClose, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    return close_holder(state, record)


@apply.register
def _(record: CloseAck, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    return acknowledge(state, record)


@apply.register
def _(record: Transfer, state: LedgerState) -> tuple[LedgerOutcome, ...]:
    return apply_transfer(state, record)


def _refusal_reason(
    state: LedgerState, record: GrantRequest, available_amount: int
) -> RefusalReason | None:
    if is_closed(state, record.holder):
        return RefusalReason.HOLDER_CLOSED
    if record.grant in state.grants:
        return RefusalReason.GRANT_REPEATED
    if record.amount <= 0:
        return RefusalReason.BAD_AMOUNT
    return RefusalReason.INSUFFICIENT if record.amount > available_amount else None


def _record_sequence(state: LedgerState, writer: Incarnation, sequence: int) -> None:
    """Store the last sequence of a writer, with the most recent writer last.

    Above ``WRITER_WINDOW`` the oldest writer that is not a holder is evicted.
    """
    sequences = state.sequences
    sequences.pop(writer, None)
    sequences[writer] = sequence
    if len(sequences) > WRITER_WINDOW:
        idle = (name for name in sequences if name not in state.holders)
        oldest = next(idle, writer)
        if oldest != writer:
            del sequences[oldest]
