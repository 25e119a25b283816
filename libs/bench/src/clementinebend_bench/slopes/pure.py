"""Costs of the pure libraries by size: replay, planning, look-ups, changes."""

from collections.abc import Callable, Iterable, Sequence
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop
from typing import Any

from clementinebend_bench.slopes.documents import (
    MODELS,
    budget_name,
    changed,
    document_of,
    publication,
    service_name,
    team_name,
    top_ups,
)
from clementinebend_bench.slopes.drivers import (
    BILL_TOKENS,
    GRANT,
    GRANT_TOKENS,
    OPERATOR,
    OTHER_ENTRY,
)
from clementinebend_bench.slopes.fit import Line, Point, fit_line
from clementinebend_declarations.checkpoints import encode_configuration_state
from clementinebend_declarations.replay import (
    configuration_of,
    empty_configuration_state,
    replay_configuration,
)
from clementinebend_declarations.state import ConfigurationState
from clementinebend_entry.lookup import directory_of, find_budget
from clementinebend_ledger.holder import (
    cancel,
    empty_holder,
    observe_budget,
    on_outcome,
    plan,
    reserve,
)
from clementinebend_ledger.holder_state import HolderState
from clementinebend_ledger.outcomes import GrantAccepted
from clementinebend_ledger.replay import (
    LedgerState,
    budget_summary,
    empty_ledger,
    ledger_checkpoint,
    replay,
)
from clementinebend_records.codec import decode_batch, encode_batch
from clementinebend_records.identifiers import (
    Incarnation,
    RequestKey,
    RunId,
    digest_of,
)
from clementinebend_records.records import (
    Batch,
    Bill,
    GrantRequest,
    Record,
    Settle,
    TopUp,
)

REPEATS = 5
CHANGES = 10
BUDGET_SIZES = (100, 1_000, 5_000)
BILL_SIZES = (1_000, 5_000, 15_000)
BILLS_IN_SETTLE = 60
"""What an entry of the target bills between two of its appends."""

MUCH = 10**12
LOG_DELAY = 0.05


def pure_lines() -> dict[str, Line]:
    """Return all lines by name; sizes are budgets or bills."""
    return {
        "replay: seconds by bills": _line(BILL_SIZES, bill_seconds),
        "replay: state bytes by bills": _line(BILL_SIZES, bill_memory),
        "replay: state bytes by budgets": _line(BUDGET_SIZES, budget_memory),
        "log: bytes by bills": _line(BILL_SIZES, bill_log_bytes),
        "checkpoint: bytes by bills": _line(BILL_SIZES, bill_checkpoint),
        "checkpoint: bytes by budgets": _line(BUDGET_SIZES, budget_checkpoint),
        "configuration: bytes by budgets": _line(BUDGET_SIZES, configuration_size),
        "plan: seconds by budgets in use": _line(BUDGET_SIZES, plan_seconds),
        "look-up: seconds by budgets declared": _line(BUDGET_SIZES, lookup_seconds),
        "change: seconds by budgets declared": _line(BUDGET_SIZES, change_seconds),
    }


def bill_seconds(bills: int) -> float:
    """Return the time to decode and replay bills as an entry appends them."""
    appends = [encode_batch(batch) for batch in _bill_batches(bills)]

    def replay_all() -> None:
        state = _funded_ledger()
        for offset, data in enumerate(appends, state.offset + 1):
            state, _ = replay(state, offset, _decoded(data))

    return _best(replay_all)


def bill_memory(bills: int) -> float:
    """Return the bytes of a ledger state that remembers bills."""
    return _memory(lambda: _billed_ledger(bills))


def budget_memory(budgets: int) -> float:
    """Return the bytes of a ledger state with budgets, each with one top-up."""
    return _memory(lambda: _topped_up_ledger(budgets))


def bill_log_bytes(bills: int) -> float:
    """Return the bytes of bills on the log, as an entry appends them."""
    return sum(len(encode_batch(batch)) for batch in _bill_batches(bills))


def bill_checkpoint(bills: int) -> float:
    """Return the bytes of a checkpoint that remembers bills."""
    return len(ledger_checkpoint(_billed_ledger(bills), "ledger-0").state)


def budget_checkpoint(budgets: int) -> float:
    """Return the bytes of a checkpoint with budgets."""
    return len(ledger_checkpoint(_topped_up_ledger(budgets), "ledger-0").state)


def configuration_size(budgets: int) -> float:
    """Return the bytes of a checkpoint of the configuration."""
    return len(encode_configuration_state(_declared(document_of(budgets))))


def plan_seconds(budgets: int) -> float:
    """Return the time of one round of planning with budgets in use."""
    holder = _holder_with(budgets)
    return _best(lambda: plan(holder, 1.0, LOG_DELAY))


