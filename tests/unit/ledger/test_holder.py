"""Tests of a holder: reservations, bills, grant requests, returns and wait hints."""

import pytest

from clementinebend_ledger.bounds import upper_bound
from clementinebend_ledger.holder import (
    HolderState,
    cancel,
    close_cleanly,
    empty_holder,
    has_witness,
    observe_budget,
    on_outcome,
    plan,
    reserve,
    resume,
    settle,
    wait_hint,
    widen,
)
from clementinebend_ledger.holder_state import NeedsGrant, Reserved
from clementinebend_ledger.outcomes import Billed, BillRepeated, HolderClosed
from clementinebend_ledger.replay import BudgetSummary, ledger_checkpoint
from clementinebend_ledger.replay import restore_ledger as restore
from clementinebend_records.identifiers import GrantId, RequestKey, RunId
from clementinebend_records.records import (
    GrantRequest,
    GrantReturn,
    HolderClose,
    Record,
    Settle,
    Transfer,
)
from tests.unit.ledger.scripts import (
    ALICE,
    BOB,
    OPERATOR,
    SIDECAR,
    TEAM,
    Script,
    close,
    request,
    scope,
    top_up,
)

RUN, RUN_2, RUN_3 = RunId("r1"), RunId("r2"), RunId("r3")
KEY = RequestKey("k")


def append_and_read(
    holder: HolderState, script: Script, *records: Record
) -> HolderState:
    for outcome in script.add(*records):
        holder = on_outcome(holder, outcome, 0.0)
    return holder


def plan_and_read(
    holder: HolderState, script: Script, now: float = 0.0
) -> tuple[HolderState, list[Record]]:
    """Append what the holder plans, and read it back."""
    holder, rows = plan(holder, now, 0.0)
    records = [record for row in rows.values() for record in row]
    return append_and_read(holder, script, *records), records


def holder_with_grant(amount: int, budget: int = 1000) -> tuple[HolderState, Script]:
    script = Script(top_up(budget))
    holder = empty_holder(ALICE)
    reserve(holder, TEAM, RunId("first"), amount, 0.0)
    holder, _ = plan_and_read(holder, script)
    return cancel(holder, RunId("first")), script


def free_amounts(holder: HolderState) -> list[int]:
    return [own["free"] for own in holder.budgets[TEAM]["grants"].values()]


def test_upper_bound_covers_prompt_and_answer() -> None:
    assert upper_bound(12, 30) == 42


def test_reservation_waits_for_a_grant_with_room() -> None:
    script = Script(top_up(100))
    holder, outcome = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    assert outcome == NeedsGrant(60)
    holder, records = plan_and_read(holder, script)
    grant = GrantId(f"{ALICE}/1")
    assert records == [GrantRequest(TEAM, ALICE, grant, 60)]
    holder, outcome = reserve(holder, TEAM, RUN, 60, 0.0)
    assert outcome == Reserved(grant, 60)


def test_request_in_flight_is_not_repeated() -> None:
    holder, _ = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    holder, rows = plan(holder, 0.0, 0.0)
    assert rows
    assert plan(holder, 9.0, 0.0)[1] == {}


def test_oldest_grant_with_room_pays() -> None:
    holder, script = holder_with_grant(10)
    holder, _ = reserve(holder, TEAM, RUN, 30, 0.0)
    holder, _ = plan_and_read(holder, script)
    holder, outcome = reserve(holder, TEAM, RUN_2, 5, 0.0)
    assert outcome == Reserved(GrantId(f"{ALICE}/1"), 5)
    holder, outcome = reserve(holder, TEAM, RUN, 30, 0.0)
    assert outcome == Reserved(GrantId(f"{ALICE}/2"), 30)
    assert free_amounts(holder) == [5, 0]


def test_settled_rest_is_free_and_the_bill_is_kept_until_logged() -> None:
    holder, script = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    holder, made = settle(holder, RUN, KEY, 20)
    assert free_amounts(holder) == [30]
    assert settle(holder, RUN, KEY, 20)[1] is None
    holder, rows = plan(holder, 0.0, 0.0)
    assert Settle(TEAM, (made,)) in rows[TEAM]  # type: ignore[arg-type]
    assert RUN in holder.bills
    later = plan(holder, 0.0, 0.0)[1].get(TEAM, ())
    assert not any(isinstance(record, Settle) for record in later)
    holder = append_and_read(holder, script, *rows[TEAM])
    assert not holder.bills


