"""``clementinebend budget show``: what budgets have, spent and hold."""

from functools import partial
from typing import Any

from expression import Error, Ok

from clementinebend_declarations.models import Budget
from clementinebend_declarations.replay import configuration_of
from clementinebend_ledger.replay import LedgerState
from clementinebend_operator_cli.exceptions import invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.ledgers import (
    Ledgers,
    holds_of,
    read_ledgers,
    summary_data,
)
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import table
from clementinebend_operator_cli.utils.replicas import configuration_replica
from clementinebend_records.streams import ledger_stream, ledger_streams

AMOUNTS = ("topped_up", "billed", "held", "granted", "available")
UNDECLARED = "(not declared)"

Budgets = dict[str, Budget]


async def budget_show(name: str = "", *, settings: str = "") -> Outcome:
    """Show tokens topped up, billed, held, granted and available.

    Args:
        name: One budget, with what is held of it; else all budgets.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    return await with_operator(settings, "", partial(show_budgets, name=name))


async def show_budgets(operator: Operator, name: str) -> Outcome:
    """Return the accounts of one budget, or of all."""
    read = await read_stream(operator, configuration_replica())
    if read.is_error():
        return Error(read.error)
    declared = configuration_of(read.ok.state).declarations.budgets
    shards = operator.settings.ledger_shards
    streams = (ledger_stream(name, shards),) if name else ledger_streams(shards)
    ledgers = await read_ledgers(operator, streams)
    if ledgers.is_error():
        return Error(ledgers.error)
    known = _known(declared, ledgers.ok)
    if name and name not in known:
        listed = ", ".join(sorted(declared)) or "none"
        message = f"no budget {name!r}; declared are: {listed}"
        return Error(invalid_input(message))
    names = (name,) if name else known
    rows = [_row(ledgers.ok, shards, budget, declared) for budget in names]
    return Ok(_report(rows, with_holds=bool(name)))


def _known(declared: Budgets, ledgers: Ledgers) -> tuple[str, ...]:
    """Return budgets that are declared, or that the shards read know of."""
    in_ledgers = (name for shard in ledgers.values() for name in shard.state.budgets)
    return tuple(sorted({*declared, *in_ledgers}))


def _row(
    ledgers: Ledgers, shards: int, budget: str, declared: Budgets
) -> dict[str, Any]:
    state: LedgerState = ledgers[ledger_stream(budget, shards)].state
    team = declared[budget].team if budget in declared else UNDECLARED
    holds = {"holds": holds_of(state, budget)}
    return {"budget": budget, "team": team} | summary_data(state, budget) | holds


def _report(rows: list[dict[str, Any]], with_holds: bool) -> Report:
    head = ("budget", "team", *(amount.replace("_", " ") for amount in AMOUNTS))
    columns = ("budget", "team", *AMOUNTS)
    lines = table(head, ([row[column] for column in columns] for row in rows))
    held = [item for row in rows for item in row["holds"].items()]
    if with_holds and held:
        lines += ("", *table(("held for", "tokens"), held))
    return Report(lines, rows)
