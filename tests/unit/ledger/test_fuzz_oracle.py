"""Tests of the fuzz oracle: it accepts valid states and rejects invalid ones."""

import pytest

from clementinebend_records.identifiers import GrantId, RequestKey, RunId
from clementinebend_records.records import Batch, HoldResolve, Record
from tests.unit.ledger.fuzz_oracle import Execution, Oracle, Request
from tests.unit.ledger.scripts import (
    ALICE,
    OPERATOR,
    SIDECAR,
    TEAM,
    ack,
    bill,
    close,
    request,
    scope,
    settle,
    top_up,
)


def oracle_of(*records: Record) -> Oracle:
    """Return an oracle with one executed run, of 4 tokens under transfer ``t``."""
    oracle = Oracle()
    oracle.sidecars_lost = 1
    oracle.requests[RequestKey("k")] = Request(TEAM, 4)
    oracle.executions[RunId("run-k")] = Execution(RequestKey("k"), GrantId("t"))
    oracle.on_append(0, Batch(OPERATOR, 1, records))
    return oracle


def oracle_of_lost_parent() -> Oracle:
    """Return an oracle whose transfer is unlogged and whose parent grant is held."""
    return oracle_of(
        top_up(10),
        scope(ALICE, (SIDECAR,)),
        request(10),
        settle(bill(4, grant="t")),
        close(ALICE),
        ack(ALICE, SIDECAR, lost=True),
    )


def test_bill_of_an_unlogged_transfer_is_paid_after_its_parents_hold() -> None:
    oracle = oracle_of_lost_parent()
    oracle.parent_grants[GrantId("t")] = GrantId("g")
    oracle.check_quiescent()
    with pytest.raises(AssertionError):
        oracle.check_settled()
    end = HoldResolve(TEAM, "g", 0, "operator")
    oracle.on_append(1, Batch(OPERATOR, 2, (end,)))
    oracle.check_settled()


def test_shortfall_without_a_parents_hold_is_rejected() -> None:
    with pytest.raises(AssertionError):
        oracle_of_lost_parent().check_quiescent()


def test_held_bill_without_available_tokens_is_unheld() -> None:
    oracle = oracle_of_lost_parent()
    oracle.parent_grants[GrantId("t")] = GrantId("g")
    doubt = settle(bill(3, "l", "gone", held=True))
    oracle.on_append(1, Batch(OPERATOR, 2, (doubt,)))
    oracle.check_quiescent()
    ends = (HoldResolve(TEAM, name, 0, "operator") for name in ("g", "l"))
    oracle.on_append(2, Batch(OPERATOR, 3, tuple(ends)))
    oracle.check_settled()


def test_bill_above_its_cost_is_rejected() -> None:
    oracle = oracle_of(top_up(10), request(10, "t"), settle(bill(5, grant="t")))
    with pytest.raises(AssertionError):
        oracle.check()