def test_run_reserves_once() -> None:
    holder, _ = holder_with_grant(50)
    holder, first = reserve(holder, TEAM, RUN, 20, 0.0)
    holder, again = reserve(holder, TEAM, RUN, 20, 0.0)
    assert (again, free_amounts(holder)) == (first, [30])


def test_cancelled_run_frees_its_whole_reservation() -> None:
    holder, _ = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    assert free_amounts(cancel(holder, RUN)) == [50]


def test_repeated_bill_of_another_run_frees_its_tokens() -> None:
    holder, _ = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 20, 0.0)
    holder, _ = reserve(holder, TEAM, RUN_2, 20, 0.0)
    holder, first = settle(holder, RUN, KEY, 20)
    holder, second = settle(holder, RUN_2, KEY, 20)
    assert first is not None and second is not None
    assert free_amounts(holder) == [10]
    holder = on_outcome(holder, Billed(first), 0.0)
    holder = on_outcome(holder, BillRepeated(second, RUN), 0.0)
    assert free_amounts(holder) == [30]
    holder = on_outcome(holder, BillRepeated(first, RUN), 0.0)
    assert free_amounts(holder) == [30]


def test_repeated_bill_of_the_same_run_frees_nothing() -> None:
    holder, _ = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 20, 0.0)
    holder, made = settle(holder, RUN, KEY, 20)
    assert made is not None
    holder = on_outcome(holder, BillRepeated(made, RUN), 0.0)
    assert free_amounts(holder) == [30]


def test_bill_logged_by_another_witness_ends_the_reservation() -> None:
    holder, _ = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    copy = settle(holder, RUN, KEY, 20)[1]
    assert copy is not None
    holder, _ = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    holder = on_outcome(holder, Billed(copy), 0.0)
    assert (free_amounts(holder), holder.runs) == ([30], {})


def test_refusal_backs_off_and_then_asks_for_what_fits() -> None:
    script = Script(top_up(50))
    holder, _ = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    holder, _ = reserve(holder, TEAM, RUN_2, 40, 0.0)
    holder, _ = plan_and_read(holder, script)
    assert plan(holder, 0.05, 0.0)[1] == {}
    holder, records = plan_and_read(holder, script, now=0.2)
    assert [record.amount for record in records] == [40]  # type: ignore[union-attr]


def test_more_available_ends_the_backoff() -> None:
    script = Script(top_up(50))
    holder, _ = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    holder, _ = plan_and_read(holder, script)
    holder = observe_budget(holder, TEAM, BudgetSummary(90, 0, 0, 0, 90))
    _, records = plan_and_read(holder, script, now=0.01)
    assert [record.amount for record in records] == [60]  # type: ignore[union-attr]


def test_undersized_amounts_are_returned_ahead_of_a_request() -> None:
    holder, script = holder_with_grant(30, budget=60)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    holder = observe_budget(holder, TEAM, BudgetSummary(60, 0, 0, 30, 30, 0, 1))
    holder, records = plan_and_read(holder, script)
    assert [type(record) for record in records] == [GrantReturn, GrantRequest]
    assert isinstance(reserve(holder, TEAM, RUN, 50, 0.0)[1], Reserved)


def test_demand_grows_the_request_and_a_low_budget_shrinks_it() -> None:
    amounts = []
    for spare in (100_000, 300, 0):
        holder, script = holder_with_grant(100, budget=100_000)
        for index in range(10):
            run = RunId(f"x{index}")
            holder, _ = reserve(holder, TEAM, run, 10, 0.0)
            holder, _ = settle(holder, run, RequestKey(run), 10)
        holder = observe_budget(holder, TEAM, BudgetSummary(0, 0, 0, 0, spare, 0, 2))
        _, rows = plan(holder, 0.0, 10.0)
        asked = [r.amount for r in rows[TEAM] if isinstance(r, GrantRequest)]
        amounts.append(sum(asked))
    assert amounts == [6210, 100, 0]


