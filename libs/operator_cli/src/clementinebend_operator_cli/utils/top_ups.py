"""Logging the top-ups that are declared and not yet in the ledger."""

from collections.abc import Iterator
from itertools import groupby, islice

from expression import Error, Ok, Result

from clementinebend_declarations.models import Declarations
from clementinebend_ledger.replay import LedgerState
from clementinebend_operator_cli.exceptions import CommandError, failure
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.utils.following import Follower, following
from clementinebend_operator_cli.utils.replicas import ledger_replica
from clementinebend_records.records import TopUp
from clementinebend_records.streams import ledger_stream

TOP_UPS_PER_POST = 1_000

Posted = Result[tuple[TopUp, ...], CommandError]


async def post_top_ups(operator: Operator, declarations: Declarations) -> Posted:
    """Log each declared top-up that its ledger shard does not have.

    A repeat has no effect on the ledger, so a command that was cut off is
    simply run again.
    """
    shards = operator.settings.ledger_shards
    declared = sorted(
        declared_top_ups(declarations, operator.author),
        key=lambda record: ledger_stream(record.budget, shards),
    )
    posted: tuple[TopUp, ...] = ()
    for stream, records in groupby(
        declared, key=lambda record: ledger_stream(record.budget, shards)
    ):
        outcome = await post_to_shard(operator, stream, tuple(records))
        if outcome.is_error():
            return Error(outcome.error)
        posted += outcome.ok
    return Ok(posted)


async def post_to_shard(
    operator: Operator, stream: str, declared: tuple[TopUp, ...]
) -> Posted:
    """Log those of a shard's top-ups that it does not have."""
    async with following(operator, ledger_replica(stream)) as opened:
        if opened.is_error():
            return Error(opened.error)
        follower = opened.ok
        wrong = different_amount(follower.replica.state, declared)
        if wrong:
            return Error(wrong)
        missing = missing_top_ups(follower.replica.state, declared)
        return await post_in_parts(follower, missing)


async def post_in_parts(
    follower: Follower[LedgerState], missing: tuple[TopUp, ...]
) -> Posted:
    """Log top-ups, some in each batch."""
    rest = iter(missing)
    while part := tuple(islice(rest, TOP_UPS_PER_POST)):
        outcome = await follower.post(part)
        if outcome.is_error():
            return Error(outcome.error)
    wrong = different_amount(follower.replica.state, missing)
    return Error(wrong) if wrong else Ok(missing)


def declared_top_ups(declarations: Declarations, author: str) -> Iterator[TopUp]:
    """Yield the record of each declared top-up."""
    for name, budget in declarations.budgets.items():
        for top_up in budget.top_ups:
            yield TopUp(name, top_up.id, top_up.tokens, author)


def missing_top_ups(
    state: LedgerState, declared: tuple[TopUp, ...]
) -> tuple[TopUp, ...]:
    """Return the top-ups that a ledger shard does not have."""
    return tuple(
        record for record in declared if amount_in_ledger(state, record) is None
    )


def different_amount(
    state: LedgerState, declared: tuple[TopUp, ...]
) -> CommandError | None:
    """Return the error of a top-up that the ledger has with another amount."""
    for record in declared:
        amount = amount_in_ledger(state, record)
        if amount not in (None, record.amount):
            return failure(
                f"the ledger has the top-up {record.top_up!r} of the budget "
                f"{record.budget!r} with {amount} tokens, and {record.amount} are "
                "declared; give the declared one an id of its own"
            )
    return None


def amount_in_ledger(state: LedgerState, record: TopUp) -> int | None:
    """Return the tokens that the ledger has for a top-up, if it has it."""
    entry = state.budgets.get(record.budget)
    return entry["top_ups"].get(record.top_up) if entry else None