def lookup_seconds(budgets: int) -> float:
    """Return the time to find the budget of one request."""
    directory = directory_of(configuration_of(_declared(document_of(budgets))))
    team = team_name((budgets - 1) // MODELS)

    def find() -> None:
        for _ in range(CHANGES):
            find_budget(directory, team, service_name(0), "")

    return _best(find) / CHANGES


def change_seconds(budgets: int) -> float:
    """Return the time to put one change in force, index of teams included."""
    document = document_of(budgets)
    state = _declared(document)
    batches = []
    for number in range(1, CHANGES + 1):
        edited = changed(document, number)
        record = publication(number, document, edited)
        batches.append(Batch(OPERATOR, number + 1, (record,)))
        document = edited

    def apply_all() -> None:
        after = state
        for offset, batch in enumerate(batches, 1):
            after, _ = replay_configuration(after, offset, batch)
            directory_of(configuration_of(after))
        if configuration_of(after).revision != CHANGES + 1:
            raise RuntimeError("a change was not accepted")

    return _best(apply_all) / CHANGES


def _line(sizes: Sequence[int], measure: Callable[[int], float]) -> Line:
    return fit_line(Point(size, measure(size)) for size in sizes)


def _best(work: Callable[[], Any]) -> float:
    """Return the shortest time of several tries: the least disturbed one."""
    times = []
    for _ in range(REPEATS):
        began = perf_counter()
        work()
        times.append(perf_counter() - began)
    return min(times)


def _memory(make: Callable[[], Any]) -> float:
    start()
    made = make()
    kept, _ = get_traced_memory()
    stop()
    del made
    return kept


def _decoded(data: bytes) -> Batch:
    batch = decode_batch(data)
    if not isinstance(batch, Batch):
        raise RuntimeError(f"a batch cannot be read: {batch.reason}")
    return batch


def _apply(state: LedgerState, records: Iterable[Record]) -> LedgerState:
    offset = state.offset + 1
    batch = Batch(OPERATOR, offset + 1, tuple(records))
    return replay(state, offset, batch)[0]


def _funded_ledger() -> LedgerState:
    budget = budget_name(0)
    top_up = TopUp(budget, "first", MUCH, "jana")
    request = GrantRequest(budget, OTHER_ENTRY, GRANT, GRANT_TOKENS)
    return _apply(empty_ledger(), (top_up, request))


def _billed_ledger(bills: int) -> LedgerState:
    state = _funded_ledger()
    for batch in _bill_batches(bills):
        state, _ = replay(state, state.offset + 1, batch)
    return state


def _topped_up_ledger(budgets: int) -> LedgerState:
    return _apply(empty_ledger(), top_ups(budgets))


def _bill_batches(bills: int) -> list[Batch]:
    starts = range(0, bills, BILLS_IN_SETTLE)
    return [
        Batch(OTHER_ENTRY, number, (Settle(budget_name(0), _bills(begin, bills)),))
        for number, begin in enumerate(starts, 1)
    ]


def _bills(begin: int, bills: int) -> tuple[Bill, ...]:
    numbers = range(begin, min(begin + BILLS_IN_SETTLE, bills))
    digests = (digest_of(str(number).encode()) for number in numbers)
    return tuple(
        Bill(RequestKey(f"team-00000/{digest}"), RunId(digest), GRANT, BILL_TOKENS)
        for digest in digests
    )


def _holder_with(budgets: int) -> HolderState:
    """Return a holder that has used a grant of each budget."""
    holder = empty_holder(Incarnation("entry-1#0123456789ab"))
    ledger = _topped_up_ledger(budgets)
    for number in range(budgets):
        name, run = budget_name(number), RunId(f"{number:024}")
        holder, _ = reserve(holder, name, run, BILL_TOKENS, 0.0)
        holder = observe_budget(holder, name, budget_summary(ledger, name))
    holder, records = plan(holder, 0.0, LOG_DELAY)
    asked = (row for rows in records.values() for row in rows)
    for row in asked:
        if isinstance(row, GrantRequest):
            accepted = GrantAccepted(row.budget, row.grant, row.holder, row.amount)
            holder = on_outcome(holder, accepted, 0.0)
    for number in range(budgets):
        name, run = budget_name(number), RunId(f"{number:024}")
        holder, _ = reserve(holder, name, run, BILL_TOKENS, 0.0)
        holder = cancel(holder, run)
    return holder


def _declared(document: dict[str, Any]) -> ConfigurationState:
    record = publication(0, {}, document)
    batch = Batch(OPERATOR, 1, (record,))
    return replay_configuration(empty_configuration_state(), 0, batch)[0]
