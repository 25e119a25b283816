"""The baseline that asks for grants of one size and gives nothing back."""

from clementinebend_ledger.holder import HolderState, plan
from clementinebend_ledger.holder_state import BudgetUse, free_tokens
from clementinebend_records.identifiers import GrantId
from clementinebend_records.records import GrantRequest, Record

FIXED_GRANT = 20_000
"""Tokens of the fixed-size baseline's grants, about 30 reservations."""


def plan_fixed(
    holder: HolderState, now: float, log_delay: float
) -> tuple[HolderState, dict[str, tuple[Record, ...]]]:
    """Ask for a grant of the fixed size whenever less than half of one is left.

    Nothing is given back. Near the end of a budget the need alone is asked for.
    """
    ended, evidence = plan(holder._replace(closed=True), now, log_delay)
    holder = ended._replace(closed=False)
    records = dict(evidence)
    for budget, use in holder.budgets.items():
        need = sum(use["wanted"].values())
        amount = fixed_amount(use, need)
        if amount and not use["requested"] and now >= use["retry_at"]:
            issued = holder.issued + 1
            holder = holder._replace(issued=issued)
            grant = GrantId(f"{holder.incarnation}/{issued}")
            use["requested"][grant] = amount
            request = GrantRequest(budget, holder.incarnation, grant, amount)
            records[budget] = (*records.get(budget, ()), request)
    return holder, records


def fixed_amount(use: BudgetUse, need: int) -> int:
    """Return what the fixed-size baseline asks for, 0 for nothing."""
    if free_tokens(use) >= FIXED_GRANT // 2 and not need:
        return 0
    enough = use["spare"] < 0 or use["spare"] >= FIXED_GRANT
    return FIXED_GRANT if enough else need
