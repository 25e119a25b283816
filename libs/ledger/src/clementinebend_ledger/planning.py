"""The records that a holder appends: transfers, bills, returns, grant requests.

Order within a batch matters: a transfer precedes the bills paid from it, and
returns precede the request that may need the returned tokens. No record is planned
twice while its outcome is unread, since the stream's writer retries a batch until
it is read back.
"""

from clementinebend_ledger.holder_state import (
    BudgetUse,
    HolderState,
    budget_use,
    delete_if_spent,
    free_tokens,
)
from clementinebend_ledger.sizing import (
    REFILL_SHARE,
    SURPLUS_FACTOR,
    Accounts,
    amount_to_return,
    observe,
    share_of_available,
    target,
    tokens_per_second,
)
from clementinebend_ledger.state import BudgetSummary
from clementinebend_records.identifiers import GrantId
from clementinebend_records.records import (
    Bill,
    GrantRequest,
    GrantReturn,
    HolderClose,
    Record,
    Settle,
)


def plan(
    holder: HolderState, now: float, log_delay: float
) -> tuple[HolderState, dict[str, tuple[Record, ...]]]:
    """Return the records to append now, by budget.

    ``log_delay`` is the current delay of the log in seconds. A closed holder still
    logs its transfers and bills.
    """
    records = _unsent_records(holder)
    if holder.closed:
        return holder, {name: tuple(rows) for name, rows in records.items()}
    for budget in holder.budgets:
        holder, rows = _plan_budget(holder, budget, now, log_delay)
        if rows:
            records.setdefault(budget, []).extend(rows)
    return holder, {name: tuple(rows) for name, rows in records.items()}


def close_cleanly(holder: HolderState) -> tuple[HolderState, tuple[Record, ...]]:
    """Close the holder; return its last records, to append as one batch.

    Raises ``RuntimeError`` while a run is reserved: a clean close guarantees that no
    run is in progress.
    """
    if holder.runs:
        raise RuntimeError("a holder with reserved runs cannot close cleanly")
    transfers = [unlogged.record for unlogged in holder.transfers.values()]
    budgets = {unlogged.budget for unlogged in holder.bills.values()}
    settles = [Settle(budget, _bills_of(holder, budget)) for budget in sorted(budgets)]
    close = HolderClose(holder.incarnation, holder.incarnation, clean=True)
    return holder._replace(closed=True), (*transfers, *settles, close)


def observe_budget(
    holder: HolderState, budget: str, summary: BudgetSummary, now: float = 0.0
) -> HolderState:
    """Update the holder with the current accounts of a budget.

    A higher available amount ends the backoff after refusals.
    """
    use = budget_use(holder, budget)
    if use["billed"] >= 0:
        observe(use["fleet"], summary.billed - use["billed"], now)
    use["billed"] = summary.billed
    use["left"] = summary.available + summary.granted
    use["granted"] = summary.granted
    if summary.available > use["spare"]:
        use["retry_at"] = 0.0
    use["spare"] = summary.available
    use["holders"] = summary.holders
    return holder


def _unsent_records(holder: HolderState) -> dict[str, list[Record]]:
    """Return the transfers and bills not planned before, and mark them as sent."""
    records: dict[str, list[Record]] = {}
    for transfer, part in holder.transfers.items():
        if not part.sent:
            holder.transfers[transfer] = part._replace(sent=True)
            records.setdefault(part.record.budget, []).append(part.record)
    bills: dict[str, list[Bill]] = {}
    for run, unlogged in holder.bills.items():
        if not unlogged.sent:
            holder.bills[run] = unlogged._replace(sent=True)
            bills.setdefault(unlogged.budget, []).append(unlogged.bill)
    for budget, rows in bills.items():
        records.setdefault(budget, []).append(Settle(budget, tuple(rows)))
    return records


def _bills_of(holder: HolderState, budget: str) -> tuple[Bill, ...]:
    unlogged = holder.bills.values()
    return tuple(item.bill for item in unlogged if item.budget == budget)


