"""Tests of transfers between peers: each counts once, whatever is logged first."""

from clementinebend_ledger.holder import (
    HolderState,
    close_cleanly,
    empty_holder,
    on_outcome,
    plan,
    receive_transfer,
    refuse_sender,
    reserve,
    send_transfer,
    settle,
    widen,
)
from clementinebend_ledger.holder_state import NeedsGrant
from clementinebend_ledger.outcomes import (
    BillUnfunded,
    HolderClosed,
    HolderReleased,
    Ignored,
    OverrunDetected,
    TransferApplied,
)
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.records import Record, Settle, Transfer
from tests.unit.ledger import scripts
from tests.unit.ledger.scripts import (
    ALICE,
    BOB,
    SIDECAR,
    TEAM,
    Script,
    ack,
    bill,
    close,
    request,
    scope,
    top_up,
    transfer,
)

TRANSFER_ID = GrantId("t")


def stream_with_peers(*records: Record) -> Script:
    return Script(
        top_up(100),
        scope(ALICE, (), (BOB,)),
        scope(BOB, (SIDECAR,)),
        request(60),
        *records,
    )


def test_transfer_becomes_a_grant_of_the_receiver_once() -> None:
    script = stream_with_peers()
    applied = TransferApplied(TEAM, TRANSFER_ID, GrantId("g"), ALICE, BOB, 20)
    assert script.add(transfer(20)) == (applied,)
    assert script.add(transfer(20)) == (Ignored("transfer already applied"),)
    script.add(scripts.settle(bill(20, grant="t")))
    assert script.add(transfer(20)) == (Ignored("transfer already applied"),)
    assert budget_summary(script.state, TEAM)[:5] == (100, 20, 0, 40, 40)


def test_transfer_outside_the_rules_is_ignored() -> None:
    script = stream_with_peers(transfer(20), request(5, "h", BOB))
    onward = Transfer(TEAM, GrantId("u"), TRANSFER_ID, BOB, ALICE, 5)
    other = "transferred grant is not the sender's own"
    assert script.add(onward) == (Ignored(other),)
    unscoped = Transfer(TEAM, GrantId("u"), GrantId("h"), BOB, ALICE, 5)
    assert script.add(unscoped) == (Ignored("receiver is not in the sender's scope"),)
    unknown = script.add(transfer(5, "u", "nothing"))
    assert unknown == (Ignored("transferred grant is not open"),)
    assert script.add(transfer(0, "u")) == (Ignored("transfer of no tokens"),)
    assert OverrunDetected(TEAM, GrantId("g"), 2) in script.add(transfer(42, "u"))


def test_bill_ahead_of_its_transfer_reduces_the_transfer() -> None:
    script = stream_with_peers(request(40, "h"))
    early = bill(15, grant="t")
    assert script.add(scripts.settle(early)) == (BillUnfunded(early, 15, 15),)
    script.add(transfer(20))
    assert budget_summary(script.state, TEAM)[:6] == (100, 15, 0, 85, 0, 0)
    assert script.state.grants[TRANSFER_ID]["remainder"] == 5


def test_transfer_to_a_released_receiver_is_freed_or_held() -> None:
    freed = stream_with_peers(close(BOB), ack(BOB, SIDECAR), transfer(20))
    assert budget_summary(freed.state, TEAM)[:5] == (100, 0, 0, 40, 60)
    held = stream_with_peers(close(BOB), ack(BOB, SIDECAR, lost=True), transfer(20))
    assert budget_summary(held.state, TEAM)[:5] == (100, 0, 20, 40, 40)


def test_clean_close_frees_only_what_was_not_transferred() -> None:
    script = stream_with_peers(transfer(20))
    assert script.add(close(ALICE, clean=True))[-1] == HolderReleased(ALICE, 40, 0)
    assert script.state.grants[TRANSFER_ID]["remainder"] == 20


def holder_with_peer(script: Script) -> HolderState:
    holder = empty_holder(ALICE)
    reserve(holder, TEAM, RunId("r"), 60, 0.0)
    holder, rows = plan(holder, 0.0, 0.0)
    holder, scopes = widen(holder, (), (BOB,))
    for outcome in script.add(top_up(100), *scopes, *rows[TEAM]):
        holder = on_outcome(holder, outcome, 0.0)
    return holder


