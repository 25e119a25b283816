"""Reading the ledger shards and what the operator needs of them."""

from collections.abc import Iterable
from typing import Any

from expression import Error, Ok, Result

from clementinebend_ledger.replay import LedgerState, budget_summary
from clementinebend_operator_cli.exceptions import CommandError
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.replicas import Replica, ledger_replica

Ledgers = dict[str, Replica[LedgerState]]
"""Replicas by the name of their stream."""


async def read_ledgers(
    operator: Operator, streams: Iterable[str]
) -> Result[Ledgers, CommandError]:
    """Return the ledger shards, each read to its end, one after the other."""
    ledgers: Ledgers = {}
    for stream in dict.fromkeys(streams):
        read = await read_stream(operator, ledger_replica(stream))
        if read.is_error():
            return Error(read.error)
        ledgers[stream] = read.ok
    return Ok(ledgers)


def holds_of(state: LedgerState, budget: str) -> dict[str, int]:
    """Return the tokens held of a budget, by their subject."""
    entry = state.budgets.get(budget)
    return dict(entry["holds"]) if entry else {}


def summary_data(state: LedgerState, budget: str) -> dict[str, Any]:
    """Return the accounts of a budget for scripts."""
    return budget_summary(state, budget)._asdict()
