"""The order of processes on a ring."""

from hypothesis import given
from hypothesis import strategies as st

from clementinebend_membership.ring import (
    members_from,
    ring_order,
    ring_successors,
)

NAMES = [f"entry-{number}" for number in range(30)]


def test_each_process_is_the_successor_of_one_other() -> None:
    """Guards against processes that no other forwards a message to."""
    successors = [ring_successors(name, NAMES)[0] for name in NAMES]
    assert sorted(successors) == sorted(NAMES)


@given(st.lists(st.text(max_size=4), max_size=12), st.text(max_size=4))
def test_the_ring_holds_all_others_once(names: list[str], name: str) -> None:
    assert sorted(ring_successors(name, names)) == sorted(set(names) - {name})


def test_processes_of_one_zone_are_not_in_a_row() -> None:
    """Guards against the loss of a zone that breaks every chain along the ring."""
    names = [f"zone-{zone}-{number}" for zone in range(3) for number in range(100)]
    ring = ring_successors(names[0], names)
    changes = sum(
        first[:6] != second[:6] for first, second in zip(ring, ring[1:], strict=False)
    )
    assert changes > 100


def test_all_members_follow_a_key_in_ring_order() -> None:
    order = ring_order(NAMES)
    names = list(members_from("key", order))
    assert sorted(names) == sorted(NAMES)
    doubled = [place.name for place in (*order, *order)]
    start = doubled.index(names[0])
    assert doubled[start : start + len(names)] == names
    assert list(members_from("key", ())) == []


def test_an_added_name_does_not_reorder_the_others() -> None:
    before = list(members_from("key", ring_order(NAMES)))
    after = list(members_from("key", ring_order([*NAMES, "added"])))
    assert [name for name in after if name != "added"] == before