def test_share_of_remaining_tokens_follows_share_of_spending() -> None:
    requested = []
    for fleet_spending in (100, 200, 400):
        holder, _ = holder_with_grant(100, budget=100_000)
        holder = observe_budget(
            holder, TEAM, BudgetSummary(0, 0, 0, 0, 1_000, 0, 1), 0.0
        )
        for index in range(10):
            run = RunId(f"x{index}")
            holder, _ = reserve(holder, TEAM, run, 10, 0.0)
            holder, _ = settle(holder, run, RequestKey(run), 10)
        spent = BudgetSummary(0, fleet_spending, 0, 0, 1_000, 0, 1)
        holder = observe_budget(holder, TEAM, spent, 0.0)
        _, rows = plan(holder, 0.0, 0.1)
        asked = [r.amount for r in rows[TEAM] if isinstance(r, GrantRequest)]
        requested.append(sum(asked))
    assert requested == [500, 475, 237]


def test_holder_returns_tokens_when_another_is_refused() -> None:
    holder, script = holder_with_grant(80, budget=100)
    holder, _ = reserve(holder, TEAM, RUN, 10, 0.0)
    holder = observe_budget(holder, TEAM, BudgetSummary(100, 0, 0, 80, 20, 0, 1))
    refused = script.add(request(30, "other", BOB))
    for outcome in refused:
        holder = on_outcome(holder, outcome, 0.0)
    holder, rows = plan(holder, 0.0, 0.1)
    returned = [r.amount for r in rows[TEAM] if isinstance(r, GrantReturn)]
    assert returned == [18]
    _, rows = plan(holder, 0.0, 0.1)
    assert not [r for r in rows.get(TEAM, ()) if isinstance(r, GrantReturn)]


def test_slower_log_grows_the_request() -> None:
    amounts = []
    for delay in (1.0, 10.0):
        holder, _ = holder_with_grant(100)
        for index in range(10):
            holder, _ = reserve(holder, TEAM, RunId(f"x{index}"), 10, 0.0)
        _, rows = plan(holder, 0.0, delay)
        amounts.append(rows[TEAM][0].amount)  # type: ignore[union-attr]
    assert amounts[0] < amounts[1]


def test_surplus_is_returned_when_demand_falls() -> None:
    holder, script = holder_with_grant(100)
    holder, _ = reserve(holder, TEAM, RUN, 10, 0.0)
    holder = cancel(holder, RUN)
    holder, records = plan_and_read(holder, script, now=1000.0)
    grant = GrantId(f"{ALICE}/1")
    assert records == [GrantReturn(TEAM, grant, ALICE, 100)]
    assert free_amounts(holder) == []


def test_granted_tokens_are_not_returned_while_a_run_waits_for_them() -> None:
    script = Script(top_up(100))
    holder, _ = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    holder, _ = plan_and_read(holder, script)
    assert plan(holder, 100.0, 0.0)[1] == {}


def test_own_close_ends_all_grants_but_bills_are_still_logged() -> None:
    holder, script = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 40, 0.0)
    holder, scopes = widen(holder, (SIDECAR,))
    holder = append_and_read(holder, script, *scopes)
    holder = on_outcome(holder, HolderClosed(BOB), 0.0)
    assert not holder.closed
    holder = on_outcome(holder, HolderClosed(ALICE), 0.0)
    assert holder.closed and not has_witness(holder, "", SIDECAR)
    assert isinstance(reserve(holder, TEAM, RUN_2, 1, 0.0)[1], NeedsGrant)
    holder, _ = settle(holder, RUN, KEY, 20)
    _, rows = plan(holder, 0.0, 0.0)
    assert [type(row) for row in rows[TEAM]] == [Settle]


def test_witness_is_in_force_once_its_scope_is_read_back() -> None:
    script = Script()
    holder, scopes = widen(empty_holder(ALICE), (SIDECAR,), (BOB,), "ledger-3")
    assert scopes == (scope(ALICE, (SIDECAR,), (BOB,)),)
    assert widen(holder, (SIDECAR,), (), "ledger-3")[1] == ()
    assert not has_witness(holder, "ledger-3", SIDECAR)
    for outcome in script.add(scope(BOB, (SIDECAR,)), *scopes):
        holder = on_outcome(holder, outcome, 0.0, "ledger-3")
    assert has_witness(holder, "ledger-3", SIDECAR)
    assert not has_witness(holder, "ledger-4", SIDECAR)


