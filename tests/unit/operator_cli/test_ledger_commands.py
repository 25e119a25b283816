"""Budgets, holds and holders, as operators see and change them."""

from collections.abc import Callable
from typing import Any

import pytest

from clementinebend_ledger.replay import budget_summary
from clementinebend_operator_cli.commands.audit import audit_streams
from clementinebend_operator_cli.commands.budget_resolve import resolve_hold
from clementinebend_operator_cli.commands.budget_show import show_budgets
from clementinebend_operator_cli.commands.close import close_holder
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.records import (
    Bill,
    Checkpoint,
    GrantRequest,
    HolderClose,
    HoldResolve,
    Settle,
    TopUp,
)
from clementinebend_records.streams import ledger_stream
from tests.lib.fake_log import FakeLog
from tests.unit.operator_cli.desk import (
    AUTHOR,
    IMPATIENT,
    SHARDS,
    ledger,
    operator_on,
    put,
)

BUDGET = "kosice-lookups"
HOLDER = Incarnation("entry-1#a0")
KEY = RequestKey("kosice/ab12")
STREAM = ledger_stream(BUDGET, SHARDS)
OUTSIDER = Incarnation("entry-2#b1")


def ledger_with_hold() -> FakeLog:
    """Return a log with 1000 tokens: 600 granted, 250 of them held."""
    log = FakeLog()
    grant = GrantId("grant-1")
    bill = Bill(KEY, RunId("run-1"), grant, 250, held=True)
    put(
        log,
        STREAM,
        TopUp(BUDGET, "q4", 1_000, "milan"),
        GrantRequest(BUDGET, HOLDER, grant, 600),
        Settle(BUDGET, (bill,)),
    )
    return log


async def outcome_of(log: FakeLog, command: Any, *args: Any, **options: Any) -> Any:
    async with operator_on(log, **options) as operator:
        return await command(operator, *args)


def resolve(charge: int, subject: str = KEY) -> HoldResolve:
    return HoldResolve(BUDGET, subject, charge, "")


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (resolve(251), "allowed: 0 to 250"),
        (resolve(1, "kosice/none"), "subjects are: kosice/ab12"),
        (resolve(1)._replace(budget="none"), "nothing is held"),
    ],
)
async def test_wrong_resolve_is_refused_and_changes_nothing(
    record: HoldResolve, expected: str
) -> None:
    log = ledger_with_hold()
    outcome = await outcome_of(log, resolve_hold, record)
    assert outcome.error.code is ExitCode.INVALID_INPUT
    assert expected in outcome.error.message
    assert budget_summary(ledger(log, BUDGET), BUDGET).held == 250


async def test_resolve_charges_a_part_and_frees_the_rest_once() -> None:
    log = ledger_with_hold()
    await log.set(lose_answers=2)
    outcome = await outcome_of(log, resolve_hold, resolve(100))
    assert outcome.ok.data["freed"] == 150
    summary = budget_summary(ledger(log, BUDGET), BUDGET)
    assert (summary.billed, summary.held, summary.available) == (100, 0, 550)
    again = await outcome_of(log, resolve_hold, resolve(100))
    assert again.error.code is ExitCode.INVALID_INPUT


class RacingOperator:
    """A log client before whose first append another operator's record lands."""

    def __init__(self, log: FakeLog, act: Callable[[], None]) -> None:
        self.client = log.client()
        self.act = act
        self.acted = False

    async def append(self, stream: str, data: bytes) -> Any:
        if not self.acted:
            self.acted = True
            self.act()
        return await self.client.append(stream, data)

    async def read(self, *args: Any) -> Any:
        return await self.client.read(*args)


async def test_of_two_operators_who_resolve_the_second_sees_a_conflict() -> None:
    log = ledger_with_hold()
    theirs = resolve(250)._replace(author="milan")
    racing = RacingOperator(log, lambda: put(log, STREAM, theirs))
    async with operator_on(log) as operator:
        outcome = await resolve_hold(operator._replace(log=racing), resolve(0))
    assert outcome.error.code is ExitCode.CONFLICT
    assert budget_summary(ledger(log, BUDGET), BUDGET).billed == 250


async def test_budgets_are_shown_with_their_holds() -> None:
    log = ledger_with_hold()
    report = (await outcome_of(log, show_budgets, BUDGET)).ok
    assert report.lines[1].split()[-5:] == ["1_000", "0", "250", "350", "400"]
    assert report.data[0]["holds"] == {KEY: 250}
    unknown = await outcome_of(log, show_budgets, "none")
    assert unknown.error.code is ExitCode.INVALID_INPUT


async def test_close_ends_a_holder_in_the_shards_that_know_it() -> None:
    log = ledger_with_hold()
    unknown = await outcome_of(log, close_holder, OUTSIDER)
    assert unknown.error.code is ExitCode.INVALID_INPUT
    assert f"open are: {HOLDER}" in unknown.error.message
    for expected in ("closed", "closed already"):
        outcome = await outcome_of(log, close_holder, HOLDER)
        assert outcome.ok.data["shards"][STREAM] == expected
    closes = [
        record
        for _, batch in log.batches(STREAM)
        for record in batch.records
        if isinstance(record, HolderClose)
    ]
    assert [record.holder for record in closes] == [HOLDER]
    assert not closes[0].clean


async def test_audit_tells_who_granted_closed_and_resolved() -> None:
    log = ledger_with_hold()
    await outcome_of(log, resolve_hold, resolve(100))
    await outcome_of(log, close_holder, HOLDER)
    rows = (await outcome_of(log, audit_streams, True, 50)).ok.data["ledger"]
    events = [(row["event"], row["author"]) for row in rows]
    assert events[:4] == [
        ("TopUpApplied", "milan"),
        ("GrantAccepted", ""),
        ("HoldResolved", AUTHOR),
        ("HolderClosed", ""),
    ]


@pytest.mark.parametrize(
    "command",
    [
        lambda operator: resolve_hold(operator, resolve(1)),
        lambda operator: show_budgets(operator, ""),
        lambda operator: close_holder(operator, HOLDER),
        lambda operator: audit_streams(operator, True, 1),
    ],
)
async def test_silent_log_has_an_exit_code_of_its_own(
    command: Callable[[Operator], Any],
) -> None:
    log = ledger_with_hold()
    await log.set(outage=True)
    outcome: Outcome = await outcome_of(log, command, patience=IMPATIENT)
    assert outcome.error.code is ExitCode.LOG_UNREACHABLE


async def test_damaged_checkpoint_is_told_and_not_used() -> None:
    log = ledger_with_hold()
    put(log, STREAM, Checkpoint(STREAM, 0, "0" * 24, b"\x00"))
    await log.trim(STREAM, 1)
    outcome = await outcome_of(log, show_budgets, BUDGET)
    assert outcome.error.code is ExitCode.FAILURE
    assert "the state is damaged" in outcome.error.message
