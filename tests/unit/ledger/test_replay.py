"""Tests of ledger replay: top-ups, grants, bills, holds, repeats and checkpoints."""

from typing import Any

import pytest

from clementinebend_ledger import replay as replay_module
from clementinebend_ledger import settling
from clementinebend_ledger.outcomes import (
    Billed,
    BillRepeated,
    BillUnfunded,
    GrantAccepted,
    GrantReduced,
    GrantRefused,
    HoldResolved,
    Ignored,
    OverrunDetected,
    RefusalReason,
    TopUpApplied,
)
from clementinebend_ledger.replay import (
    budget_summary,
    empty_ledger,
    ledger_checkpoint,
    ledger_digest,
    replay,
    restore_ledger,
)
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.records import (
    Batch,
    Claim,
    GrantReturn,
    HoldResolve,
)
from tests.unit.ledger.scripts import (
    ALICE,
    BOB,
    TEAM,
    Script,
    bill,
    close,
    request,
    settle,
    top_up,
    with_type_names,
)


def summary(script: Script) -> tuple[int, ...]:
    return tuple(budget_summary(script.state, TEAM)[:6])


def test_top_up_counts_once_by_id() -> None:
    script = Script()
    assert script.add(top_up(10)) == (TopUpApplied(TEAM, "first", 10),)
    assert script.add(top_up(10)) == (Ignored("top-up repeated"),)
    assert script.add(top_up(11)) == (Ignored("top-up id has another amount"),)
    assert script.add(top_up(0, "none")) == (Ignored("top-up of no tokens"),)
    assert summary(script) == (10, 0, 0, 0, 10, 0)


def test_grant_is_taken_whole_or_refused() -> None:
    script = Script(top_up(100))
    assert script.add(request(60)) == (GrantAccepted(TEAM, GrantId("g"), ALICE, 60),)
    refused = script.add(request(41, "h"))
    assert refused == (
        GrantRefused(TEAM, GrantId("h"), ALICE, RefusalReason.INSUFFICIENT, 40, 41),
    )
    assert script.add(request(40, "i", BOB))[0] == GrantAccepted(
        TEAM, GrantId("i"), BOB, 40
    )
    assert summary(script) == (100, 0, 0, 100, 0, 0)
    assert budget_summary(script.state, TEAM).holders == 2


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (request(1), RefusalReason.GRANT_REPEATED),
        (request(0, "h"), RefusalReason.BAD_AMOUNT),
        (request(-5, "h"), RefusalReason.BAD_AMOUNT),
        (request(1, "h", BOB), RefusalReason.HOLDER_CLOSED),
    ],
)
def test_grant_refusals_say_why(record: Any, reason: RefusalReason) -> None:
    script = Script(top_up(100), request(10), close(BOB))
    (outcome,) = script.add(record)
    assert isinstance(outcome, GrantRefused)
    assert outcome.reason == reason


def test_bill_is_paid_from_its_grant_once() -> None:
    script = Script(top_up(100), request(50))
    first, repeated = bill(20), bill(20, run="other")
    outcomes = script.add(settle(first, repeated))
    assert with_type_names(outcomes) == with_type_names(
        [Billed(first), BillRepeated(repeated, first.run)]
    )
    assert summary(script) == (100, 20, 0, 30, 50, 0)


def test_window_of_billed_keys_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settling, "BILL_WINDOW", 2)
    script = Script(top_up(100), request(50))
    script.add(settle(bill(1, "a"), bill(1, "b"), bill(1, "c")))
    assert list(script.state.billed_runs) == ["b", "c"]


def test_overrun_is_reported_and_stays_within_the_budget() -> None:
    script = Script(top_up(100), request(50))
    over = bill(70)
    assert script.add(settle(over)) == (
        Billed(over),
        OverrunDetected(TEAM, GrantId("g"), 20),
    )
    assert summary(script) == (100, 70, 0, 0, 30, 0)
    script.add(settle(bill(200, "l", "g")))
    assert summary(script) == (100, 100, 0, 0, 0, 170)


def test_unfunded_bill_is_paid_as_far_as_it_fits_and_first_later() -> None:
    script = Script(top_up(100), request(90))
    late = bill(30, grant="gone")
    assert script.add(settle(late)) == (BillUnfunded(late, 30, 20),)
    assert summary(script) == (100, 10, 0, 90, 0, 20)
    script.add(GrantReturn(TEAM, GrantId("g"), ALICE, 50))
    assert summary(script) == (100, 30, 0, 40, 30, 0)


def test_return_is_at_most_the_remainder() -> None:
    script = Script(top_up(100), request(50))
    back = GrantReturn(TEAM, GrantId("g"), ALICE, 60)
    reduced = GrantReduced(TEAM, GrantId("g"), ALICE, 50)
    assert with_type_names(script.add(back)) == with_type_names([reduced])
    assert script.add(back) == (Ignored("returned grant is not open"),)
    script.add(request(10, "h"))
    other = GrantReturn(TEAM, GrantId("h"), BOB, 1)
    assert script.add(other) == (Ignored("returned grant is not the holder's"),)


def test_held_bill_counts_until_an_operator_resolves_it() -> None:
    script = Script(top_up(100), request(50), settle(bill(20, held=True)))
    assert summary(script) == (100, 0, 20, 30, 50, 0)
    too_much = HoldResolve(TEAM, "k", 21, "operator")
    assert script.add(too_much) == (Ignored("charge is not within the hold"),)
    script.add(HoldResolve(TEAM, "k", 5, "operator"))
    assert script.outcomes[-1] == HoldResolved(TEAM, "k", 5, 15)
    assert summary(script) == (100, 5, 0, 30, 65, 0)
    again = script.add(HoldResolve(TEAM, "k", 5, "operator"))
    assert again == (Ignored("nothing is held for the subject"),)


