"""Tests that a witness either allows opening an epoch or fences it, never both."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_ledger.quota_witness import (
    Attestation,
    WitnessState,
    is_opened,
    is_unopened,
)
from clementinebend_ledger.quotas import HolderRecord, Witness

HOLDER = "entry-1#a@0"
FIRST, SECOND = Witness("w1", "10.0.0.1", 1), Witness("w2", "10.0.0.2", 1)
RECORD = HolderRecord(4, (FIRST, SECOND))


def test_a_fenced_epoch_is_not_opened() -> None:
    state = WitnessState()
    state.fence(HOLDER, 4)
    assert not state.open(HOLDER, 4).proves_opened(4)
    assert state.known(HOLDER).proves_unopened(4)


def test_an_opened_epoch_is_not_fenced() -> None:
    state = WitnessState()
    state.open(HOLDER, 4)
    assert not state.fence(HOLDER, 4).proves_unopened(4)
    assert state.known(HOLDER).proves_opened(4)


def test_a_later_epoch_is_opened_after_an_earlier_one_was_fenced() -> None:
    state = WitnessState()
    state.fence(HOLDER, 4)
    attestation = state.open(HOLDER, 5)
    assert attestation.proves_opened(5)
    assert not attestation.proves_opened(4)


def test_a_request_without_an_epoch_changes_nothing() -> None:
    state = WitnessState()
    assert state.fence(HOLDER, -1) == Attestation()


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 6)), max_size=20))
def test_what_was_proved_stays_proved(steps: list[tuple[bool, int]]) -> None:
    state = WitnessState()
    opened: set[int] = set()
    fenced: set[int] = set()
    for is_open, epoch in steps:
        told = (state.open if is_open else state.fence)(HOLDER, epoch)
        opened |= {number for number in range(7) if told.proves_opened(number)}
        fenced |= {number for number in range(7) if told.proves_unopened(number)}
        assert not opened & fenced


def test_all_witnesses_open_and_one_proves_unopened() -> None:
    opened, fenced = Attestation(opened=4), Attestation(fenced=4)
    assert is_opened(RECORD, {"w1": opened, "w2": opened})
    assert not is_opened(RECORD, {"w1": opened})
    assert not is_opened(RECORD, {"w1": opened, "w2": fenced})
    assert is_unopened(RECORD, {"w2": fenced})
    assert not is_unopened(RECORD, {"w1": opened, "w3": fenced})


def test_without_witnesses_a_reserve_is_never_opened() -> None:
    record = HolderRecord(4, ())
    assert not is_opened(record, {})
    assert is_unopened(record, {})
