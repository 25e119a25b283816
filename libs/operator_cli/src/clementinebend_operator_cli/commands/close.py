"""``clementinebend close``: end the grants of a holder that is gone."""

from functools import partial

from expression import Error, Ok, Result

from clementinebend_ledger.replay import LedgerState
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.following import Follower, following
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.replicas import ledger_replica
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import HolderClose
from clementinebend_records.streams import ledger_streams

CLOSED_NOW = "closed"
CLOSED_BEFORE = "closed already"
UNKNOWN = "unknown here"


async def close(holder: str, *, settings: str = "") -> Outcome:
    """Close a holder in every ledger shard that knows it.

    Entries then ask its witnesses what it spent, and free the rest. A holder
    that is alive after all refuses requests until it has a new incarnation.

    Args:
        holder: Incarnation of an entry, as `audit --ledger` shows it.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    if not holder:
        return Error(invalid_input("HOLDER is empty; give an incarnation"))
    action = partial(close_holder, holder=Incarnation(holder))
    return await with_operator(settings, "", action)


async def close_holder(operator: Operator, holder: Incarnation) -> Outcome:
    """Close a holder in each ledger shard that knows it."""
    results: dict[str, str] = {}
    open_holders: set[Incarnation] = set()
    for stream in ledger_streams(operator.settings.ledger_shards):
        async with following(operator, ledger_replica(stream)) as opened:
            if opened.is_error():
                return Error(opened.error)
            open_holders |= _open_holders(opened.ok.replica.state)
            closed = await _close_in_shard(opened.ok, holder)
        if closed.is_error():
            return Error(closed.error)
        results[stream] = closed.ok
    if set(results.values()) == {UNKNOWN}:
        names = ", ".join(sorted(open_holders)) or "none"
        message = f"no shard knows the holder {holder!r}; open are: {names}"
        return Error(invalid_input(message))
    lines = tuple(f"{stream}: {result}" for stream, result in results.items())
    return Ok(Report(lines, {"holder": holder, "shards": results}))


async def _close_in_shard(
    follower: Follower[LedgerState], holder: Incarnation
) -> Result[str, CommandError]:
    state = follower.replica.state
    if holder in state.released:
        return Ok(CLOSED_BEFORE)
    entry = state.holders.get(holder)
    if entry is None and not _has_grants(state, holder):
        return Ok(UNKNOWN)
    if entry is not None and entry["closed"]:
        return Ok(CLOSED_BEFORE)
    record = HolderClose(holder, follower.writer.writer)
    posted = await follower.post((record,))
    return posted.map(lambda _: CLOSED_NOW)


def _has_grants(state: LedgerState, holder: Incarnation) -> bool:
    return any(grant["holder"] == holder for grant in state.grants.values())


def _open_holders(state: LedgerState) -> set[Incarnation]:
    with_scope = {name for name, entry in state.holders.items() if not entry["closed"]}
    with_grants = {grant["holder"] for grant in state.grants.values()}
    closed = {name for name, entry in state.holders.items() if entry["closed"]}
    return (with_scope | with_grants) - closed
