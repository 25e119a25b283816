"""``clementinebend budget resolve``: decide on an amount that is held."""

from functools import partial
from typing import Any

from expression import Error, Ok

from clementinebend_ledger.outcomes import HoldResolved
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.arguments import whole_number
from clementinebend_operator_cli.utils.following import following
from clementinebend_operator_cli.utils.ledgers import holds_of
from clementinebend_operator_cli.utils.operators import require_author, with_operator
from clementinebend_operator_cli.utils.replicas import ledger_replica
from clementinebend_records.records import HoldResolve
from clementinebend_records.streams import ledger_stream


async def budget_resolve(
    subject: str, *, charge: str, budget: str, author: str = "", settings: str = ""
) -> Outcome:
    """Charge a part of what is held of a budget, and free the rest.

    Args:
        subject: Request key or grant, as `budget show BUDGET` lists it.
        charge: Tokens to charge, from 0 to all that is held.
        budget: Name of the budget.
        author: Who decides; else the author in the settings.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    tokens = whole_number(charge, "--charge")
    if tokens.is_error():
        return Error(tokens.error)
    record = HoldResolve(budget, subject, tokens.ok, author)
    return await with_operator(settings, author, partial(resolve_hold, record=record))


async def resolve_hold(operator: Operator, record: HoldResolve) -> Outcome:
    """Log a decision on a hold, signed by the operator."""
    unsigned = require_author(operator)
    if unsigned:
        return Error(unsigned)
    signed = record._replace(author=operator.author)
    stream = ledger_stream(record.budget, operator.settings.ledger_shards)
    async with following(operator, ledger_replica(stream)) as opened:
        if opened.is_error():
            return Error(opened.error)
        follower = opened.ok
        wrong = _fault(holds_of(follower.replica.state, record.budget), record)
        if wrong:
            return Error(wrong)
        posted = await follower.post((signed,))
    if posted.is_error():
        return Error(posted.error)
    return _outcome(posted.ok.outcomes)


def _fault(holds: dict[str, int], record: HoldResolve) -> CommandError | None:
    held = holds.get(record.subject)
    if held is None:
        subjects = ", ".join(sorted(holds)) or "none"
        return invalid_input(
            f"nothing is held of the budget {record.budget!r} for "
            f"{record.subject!r}; subjects are: {subjects}"
        )
    if record.charge > held:
        message = f"--charge is {record.charge}; allowed: 0 to {held}, which is held"
        return invalid_input(message)
    return None


def _outcome(outcomes: tuple[Any, ...]) -> Outcome:
    resolved = next((one for one in outcomes if isinstance(one, HoldResolved)), None)
    if resolved is None:
        message = "somebody else resolved it first: look at `budget show`"
        return Error(CommandError(ExitCode.CONFLICT, message))
    line = (
        f"{resolved.budget}: charged {resolved.charge:_} and "
        f"freed {resolved.freed:_} tokens of {resolved.subject}"
    )
    return Ok(Report((line,), resolved._asdict()))