def test_clean_close_logs_all_bills_and_refuses_while_runs_go_on() -> None:
    holder, script = holder_with_grant(50)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    with pytest.raises(RuntimeError):
        close_cleanly(holder)
    holder, made = settle(holder, RUN, KEY, 20)
    holder, records = close_cleanly(holder)
    expected = HolderClose(ALICE, ALICE, clean=True)
    assert records == (Settle(TEAM, (made,)), expected)  # type: ignore[arg-type]
    assert holder.closed


def test_hint_expects_the_rest_of_running_reservations() -> None:
    holder, script = holder_with_grant(100, budget=100)
    for index in range(30):
        run = RunId(f"x{index}")
        holder, _ = reserve(holder, TEAM, run, 10, 0.0)
        holder, _ = settle(holder, run, RequestKey(run), 0, now=2.0)
    holder, _ = reserve(holder, TEAM, RUN, 100, 5.0)
    hint = wait_hint(holder, TEAM, 50, 6.0)
    assert hint.worth_waiting and 0.5 < hint.seconds < 1.0
    assert not wait_hint(holder, TEAM, 120, 6.0).worth_waiting
    assert not wait_hint(holder, "other", 1, 6.0).worth_waiting


def test_hint_waits_for_a_request_in_flight() -> None:
    holder, _ = reserve(empty_holder(ALICE), TEAM, RUN, 60, 0.0)
    assert not wait_hint(holder, TEAM, 60, 0.0).worth_waiting
    holder, _ = plan(holder, 0.0, 0.0)
    assert wait_hint(holder, TEAM, 60, 0.0).worth_waiting


def test_hint_needs_a_single_grant_while_no_grant_can_be_requested() -> None:
    holder, script = holder_with_grant(50)
    for run in (RUN, RUN_2):
        holder, _ = reserve(holder, TEAM, run, 50, 0.0)
    holder, _ = plan_and_read(holder, script)
    holder = cancel(cancel(holder, RUN), RUN_2)
    assert free_amounts(holder) == [50, 100]
    assert wait_hint(holder, TEAM, 120, 0.0).worth_waiting
    assert not wait_hint(holder, TEAM, 120, 0.0, can_request=False).worth_waiting
    holder, _ = reserve(holder, TEAM, RUN_3, 200, 0.0)
    holder, _ = plan(holder, 0.0, 0.0)
    assert holder.budgets[TEAM]["requested"]
    assert not wait_hint(holder, TEAM, 150, 0.0, can_request=False).worth_waiting


def test_resume_applies_the_logged_records_of_a_checkpoint() -> None:
    holder, script = holder_with_grant(50)
    holder, scopes = widen(holder, (SIDECAR,))
    holder = append_and_read(holder, script, *scopes)
    holder, _ = reserve(holder, TEAM, RUN, 50, 0.0)
    holder, _ = settle(holder, RUN, KEY, 20)
    holder, _ = reserve(holder, TEAM, RUN_2, 70, 0.0)
    holder, rows = plan(holder, 0.0, 0.0)
    script.add(*rows[TEAM])
    state = restore(ledger_checkpoint(script.state, "ledger-0"))
    holder = resume(holder, state)
    assert not holder.bills and not holder.closed
    assert isinstance(reserve(holder, TEAM, RUN_2, 70, 0.0)[1], Reserved)
    script.add(close(ALICE))
    assert resume(holder, script.state).closed


def test_resume_adds_a_transfer_that_was_logged_meanwhile() -> None:
    script = Script(top_up(100), scope(BOB, (), (ALICE,)), request(60, "h", BOB))
    part = Transfer(TEAM, GrantId("t"), GrantId("h"), BOB, ALICE, 20)
    script.add(part)
    holder = resume(resume(empty_holder(ALICE), script.state), script.state)
    assert free_amounts(holder) == [20]


def test_holder_missing_from_the_checkpoint_is_closed() -> None:
    script = Script(top_up(9))
    holder, scopes = widen(empty_holder(ALICE), (SIDECAR,))
    holder = append_and_read(holder, script, *scopes)
    assert resume(holder, Script(request(1, "g", OPERATOR)).state).closed
