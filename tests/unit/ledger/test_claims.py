"""Tests of claims replay: the first claim of a key wins and is answered once."""

import pytest

from clementinebend_ledger import claims
from clementinebend_ledger.checkpoints import (
    claims_checkpoint,
    claims_digest,
    restore_claims,
)
from clementinebend_ledger.claims import (
    ClaimConflict,
    ClaimFreed,
    ClaimIgnored,
    ClaimLost,
    ClaimRecorded,
    ClaimRefused,
    ClaimsOutcome,
    ClaimsState,
    ClaimView,
    ClaimWon,
    RecordedAnswer,
    claim_of,
    empty_claims,
    replay_claims,
)
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.records import (
    Batch,
    Claim,
    ClaimOutcome,
    ClaimVoid,
    Record,
)
from tests.unit.ledger.scripts import ALICE, BOB, top_up, with_type_names

KEY, OTHER = RequestKey("k"), RequestKey("l")
RUN, RUN_2 = RunId("r1"), RunId("r2")
CLAIM = Claim(KEY, "body", ALICE, RUN)
LATER = Claim(KEY, "body", BOB, RUN_2)
ANSWER = ClaimOutcome(KEY, RUN, 200, "text/plain", b"booked")


def apply_all(*records: Record) -> tuple[ClaimsState, list[ClaimsOutcome]]:
    state, outcomes = replay_claims(empty_claims(), 0, Batch(ALICE, 1, records))
    return state, list(outcomes)


def test_first_claim_wins_and_is_never_taken_over() -> None:
    state, outcomes = apply_all(CLAIM, LATER, CLAIM)
    expected = [
        ClaimWon(KEY, RUN, ALICE),
        ClaimLost(KEY, RUN_2, RUN),
        ClaimIgnored("claim repeated"),
    ]
    assert with_type_names(outcomes) == with_type_names(expected)
    assert claim_of(state, KEY) == ClaimView("body", ALICE, RUN, 0, None)
    assert claim_of(state, OTHER) is None


def test_other_body_under_the_key_is_a_conflict() -> None:
    _, outcomes = apply_all(CLAIM, LATER._replace(body_digest="other"))
    assert with_type_names(outcomes[1:]) == with_type_names(
        [ClaimConflict(KEY, RUN_2, RUN)]
    )


def test_answer_is_recorded_once_and_only_for_the_winner() -> None:
    other = ANSWER._replace(run=RUN_2)
    again = ANSWER._replace(body=b"other")
    state, outcomes = apply_all(CLAIM, other, ANSWER, again)
    assert with_type_names(outcomes[1:]) == with_type_names(
        [
            ClaimIgnored("outcome of a run that has no claim"),
            ClaimRecorded(KEY, RUN),
            ClaimIgnored("outcome already recorded"),
        ]
    )
    view = claim_of(state, KEY)
    assert view is not None
    assert view.answer == RecordedAnswer(200, "text/plain", b"booked")


def test_void_by_the_claimant_frees_the_key_but_not_for_its_run() -> None:
    void = ClaimVoid(KEY, RUN, ALICE)
    _, outcomes = apply_all(CLAIM, void, CLAIM, LATER)
    assert with_type_names(outcomes[1:]) == with_type_names(
        [
            ClaimFreed(KEY, RUN),
            ClaimRefused(KEY, RUN),
            ClaimWon(KEY, RUN_2, BOB),
        ]
    )


def test_void_before_any_claim_bars_that_run_only() -> None:
    _, outcomes = apply_all(ClaimVoid(KEY, RUN, BOB), CLAIM, LATER)
    assert with_type_names(outcomes[1:]) == with_type_names(
        [ClaimRefused(KEY, RUN), ClaimWon(KEY, RUN_2, BOB)]
    )


@pytest.mark.parametrize(
    "void", [ClaimVoid(KEY, RUN, BOB), ClaimVoid(KEY, RUN_2, ALICE)]
)
def test_void_by_another_is_ignored(void: ClaimVoid) -> None:
    _, outcomes = apply_all(CLAIM, void, LATER)
    assert with_type_names(outcomes[1:]) == with_type_names(
        [
            ClaimIgnored("void of another's claim"),
            ClaimLost(KEY, RUN_2, RUN),
        ]
    )


def test_void_of_a_finished_call_is_ignored() -> None:
    state, outcomes = apply_all(CLAIM, ANSWER, ClaimVoid(KEY, RUN, ALICE))
    assert outcomes[2] == ClaimIgnored("void of a finished call")
    assert claim_of(state, KEY) is not None


@pytest.mark.parametrize(
    ("bound", "limit"), [("FINISHED_CLAIMS", 1), ("FINISHED_BODY_BYTES", 10)]
)
def test_only_finished_claims_are_forgotten(
    monkeypatch: pytest.MonkeyPatch, bound: str, limit: int
) -> None:
    monkeypatch.setattr(claims, bound, limit)
    open_claim = Claim(RequestKey("open"), "body", ALICE, RunId("r0"))
    second = Claim(OTHER, "body", ALICE, RUN_2)
    answer = ANSWER._replace(key=OTHER, run=RUN_2)
    state, _ = apply_all(open_claim, CLAIM, ANSWER, second, answer)
    assert list(state.claims) == ["open", OTHER]


def test_repeats_and_foreign_records_have_no_effect() -> None:
    state, outcomes = apply_all(CLAIM, top_up(5))
    assert outcomes[1] == ClaimIgnored("TopUp changes no claim")
    state, outcome = replay_claims(state, 1, Batch(ALICE, 1, (LATER,)))
    assert outcome == (ClaimIgnored("batch repeated"),)
    _, outcome = replay_claims(state, 1, Batch(ALICE, 2, (LATER,)))
    assert outcome == (ClaimIgnored("offset already replayed"),)


def test_checkpoint_gives_the_same_state() -> None:
    state, _ = apply_all(CLAIM, ANSWER, ClaimVoid(OTHER, RUN_2, BOB))
    checkpoint = claims_checkpoint(state, "claims-0")
    assert restore_claims(checkpoint) == state
    assert checkpoint.digest == claims_digest(state)
