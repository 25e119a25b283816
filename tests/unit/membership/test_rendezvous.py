"""Balance and key movement of rendezvous hashing and of subsets."""

from collections import Counter
from itertools import chain

from hypothesis import given, settings
from hypothesis.strategies import dictionaries, integers, sets, text

from clementinebend_membership.rendezvous import (
    rendezvous,
    rendezvous_by_zone,
    subset,
    weighted_rendezvous,
)

NAMES = sets(text("abcdef0123", min_size=1, max_size=4), min_size=1, max_size=20)
KEYS = text(max_size=8)
DERANDOMIZED = settings(derandomize=True, max_examples=100, deadline=None)

CLIENTS = [f"entry-{index}" for index in range(120)]
BACK_ENDS = [f"endpoint-{index}" for index in range(200)]
SUBSET_SIZE = 20
MEAN_CLIENTS = len(CLIENTS) * SUBSET_SIZE / len(BACK_ENDS)


@DERANDOMIZED
@given(KEYS, NAMES, integers(0, 25))
def test_removing_a_name_moves_only_its_own_keys(
    key: str, names: set[str], count: int
) -> None:
    ranked = rendezvous(key, names, len(names))
    assert set(ranked) == names
    assert rendezvous(key, sorted(names, reverse=True), count) == ranked[:count]
    for gone in names:
        without = tuple(name for name in ranked if name != gone)
        assert rendezvous(key, names - {gone}, len(names)) == without


@DERANDOMIZED
@given(
    KEYS,
    dictionaries(text("abc", min_size=1), text("xyz", min_size=1, max_size=1)),
    integers(1, 4),
)
def test_zones_are_distinct_and_each_contributes_its_first_host(
    key: str, zone_by_name: dict[str, str], zones: int
) -> None:
    chosen = rendezvous_by_zone(key, zone_by_name, zones)
    chosen_zones = [zone_by_name[name] for name in chosen]
    all_zones = set(zone_by_name.values())
    assert len(set(chosen_zones)) == len(chosen) == min(zones, len(all_zones))
    ranked = rendezvous(key, zone_by_name, len(zone_by_name))
    firsts = [
        next(name for name in ranked if zone_by_name[name] == zone)
        for zone in chosen_zones
    ]
    assert list(chosen) == firsts
    assert sorted(chosen, key=ranked.index) == list(chosen)


def test_keys_spread_evenly_over_names() -> None:
    names = [f"entry-{index}" for index in range(10)]
    first_counts = Counter(rendezvous(f"key-{i}", names, 1)[0] for i in range(10_000))
    assert set(first_counts) == set(names)
    assert max(first_counts.values()) < 1.15 * 1000
    assert min(first_counts.values()) > 0.85 * 1000


def test_every_back_end_gets_a_balanced_number_of_clients() -> None:
    chosen = (subset(client, BACK_ENDS, SUBSET_SIZE) for client in CLIENTS)
    clients = Counter(chain.from_iterable(chosen))
    assert set(clients) == set(BACK_ENDS)
    assert max(clients.values()) <= 2 * MEAN_CLIENTS
    assert min(clients.values()) >= MEAN_CLIENTS / 4


def test_a_subset_changes_by_one_at_most_when_the_list_changes() -> None:
    for client in CLIENTS[:20]:
        before = set(subset(client, BACK_ENDS, SUBSET_SIZE))
        removed = set(subset(client, BACK_ENDS[1:], SUBSET_SIZE))
        added = set(subset(client, [*BACK_ENDS, "new"], SUBSET_SIZE))
        assert len(before - removed) == int(BACK_ENDS[0] in before)
        assert added - before <= {"new"}
        assert len(before - added) == int("new" in added)


def test_names_rank_first_in_proportion_to_their_weight() -> None:
    weights = {"small": 0.5, "large": 2.0, "other": 0.5}
    first = Counter(
        weighted_rendezvous(f"key-{number}", weights, 1)[0] for number in range(3_000)
    )
    assert 0.62 < first["large"] / 3_000 < 0.72
    assert 0.12 < first["small"] / 3_000 < 0.21


def test_removing_a_weighted_name_moves_only_its_own_keys() -> None:
    weights = {f"n{number}": 1.0 + number for number in range(8)}
    remaining = {name: weight for name, weight in weights.items() if name != "n5"}
    for number in range(300):
        before = weighted_rendezvous(f"key-{number}", weights, 2)
        after = weighted_rendezvous(f"key-{number}", remaining, 1)
        assert after[0] == (before[1] if before[0] == "n5" else before[0])