def _plan_budget(
    holder: HolderState, budget: str, now: float, log_delay: float
) -> tuple[HolderState, list[Record]]:
    use = holder.budgets[budget]
    target_amount = target(
        use["forecast"],
        Accounts(tokens_per_second(use["fleet"], now), use["left"], use["holders"]),
        now,
        log_delay,
    )
    need = _unmet_need(use)
    if not need:
        spare = free_tokens(use) - sum(use["wanted"].values())
        returned = amount_to_return(max(0, spare), use["lacking"], use["granted"])
        use["lacking"] = 0
        surplus = max(returned, spare - int(target_amount * SURPLUS_FACTOR))
        returns = _deduct_returns(holder, budget, _split_over_grants(use, surplus))
        if returns:
            return holder, returns
    if any(use["requested"].values()) or now < use["retry_at"]:
        return holder, []
    return _request(holder, budget, need, target_amount)


def _unmet_need(use: BudgetUse) -> int:
    """Return the total that waiting runs need, or 0 if one grant covers it."""
    frees = (own["free"] for own in use["grants"].values())
    waiting = sum(use["wanted"].values())
    return waiting if waiting > max(frees, default=0) else 0


def _request(
    holder: HolderState, budget: str, need: int, target_amount: int
) -> tuple[HolderState, list[Record]]:
    """Request the needed amount, or a refill up to the target if that is more.

    If the available amount does not cover the need, free amounts that are too small
    for any waiting run are returned in the same batch, ahead of the request.
    """
    use = holder.budgets[budget]
    seen = use["spare"] >= 0
    undersized = _undersized_grants(use) if need and seen else {}
    limit = use["spare"] + sum(undersized.values())
    affordable_need = _need_within_limit(use, limit) if need and seen else need
    amount = max(affordable_need, _refill_amount(use, target_amount))
    if amount <= 0:
        return holder, []
    amounts = undersized if affordable_need > use["spare"] else {}
    returns = _deduct_returns(holder, budget, amounts)
    holder, request = _new_request(holder, budget, amount)
    return holder, [*returns, request]


def _refill_amount(use: BudgetUse, target_amount: int) -> int:
    """Return the tokens to request ahead of need.

    There is no refill while the free tokens are ``REFILL_SHARE`` of the target.
    """
    free = free_tokens(use)
    if free >= target_amount * REFILL_SHARE:
        return 0
    lacking = target_amount - free
    if use["spare"] < 0:
        return lacking
    return min(lacking, share_of_available(use["spare"], use["holders"]))


def _need_within_limit(use: BudgetUse, limit: int) -> int:
    """Return the total need of the waiting runs that fit, tried oldest first.

    If none fits, return the smallest need: it is requested after each backoff, since
    the budget may have more than was last seen.
    """
    total = 0
    for amount in use["wanted"].values():
        if total + amount <= limit:
            total += amount
    return total or min(use["wanted"].values())


def _undersized_grants(use: BudgetUse) -> dict[GrantId, int]:
    """Return the free amounts that are too small for any waiting run, by grant."""
    smallest = min(use["wanted"].values())
    grants = use["grants"].items()
    return {name: own["free"] for name, own in grants if 0 < own["free"] < smallest}


def _split_over_grants(use: BudgetUse, surplus: int) -> dict[GrantId, int]:
    """Split a surplus over the free tokens of the grants, oldest first."""
    amounts: dict[GrantId, int] = {}
    for name, own in use["grants"].items():
        part = min(surplus, own["free"])
        if part > 0:
            amounts[name] = part
            surplus -= part
    return amounts


def _deduct_returns(
    holder: HolderState, budget: str, amounts: dict[GrantId, int]
) -> list[Record]:
    """Deduct the amounts at once and return the records that log it."""
    use = holder.budgets[budget]
    for name, part in amounts.items():
        use["grants"][name]["free"] -= part
        delete_if_spent(use, name)
    return [
        GrantReturn(budget, name, holder.incarnation, part)
        for name, part in amounts.items()
    ]


def _new_request(
    holder: HolderState, budget: str, amount: int
) -> tuple[HolderState, GrantRequest]:
    issued = holder.issued + 1
    grant = GrantId(f"{holder.incarnation}/{issued}")
    holder.budgets[budget]["requested"][grant] = amount
    request = GrantRequest(budget, holder.incarnation, grant, amount)
    return holder._replace(issued=issued), request
