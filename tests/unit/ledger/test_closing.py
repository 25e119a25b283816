"""Tests of closing holders: a remainder is freed once all witnesses agree, or held."""

import pytest

from clementinebend_ledger import closing
from clementinebend_ledger.outcomes import (
    Billed,
    HolderClosed,
    HolderReleased,
    Ignored,
    ScopeWidened,
    WitnessAcknowledged,
)
from clementinebend_ledger.replay import budget_summary
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import HolderClose, HoldResolve
from tests.unit.ledger.scripts import (
    ALICE,
    BOB,
    SIDECAR,
    SIDECAR_2,
    TEAM,
    Script,
    ack,
    bill,
    close,
    request,
    scope,
    settle,
    top_up,
    with_type_names,
)

DAN = Incarnation("dan#1")


def available(script: Script) -> int:
    return budget_summary(script.state, TEAM).available


def test_holder_without_witnesses_is_released_at_once() -> None:
    script = Script(top_up(100), request(60))
    released = HolderReleased(ALICE, 60, 0)
    outcomes = script.add(close(ALICE))
    assert with_type_names(outcomes) == with_type_names([HolderClosed(ALICE), released])
    assert script.add(close(ALICE)) == (Ignored("holder already released"),)


def test_shortfall_is_billed_before_a_released_remainder_is_free() -> None:
    script = Script(top_up(100), request(100), settle(bill(30, grant="gone")))
    assert budget_summary(script.state, TEAM).shortfall == 30
    script.add(close(ALICE))
    assert budget_summary(script.state, TEAM)[:6] == (100, 30, 0, 0, 70, 0)


def test_remainder_waits_for_every_sidecar() -> None:
    script = Script(
        top_up(100), scope(ALICE, (SIDECAR, SIDECAR_2)), request(60), close(ALICE)
    )
    script.add(settle(bill(10)), ack(ALICE, SIDECAR))
    assert available(script) == 40
    outcomes = script.add(settle(bill(20, "l")), ack(ALICE, SIDECAR_2))
    assert outcomes[1:] == (
        WitnessAcknowledged(ALICE, SIDECAR_2, False),
        HolderReleased(ALICE, 30, 0),
    )
    assert available(script) == 70


def test_lost_sidecar_leaves_the_remainder_held_per_grant() -> None:
    script = Script(
        top_up(100), scope(ALICE, (SIDECAR, SIDECAR_2)), request(60), close(ALICE)
    )
    script.add(ack(ALICE, SIDECAR, lost=True))
    assert script.add(ack(ALICE, SIDECAR_2))[-1] == HolderReleased(ALICE, 0, 60)
    assert script.state.budgets[TEAM]["holds"] == {"g": 60}
    late = bill(15)
    assert script.add(settle(late)) == (Billed(late),)
    script.add(HoldResolve(TEAM, "g", 5, "operator"))
    assert budget_summary(script.state, TEAM)[:5] == (100, 20, 0, 0, 80)


def test_acknowledgement_replaces_a_loss_but_not_the_reverse() -> None:
    script = Script(
        top_up(100), scope(ALICE, (SIDECAR, SIDECAR_2)), request(60), close(ALICE)
    )
    script.add(ack(ALICE, SIDECAR, lost=True), ack(ALICE, SIDECAR))
    script.add(ack(ALICE, SIDECAR, lost=True))
    assert script.add(ack(ALICE, SIDECAR_2))[-1] == HolderReleased(ALICE, 60, 0)


def test_remainder_waits_for_every_peer() -> None:
    script = Script(top_up(100), scope(ALICE, (SIDECAR,), (BOB,)), request(60))
    script.add(close(ALICE), ack(ALICE, SIDECAR))
    assert available(script) == 40
    lost = script.add(ack(ALICE, BOB, lost=True))
    assert lost == (Ignored("a lost peer counts only once it is closed itself"),)
    assert script.add(ack(ALICE, BOB))[-1] == HolderReleased(ALICE, 60, 0)


def test_dead_peer_counts_once_its_own_sidecars_acknowledge() -> None:
    script = Script(
        top_up(100), scope(ALICE, (), (BOB,)), scope(BOB, (SIDECAR,)), request(60)
    )
    script.add(close(ALICE), close(BOB))
    assert available(script) == 40
    outcomes = script.add(ack(BOB, SIDECAR))
    assert set(outcomes[1:]) == {
        HolderReleased(ALICE, 60, 0),
        HolderReleased(BOB, 0, 0),
    }


def test_dead_peer_with_a_lost_sidecar_holds_both_remainders() -> None:
    script = Script(
        top_up(100),
        scope(ALICE, (), (BOB,)),
        scope(BOB, (SIDECAR,), (ALICE,)),
        request(60),
        request(30, "h", BOB),
    )
    script.add(close(ALICE), close(BOB), ack(BOB, SIDECAR, lost=True))
    assert budget_summary(script.state, TEAM)[:5] == (100, 0, 90, 0, 10)


def test_peer_released_before_it_is_named_counts_as_acknowledged() -> None:
    script = Script(top_up(100), close(BOB), scope(ALICE, (), (BOB,)), request(60))
    assert script.add(close(ALICE))[-1] == HolderReleased(ALICE, 60, 0)


def test_clean_close_frees_at_once_only_by_the_holder_itself() -> None:
    script = Script(top_up(100), scope(ALICE, (SIDECAR,)), request(60))
    script.add(HolderClose(ALICE, BOB, clean=True))
    assert available(script) == 40
    assert script.add(close(ALICE)) == (Ignored("holder already closed"),)
    assert script.add(close(ALICE, clean=True))[-1] == HolderReleased(ALICE, 60, 0)


def test_scope_after_close_is_ignored() -> None:
    script = Script(top_up(100), scope(ALICE, (SIDECAR,)), close(ALICE))
    assert script.add(scope(ALICE, (SIDECAR_2,))) == (
        Ignored("scope of a closed holder"),
    )
    script.add(ack(ALICE, SIDECAR))
    assert script.add(scope(ALICE, (SIDECAR_2,))) == (
        Ignored("scope of a closed holder"),
    )
    assert script.add(scope(DAN, (SIDECAR_2,))) == (
        ScopeWidened(DAN, (SIDECAR_2,), ()),
    )


def test_acknowledgement_needs_a_close_and_a_scope() -> None:
    script = Script(scope(ALICE, (SIDECAR,)))
    early = script.add(ack(ALICE, SIDECAR))
    assert early == (Ignored("acknowledged holder is not closed"),)
    script.add(close(ALICE))
    other = script.add(ack(ALICE, SIDECAR_2))
    assert other == (Ignored("witness is not in the holder's scope"),)


def test_released_holders_are_forgotten_oldest_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(closing, "RELEASED_WINDOW", 1)
    script = Script(close(ALICE), close(BOB))
    assert list(script.state.released) == [BOB]