def test_transfer_below_the_minimum_is_not_sent() -> None:
    holder = holder_with_peer(Script())
    holder, message = send_transfer(holder, TEAM, TRANSFER_ID, BOB, 90, min_amount=61)
    assert message.amount == 0
    _, message = send_transfer(holder, TEAM, TRANSFER_ID, BOB, 90, min_amount=60)
    assert message.amount == 60


def test_sender_subtracts_and_receiver_spends_at_once() -> None:
    script = Script()
    alice, bob = holder_with_peer(script), empty_holder(BOB)
    alice, nothing = send_transfer(alice, TEAM, TRANSFER_ID, Incarnation("eve#1"), 20)
    assert nothing.amount == 0
    alice, message = send_transfer(alice, TEAM, TRANSFER_ID, BOB, 50)
    assert message.amount == 50
    assert send_transfer(alice, TEAM, TRANSFER_ID, BOB, 5)[1].amount == 0
    assert send_transfer(alice, TEAM, GrantId("u"), BOB, 50)[1].amount == 10
    bob, _ = reserve(receive_transfer(bob, message), TEAM, RunId("s"), 50, 0.0)
    bob = receive_transfer(bob, message)
    assert isinstance(reserve(bob, TEAM, RunId("x"), 1, 0.0)[1], NeedsGrant)
    bob, _ = settle(bob, RunId("s"), RequestKey("k"), 30)
    bob, rows = plan(bob, 0.0, 0.0)
    assert [type(row) for row in rows[TEAM]][:2] == [Transfer, Settle]
    script.add(*rows[TEAM])
    assert budget_summary(script.state, TEAM).billed == 30


def test_receiver_learns_of_a_lost_message_from_the_log() -> None:
    script = Script()
    alice, message = send_transfer(holder_with_peer(script), TEAM, TRANSFER_ID, BOB, 50)
    alice, records = close_cleanly(alice)
    bob = empty_holder(BOB)
    for outcome in script.add(*records):
        bob = on_outcome(bob, outcome, 0.0)
    assert bob.budgets[TEAM]["grants"][TRANSFER_ID]["free"] == 50
    bob = receive_transfer(bob, message)
    assert bob.budgets[TEAM]["grants"][TRANSFER_ID]["free"] == 50


def test_receiver_adds_a_transfer_once_from_message_and_log() -> None:
    script = Script()
    alice, message = send_transfer(holder_with_peer(script), TEAM, TRANSFER_ID, BOB, 50)
    _, rows = plan(alice, 0.0, 0.0)
    bob, _ = reserve(
        receive_transfer(empty_holder(BOB), message), TEAM, RunId("s"), 40, 0.0
    )
    for outcome in script.add(*rows[TEAM]):
        bob = on_outcome(bob, outcome, 0.0)
    assert bob.budgets[TEAM]["grants"][TRANSFER_ID]["free"] == 10


def test_received_transfer_is_not_transferred_again() -> None:
    bob, scopes = widen(empty_holder(BOB), (), (ALICE,))
    for outcome in Script().add(*scopes):
        bob = on_outcome(bob, outcome, 0.0)
    _, message = send_transfer(holder_with_peer(Script()), TEAM, TRANSFER_ID, BOB, 50)
    _, onward = send_transfer(
        receive_transfer(bob, message), TEAM, GrantId("u"), ALICE, 5
    )
    assert onward.amount == 0


def test_sender_whose_close_was_read_is_refused() -> None:
    _, message = send_transfer(holder_with_peer(Script()), TEAM, TRANSFER_ID, BOB, 50)
    bob = on_outcome(empty_holder(BOB), HolderClosed(ALICE), 0.0)
    assert receive_transfer(bob, message).budgets == {}


def test_receiver_logs_transfers_before_it_acknowledges_a_close() -> None:
    script = Script()
    _, message = send_transfer(holder_with_peer(script), TEAM, TRANSFER_ID, BOB, 50)
    bob, records = refuse_sender(receive_transfer(empty_holder(BOB), message), ALICE)
    assert records == (transfer(50, grant=message.grant),)
    script.add(close(ALICE))
    assert script.add(*records, ack(ALICE, BOB))[-1] == HolderReleased(ALICE, 10, 0)
    later = message._replace(transfer=GrantId("u"))
    assert GrantId("u") not in receive_transfer(bob, later).budgets[TEAM]["grants"]