def test_cost_of_the_held_run_ends_its_hold() -> None:
    script = Script(top_up(100), request(50), settle(bill(20, held=True)))
    known = bill(15)
    resolved = HoldResolved(TEAM, "k", 15, 5)
    assert script.add(settle(known)) == (resolved, Billed(known))
    assert summary(script) == (100, 15, 0, 30, 55, 0)
    assert script.add(settle(known)) == (BillRepeated(known, known.run),)


def test_cost_of_another_run_ends_a_hold_and_is_paid_by_its_grant() -> None:
    script = Script(top_up(100), request(50), request(30, "h"))
    script.add(settle(bill(20, held=True)))
    retry = bill(15, grant="h", run="retry")
    resolved = HoldResolved(TEAM, "k", 0, 20)
    assert script.add(settle(retry)) == (resolved, Billed(retry))
    assert summary(script) == (100, 15, 0, 45, 40, 0)


def test_uncovered_part_of_a_held_bill_is_held_and_never_billed() -> None:
    script = Script(top_up(100), request(90), settle(bill(25, "l", "gone", held=True)))
    assert summary(script) == (100, 0, 10, 90, 0, 15)
    script.add(top_up(5, "second"))
    assert summary(script) == (105, 0, 15, 90, 0, 10)
    script.add(close(ALICE))
    assert summary(script) == (105, 0, 25, 0, 80, 0)
    script.add(settle(bill(20, "l", "gone")))
    assert summary(script) == (105, 20, 0, 0, 85, 0)


def test_spent_shortfall_is_paid_before_unheld_amounts() -> None:
    script = Script(top_up(10), request(10))
    script.add(settle(bill(4, "l", "gone", held=True), bill(7, "m", "gone")))
    assert summary(script) == (10, 0, 0, 10, 0, 11)
    script.add(top_up(8, "second"))
    assert summary(script) == (18, 7, 1, 10, 0, 3)
    script.add(settle(bill(5, "n", "gone", held=True)), top_up(3, "third"))
    assert script.state.budgets[TEAM]["holds"] == {"l": 4}
    assert script.state.budgets[TEAM]["unheld"] == {"n": 5}


@pytest.mark.parametrize("run", ["run-l", "retry"])
def test_known_cost_replaces_an_uncovered_held_bill(run: str) -> None:
    script = Script(top_up(10), request(10), settle(bill(4, "l", "gone", held=True)))
    script.add(settle(bill(3, "l", "gone", run)), top_up(20, "second"))
    assert summary(script) == (30, 3, 0, 10, 17, 0)
    repeated = BillRepeated(bill(3, "l", "gone", run), RunId(run))
    assert script.add(settle(repeated.bill)) == (repeated,)


def test_operator_resolves_a_held_bill_that_was_covered_in_part() -> None:
    script = Script(top_up(12), request(10), settle(bill(4, "l", "gone", held=True)))
    assert summary(script) == (12, 0, 2, 10, 0, 2)
    script.add(HoldResolve(TEAM, "l", 3, "operator"))
    assert script.outcomes[-1] == HoldResolved(TEAM, "l", 3, 0)
    script.add(top_up(20, "second"))
    assert summary(script) == (32, 3, 0, 10, 19, 0)


def test_overrun_of_a_held_bill_is_held() -> None:
    script = Script(top_up(10), request(6), settle(bill(9, held=True)))
    assert summary(script) == (10, 0, 9, 0, 1, 0)


def test_batch_counts_once_by_writer_and_sequence() -> None:
    batch = Batch(ALICE, 1, (top_up(10), request(5)))
    state, _ = replay(empty_ledger(), 0, batch)
    state, outcomes = replay(state, 1, batch)
    assert outcomes == (Ignored("batch repeated"),)
    state, outcomes = replay(state, 1, Batch(ALICE, 2, (top_up(10, "x"),)))
    assert outcomes == (Ignored("offset already replayed"),)
    assert budget_summary(state, TEAM).topped_up == 10


def test_writers_are_forgotten_oldest_first_but_for_holders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replay_module, "WRITER_WINDOW", 2)
    state, _ = replay(empty_ledger(), 0, Batch(ALICE, 1, (top_up(9), request(5))))
    for offset in range(1, 5):
        writer = Incarnation(f"cli#{offset}")
        state, _ = replay(state, offset, Batch(writer, 1, ()))
    assert list(state.sequences) == [ALICE, "cli#4"]


def test_checkpoint_gives_the_same_state_and_digest() -> None:
    script = Script(top_up(100), request(50), settle(bill(5), bill(6, "h", held=True)))
    checkpoint = ledger_checkpoint(script.state, "ledger-0")
    restored = restore_ledger(checkpoint)
    assert restored == script.state
    assert ledger_digest(restored) == checkpoint.digest == ledger_digest(script.state)
    with pytest.raises(ValueError, match="ledger-0 does not match its digest"):
        restore_ledger(checkpoint._replace(state=checkpoint.state + b"\0"))


def test_records_of_other_streams_have_no_effect() -> None:
    (outcome,) = Script().add(Claim("k", "d", ALICE, "r"))  # type: ignore[arg-type]
    assert outcome == Ignored("Claim changes no ledger")
