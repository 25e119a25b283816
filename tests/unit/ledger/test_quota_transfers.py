"""Tests transfers over a network that loses, repeats and reorders messages."""

from collections import Counter
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_ledger.quota_transfers import Transfer, TransferBook

GIVER, TAKER = "entry-0#1", "entry-1#1"
TEAMS = "abcd"
SMALL = 2
"""Maximum number of pairs of a book that drops most of what it knows."""


class Step(NamedTuple):
    """An amount transferred, and which of the messages so far arrives next, if any."""

    team: str
    amount: int
    arriving: int | None


steps = st.builds(
    Step,
    st.sampled_from(TEAMS),
    st.integers(0, 50),
    st.none() | st.integers(0, 30),
)


def test_a_lost_message_is_made_up_for_by_the_next() -> None:
    giver, taker = TransferBook(), TransferBook()
    giver.hand_over(TAKER, "a", 40)
    assert taker.take(GIVER, "a", giver.hand_over(TAKER, "a", 2)) == 42


def test_a_repeated_or_late_message_has_no_effect() -> None:
    giver, taker = TransferBook(), TransferBook()
    first = giver.hand_over(TAKER, "a", 40)
    second = giver.hand_over(TAKER, "a", 2)
    assert [taker.take(GIVER, "a", each) for each in (second, first, second)] == [
        42,
        0,
        0,
    ]


def test_a_pair_that_was_forgotten_is_not_taken_again() -> None:
    taker = TransferBook(max_pairs=1)
    assert taker.take(GIVER, "a", Transfer(1, 40)) == 40
    assert taker.take(GIVER, "b", Transfer(2, 7)) == 7
    assert taker.take(GIVER, "a", Transfer(1, 40)) == 0
    assert taker.take(GIVER, "a", Transfer(3, 5)) == 5


@given(st.lists(steps, max_size=40), st.booleans(), st.booleans())
def test_nothing_is_taken_that_was_not_handed_over(
    played: list[Step], giver_forgets: bool, taker_forgets: bool
) -> None:
    giver = TransferBook(SMALL) if giver_forgets else TransferBook()
    taker = TransferBook(SMALL) if taker_forgets else TransferBook()
    given: Counter[str] = Counter()
    taken: Counter[str] = Counter()
    sent: list[tuple[str, Transfer]] = []
    for step in played:
        transfer = giver.hand_over(TAKER, step.team, step.amount)
        given[step.team] += step.amount
        sent.append((step.team, transfer))
        if step.arriving is not None:
            team, transfer = sent[step.arriving % len(sent)]
            taken[team] += taker.take(GIVER, team, transfer)
        assert taken <= given
